#include "daemon/tests/session.h"
#include "membership/heartbeatcodec.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::daemon::tests;
using namespace std::chrono_literals;
using fleetstate::Lifecycle;
using settings::StaleServing;

namespace {

void startFleet(Session& session)
{
    session.startThreeEntries();
    session.declarePool("calls", 3, 1);
    session.run(3s);
}

std::string controllerOf(Session& session, const std::string& pool)
{
    return session.entry(session.livingEntries().back()).state()->pools.at(pool)->claim.holder;
}

std::string anotherThan(const std::string& name) { return name == "entry-a" ? "entry-b" : "entry-a"; }

Lifecycle lifecycleOf(Session& session, const std::string& entry, const std::string& instance)
{
    return session.entry(entry).state()->findInstance(instance)->lifecycle;
}

/// Callers that keep every entry but `except` busy for a while.
void callFor(Session& session, foundation::milliseconds duration, const std::string& except)
{
    static int number = 0;
    for (foundation::milliseconds passed { 0 }; passed < duration; passed += 40ms) {
        for (const auto& name : session.livingEntries()) {
            if (name == except)
                continue;
            ++number;
            session.entry(name).call("k" + std::to_string(number), "calls", number % 2 == 0, 2s);
        }
        session.run(40ms);
    }
}

} // namespace

TEST_CASE("faults: a controller paused at any step of a drain does no harm", "[session][faults]")
{
    for (const StaleServing policy : { StaleServing::Serve, StaleServing::Fence }) {
        for (foundation::milliseconds step = 0ms; step <= 1200ms; step += 40ms) {
            Session session(3, policy);
            startFleet(session);
            const std::string controller = controllerOf(session, "calls");
            const std::string other = anotherThan(controller);
            session.world.work = 100ms;
            session.entry(controller).call("first", "calls", false, 5s);
            session.drain(other, "calls-1");
            session.run(step);
            session.pause(controller);
            callFor(session, 12s, controller);
            session.resume(controller);
            callFor(session, 6s, "");
            INFO("paused after " << step.count() << " ms, policy " << static_cast<int>(policy) << "\n"
                                 << session.transcript());
            REQUIRE(session.brokenPromises() == noBrokenPromise);
            REQUIRE(session.world.operations.size() == 1);
            REQUIRE(lifecycleOf(session, other, "calls-1") == Lifecycle::Serving);
            REQUIRE(session.entry(controller).state()->admittedEntries().size() == 3);
        }
    }
}

TEST_CASE("faults: a controller killed at any step of a drain is taken over from", "[session][faults]")
{
    for (foundation::milliseconds step = 0ms; step <= 1200ms; step += 40ms) {
        Session session(4);
        startFleet(session);
        const std::string controller = controllerOf(session, "calls");
        const std::string other = anotherThan(controller);
        session.drain(other, "calls-1");
        session.run(step);
        session.kill(controller);
        callFor(session, 10s, "");
        INFO("killed after " << step.count() << " ms\n" << session.transcript());
        REQUIRE(session.brokenPromises() == noBrokenPromise);
        REQUIRE(session.world.operations.size() == 1);
        REQUIRE(lifecycleOf(session, other, "calls-1") == Lifecycle::Serving);
    }
}

TEST_CASE("faults: a pause of one second costs no member and moves no claim", "[session][faults]")
{
    Session session(5);
    startFleet(session);
    const std::string controller = controllerOf(session, "calls");
    const std::size_t records = session.world.log.size();
    session.pause(controller);
    session.run(1s);
    session.resume(controller);
    session.run(5s);
    CHECK(session.world.log.size() == records);
    CHECK(session.entry("entry-a").state()->admittedEntries().size() == 3);
}

TEST_CASE("faults: a killed entry is expelled within 3 s", "[session][faults]")
{
    Session session(6);
    startFleet(session);
    session.kill("entry-c");
    session.run(3s);
    CHECK(session.entry("entry-a").state()->roster.count("entry-c") == 0);
}

TEST_CASE("faults: a link that fails in one direction costs no member", "[session][faults]")
{
    Session session(7);
    startFleet(session);
    session.world.cutLinks = { { "127.0.0.1:7001", "127.0.0.1:7011" } };
    session.run(10s);
    CHECK(session.entry("entry-c").state()->admittedEntries().size() == 3);
}

TEST_CASE("faults: an entry that hears nobody expels nobody", "[session][faults]")
{
    Session session(8);
    startFleet(session);
    for (const std::string peer : { "127.0.0.1:7011", "127.0.0.1:7021" }) {
        session.world.cutLinks.insert({ "127.0.0.1:7001", peer });
        session.world.cutLinks.insert({ peer, "127.0.0.1:7001" });
    }
    session.run(6s);
    const auto& roster = session.entry("entry-b").state()->roster;
    CHECK(roster.count("entry-b") == 1);
    CHECK(roster.count("entry-c") == 1);
    session.world.cutLinks.clear();
    session.run(10s);
    CHECK(session.entry("entry-b").state()->admittedEntries().size() == 3);
    CHECK(session.brokenPromises() == noBrokenPromise);
}

