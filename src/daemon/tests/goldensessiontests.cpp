#include "daemon/tests/session.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::daemon::tests;
using namespace std::chrono_literals;

namespace {

/// Three entries that share two pools.
void startFleet(Session& session)
{
    session.startThreeEntries();
    session.declarePool("calls", 3, 1);
    session.run(200ms);
    session.declarePool("billing", 2, 0);
    session.run(3s);
}

void requirePromises(const Session& session) { CHECK(session.brokenPromises() == noBrokenPromise); }

} // namespace

TEST_CASE("session: declare, call, drain, reboot, serve again", "[session]")
{
    Session session(1);
    startFleet(session);
    session.entry("entry-a").call("r1", "calls", false, 1s);
    session.entry("entry-b").call("r2", "billing", true, 1s);
    session.entry("entry-c").call("r3", "nowhere", true, 1s);
    session.run(100ms);
    session.world.work = 400ms;
    for (int index = 4; index <= 12; ++index)
        session.entry("entry-b").call("r" + std::to_string(index), "calls", false, 2s);
    session.run(20ms);
    session.drain("entry-b", "calls-2");
    session.run(4s);
    session.entry("entry-a").call("r13", "calls", true, 1s);
    session.run(1s);
    requirePromises(session);
    CHECK(session.entry("entry-a").state()->digest() == session.entry("entry-c").state()->digest());
    checkGolden("whole_path", session.transcript());
}

TEST_CASE("session: an entry that is killed in the middle of a drain is replaced", "[session]")
{
    Session session(2);
    startFleet(session);
    session.world.work = 300ms;
    const std::string controller = session.entry("entry-a").state()->pools.at("calls")->claim.holder;
    session.world.note("calls is controlled by " + controller);
    const std::string other = controller == "entry-a" ? "entry-b" : "entry-a";
    for (int index = 1; index <= 6; ++index)
        session.entry(other).call("r" + std::to_string(index), "calls", false, 2s);
    session.run(10ms);
    session.drain(other, "calls-1");
    session.run(60ms);
    session.kill(controller);
    session.addEntry("entry-d");
    session.run(10s);
    session.entry("entry-d").call("r7", "calls", false, 1s);
    session.run(1s);
    requirePromises(session);
    const auto state = session.entry(other).state();
    CHECK(state->findInstance("calls-1")->lifecycle == fleetstate::Lifecycle::Serving);
    CHECK(state->roster.count(controller) == 0);
    CHECK(state->pools.at("calls")->claim.epoch == 2);
    checkGolden("killed_controller", session.transcript());
}