TEST_CASE("faults: with the log down services go on, and a drain goes on when it is back", "[session][faults]")
{
    for (foundation::milliseconds step = 0ms; step <= 1000ms; step += 100ms) {
        Session session(9);
        startFleet(session);
        session.drain("entry-a", "calls-1");
        session.run(step);
        session.world.setLogDown(true);
        const std::size_t answeredBefore = session.world.replies["answered"];
        callFor(session, 60s, "");
        CHECK(session.world.replies["answered"] - answeredBefore > 4000);
        CHECK(session.world.replies["not-run"] == 0);
        session.world.setLogDown(false);
        session.run(5s);
        INFO("log down after " << step.count() << " ms");
        REQUIRE(session.brokenPromises() == noBrokenPromise);
        REQUIRE(lifecycleOf(session, "entry-a", "calls-1") == Lifecycle::Serving);
    }
}

TEST_CASE("faults: under the fence policy an entry cut off from all stops in time", "[session][faults]")
{
    Session session(10, StaleServing::Fence);
    startFleet(session);
    session.world.setLogDown(true);
    for (const std::string peer : { "127.0.0.1:7011", "127.0.0.1:7021" })
        session.world.cutLinks.insert({ peer, "127.0.0.1:7001" });
    session.run(7500ms);
    session.entry("entry-a").call("cut", "calls", true, 1s);
    session.run(1s);
    CHECK(session.world.replies["not-run"] == 1);
    CHECK(session.world.runsByKey.count("cut") == 0);
}

TEST_CASE(
    "faults: under the fence policy entries in touch with each other go on while the log is down", "[session][faults]")
{
    Session session(10, StaleServing::Fence);
    startFleet(session);
    session.world.setLogDown(true);
    session.run(60s);
    for (const std::string name : { "entry-a", "entry-b", "entry-c" })
        session.entry(name).call("vouched by all " + name, "calls", true, 1s);
    session.run(1s);
    CHECK(session.world.replies["answered"] == 3);
}

TEST_CASE("faults: lost answers to appends double nothing", "[session][faults]")
{
    Session session(11);
    startFleet(session);
    session.world.loseAppendAnswers = 0.5;
    for (const std::string instance : { "calls-1", "calls-2", "calls-3" }) {
        session.drain("entry-a", instance);
        session.run(8s);
        CHECK(lifecycleOf(session, "entry-b", instance) == Lifecycle::Serving);
    }
    CHECK(session.world.operations.size() == 3);
    CHECK(session.brokenPromises() == noBrokenPromise);
}

TEST_CASE("faults: of two drains of one instance planned on one version exactly one is accepted", "[session][faults]")
{
    Session session(12);
    startFleet(session);
    session.drain("entry-a", "calls-1");
    session.drain("entry-b", "calls-1");
    session.run(5s);
    const std::string transcript = session.transcript();
    CHECK(transcript.find("drain of calls-1: accepted") != std::string::npos);
    CHECK(transcript.find("drain of calls-1: instance \"calls-1\" is already draining") != std::string::npos);
    CHECK(session.world.operations.size() == 1);
}

TEST_CASE("faults: when all entries are replaced at once the new ones take over", "[session][faults]")
{
    Session session(13);
    startFleet(session);
    session.drain("entry-a", "calls-1");
    session.run(100ms);
    for (const std::string name : { "entry-a", "entry-b", "entry-c" })
        session.kill(name);
    for (const std::string name : { "entry-d", "entry-e", "entry-f" })
        session.addEntry(name);
    session.run(20s);
    const auto state = session.entry("entry-d").state();
    CHECK(state->admittedEntries() == std::vector<std::string> { "entry-d", "entry-e", "entry-f" });
    CHECK(lifecycleOf(session, "entry-d", "calls-1") == Lifecycle::Serving);
    CHECK(session.brokenPromises() == noBrokenPromise);
}

TEST_CASE("faults: one entry that differs makes no other unready, one that differs from most is the odd one out",
    "[session][faults]")
{
    Session session(14);
    startFleet(session);
    auto tellOtherDigest = [&](const std::string& from) {
        membership::Heartbeat heartbeat;
        heartbeat.entry = from;
        heartbeat.incarnation = 1000;
        heartbeat.sequence = 100000;
        heartbeat.digestOffset = session.entry("entry-a").state()->nextOffset;
        heartbeat.digest = 1;
        session.entry("entry-a").membership.onDatagram(membership::encodeHeartbeat(heartbeat));
    };
    tellOtherDigest("entry-b");
    CHECK(session.transcript().find("DIVERGENCE with entry-b\n") != std::string::npos);
    CHECK(session.transcript().find("odd one out") == std::string::npos);
    tellOtherDigest("entry-c");
    CHECK(session.transcript().find("DIVERGENCE with entry-c, odd one out\n") != std::string::npos);
}
