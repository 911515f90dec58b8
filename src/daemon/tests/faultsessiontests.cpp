#include "daemon/tests/fleetsimulation.h"
#include "membership/heartbeatcodec.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::daemon::tests;
using namespace std::chrono_literals;
using fleetstate::Lifecycle;
using settings::StaleServing;

namespace {

void startFleet(FleetSimulation& simulation)
{
    simulation.startThreeEntries();
    simulation.declarePool("calls", 3, 1);
    simulation.run(3s);
}

std::string controllerOf(FleetSimulation& simulation, const std::string& pool)
{
    return simulation.entry(simulation.runningEntries().back()).state()->pools.at(pool)->claim.holder;
}

std::string entryOtherThan(const std::string& name) { return name == "entry-a" ? "entry-b" : "entry-a"; }

Lifecycle lifecycleOf(FleetSimulation& simulation, const std::string& entry, const std::string& instance)
{
    return simulation.entry(entry).state()->findInstance(instance)->lifecycle;
}

/// Sends requests through all running entries except `except` for `duration`.
void sendRequestsFor(FleetSimulation& simulation, foundation::milliseconds duration, const std::string& except)
{
    static int number = 0;
    for (foundation::milliseconds passed { 0 }; passed < duration; passed += 40ms) {
        for (const auto& name : simulation.runningEntries()) {
            if (name == except)
                continue;
            ++number;
            simulation.entry(name).call("k" + std::to_string(number), "calls", number % 2 == 0, 2s);
        }
        simulation.run(40ms);
    }
}

} // namespace

TEST_CASE("faults: a controller paused at any step of a drain violates no invariant", "[session][faults]")
{
    for (const StaleServing policy : { StaleServing::Serve, StaleServing::Fence }) {
        for (foundation::milliseconds step = 0ms; step <= 1200ms; step += 40ms) {
            FleetSimulation simulation(3, policy);
            startFleet(simulation);
            const std::string controller = controllerOf(simulation, "calls");
            const std::string other = entryOtherThan(controller);
            simulation.environment.requestDuration = 100ms;
            simulation.entry(controller).call("first", "calls", false, 5s);
            simulation.drain(other, "calls-1");
            simulation.run(step);
            simulation.pause(controller);
            sendRequestsFor(simulation, 12s, controller);
            simulation.resume(controller);
            sendRequestsFor(simulation, 6s, "");
            INFO("controller paused after " << step.count() << " ms, policy " << static_cast<int>(policy) << "\n"
                                            << simulation.transcript());
            REQUIRE(simulation.invariantViolations() == noViolations);
            REQUIRE(simulation.environment.operations.size() == 1);
            REQUIRE(lifecycleOf(simulation, other, "calls-1") == Lifecycle::Serving);
            REQUIRE(simulation.entry(controller).state()->admittedEntries().size() == 3);
        }
    }
}

TEST_CASE("faults: another entry takes over from a controller killed at any step of a drain", "[session][faults]")
{
    for (foundation::milliseconds step = 0ms; step <= 1200ms; step += 40ms) {
        FleetSimulation simulation(4);
        startFleet(simulation);
        const std::string controller = controllerOf(simulation, "calls");
        const std::string other = entryOtherThan(controller);
        simulation.drain(other, "calls-1");
        simulation.run(step);
        simulation.kill(controller);
        sendRequestsFor(simulation, 10s, "");
        INFO("controller killed after " << step.count() << " ms\n" << simulation.transcript());
        REQUIRE(simulation.invariantViolations() == noViolations);
        REQUIRE(simulation.environment.operations.size() == 1);
        REQUIRE(lifecycleOf(simulation, other, "calls-1") == Lifecycle::Serving);
    }
}

TEST_CASE("faults: a pause of one second expels no member and moves no claim", "[session][faults]")
{
    FleetSimulation simulation(5);
    startFleet(simulation);
    const std::string controller = controllerOf(simulation, "calls");
    const std::size_t records = simulation.environment.log.size();
    simulation.pause(controller);
    simulation.run(1s);
    simulation.resume(controller);
    simulation.run(5s);
    CHECK(simulation.environment.log.size() == records);
    CHECK(simulation.entry("entry-a").state()->admittedEntries().size() == 3);
}

TEST_CASE("faults: a killed entry is expelled within 3 s", "[session][faults]")
{
    FleetSimulation simulation(6);
    startFleet(simulation);
    simulation.kill("entry-c");
    simulation.run(3s);
    CHECK(simulation.entry("entry-a").state()->roster.count("entry-c") == 0);
}

TEST_CASE("faults: a link that fails in one direction expels no member", "[session][faults]")
{
    FleetSimulation simulation(7);
    startFleet(simulation);
    simulation.environment.blockedLinks = { { "127.0.0.1:7001", "127.0.0.1:7011" } };
    simulation.run(10s);
    CHECK(simulation.entry("entry-c").state()->admittedEntries().size() == 3);
}

TEST_CASE("faults: an entry without any incoming heartbeats expels no member", "[session][faults]")
{
    FleetSimulation simulation(8);
    startFleet(simulation);
    for (const std::string peer : { "127.0.0.1:7011", "127.0.0.1:7021" }) {
        simulation.environment.blockedLinks.insert({ "127.0.0.1:7001", peer });
        simulation.environment.blockedLinks.insert({ peer, "127.0.0.1:7001" });
    }
    simulation.run(6s);
    const auto& roster = simulation.entry("entry-b").state()->roster;
    CHECK(roster.count("entry-b") == 1);
    CHECK(roster.count("entry-c") == 1);
    simulation.environment.blockedLinks.clear();
    simulation.run(10s);
    CHECK(simulation.entry("entry-b").state()->admittedEntries().size() == 3);
    CHECK(simulation.invariantViolations() == noViolations);
}

TEST_CASE("faults: services keep running while the log is down, and a drain continues once the log is back",
    "[session][faults]")
{
    for (foundation::milliseconds step = 0ms; step <= 1000ms; step += 100ms) {
        FleetSimulation simulation(9);
        startFleet(simulation);
        simulation.drain("entry-a", "calls-1");
        simulation.run(step);
        simulation.environment.setLogDown(true);
        const std::size_t answeredBefore = simulation.environment.replies["answered"];
        sendRequestsFor(simulation, 60s, "");
        CHECK(simulation.environment.replies["answered"] - answeredBefore > 4000);
        CHECK(simulation.environment.replies["not-run"] == 0);
        simulation.environment.setLogDown(false);
        simulation.run(5s);
        INFO("log down after " << step.count() << " ms");
        REQUIRE(simulation.invariantViolations() == noViolations);
        REQUIRE(lifecycleOf(simulation, "entry-a", "calls-1") == Lifecycle::Serving);
    }
}

TEST_CASE("faults: under the fence policy an isolated entry stops serving in time", "[session][faults]")
{
    FleetSimulation simulation(10, StaleServing::Fence);
    startFleet(simulation);
    simulation.environment.setLogDown(true);
    for (const std::string peer : { "127.0.0.1:7011", "127.0.0.1:7021" })
        simulation.environment.blockedLinks.insert({ peer, "127.0.0.1:7001" });
    simulation.run(7500ms);
    simulation.entry("entry-a").call("cut", "calls", true, 1s);
    simulation.run(1s);
    CHECK(simulation.environment.replies["not-run"] == 1);
    CHECK(simulation.environment.runsByKey.count("cut") == 0);
}

TEST_CASE("faults: under the fence policy entries that reach each other keep serving while the log is down",
    "[session][faults]")
{
    FleetSimulation simulation(10, StaleServing::Fence);
    startFleet(simulation);
    simulation.environment.setLogDown(true);
    simulation.run(60s);
    for (const std::string name : { "entry-a", "entry-b", "entry-c" })
        simulation.entry(name).call("reachable " + name, "calls", true, 1s);
    simulation.run(1s);
    CHECK(simulation.environment.replies["answered"] == 3);
}

TEST_CASE("faults: lost append acknowledgements cause no duplicate reboots", "[session][faults]")
{
    FleetSimulation simulation(11);
    startFleet(simulation);
    simulation.environment.appendAnswerLossRate = 0.5;
    for (const std::string instance : { "calls-1", "calls-2", "calls-3" }) {
        simulation.drain("entry-a", instance);
        simulation.run(8s);
        CHECK(lifecycleOf(simulation, "entry-b", instance) == Lifecycle::Serving);
    }
    CHECK(simulation.environment.operations.size() == 3);
    CHECK(simulation.invariantViolations() == noViolations);
}

TEST_CASE("faults: exactly one of two drains based on the same instance version is accepted", "[session][faults]")
{
    FleetSimulation simulation(12);
    startFleet(simulation);
    simulation.drain("entry-a", "calls-1");
    simulation.drain("entry-b", "calls-1");
    simulation.run(5s);
    const std::string transcript = simulation.transcript();
    CHECK(transcript.find("drain of calls-1: accepted") != std::string::npos);
    CHECK(transcript.find("drain of calls-1: instance \"calls-1\" is already draining") != std::string::npos);
    CHECK(simulation.environment.operations.size() == 1);
}

TEST_CASE("faults: new entries take over when all entries are replaced at once", "[session][faults]")
{
    FleetSimulation simulation(13);
    startFleet(simulation);
    simulation.drain("entry-a", "calls-1");
    simulation.run(100ms);
    for (const std::string name : { "entry-a", "entry-b", "entry-c" })
        simulation.kill(name);
    for (const std::string name : { "entry-d", "entry-e", "entry-f" })
        simulation.addEntry(name);
    simulation.run(20s);
    const auto state = simulation.entry("entry-d").state();
    CHECK(state->admittedEntries() == std::vector<std::string> { "entry-d", "entry-e", "entry-f" });
    CHECK(lifecycleOf(simulation, "entry-d", "calls-1") == Lifecycle::Serving);
    CHECK(simulation.invariantViolations() == noViolations);
}

TEST_CASE(
    "faults: a divergence from one peer only is reported, an entry that diverges from most peers is the odd one out",
    "[session][faults]")
{
    FleetSimulation simulation(14);
    startFleet(simulation);
    auto sendDifferingDigest = [&](const std::string& from) {
        membership::Heartbeat heartbeat;
        heartbeat.entry = from;
        heartbeat.incarnation = 1000;
        heartbeat.sequence = 100000;
        heartbeat.digestOffset = simulation.entry("entry-a").state()->nextOffset;
        heartbeat.digest = 1;
        simulation.entry("entry-a").membership.onDatagram(membership::encodeHeartbeat(heartbeat));
    };
    sendDifferingDigest("entry-b");
    CHECK(simulation.transcript().find("DIVERGENCE with entry-b\n") != std::string::npos);
    CHECK(simulation.transcript().find("odd one out") == std::string::npos);
    sendDifferingDigest("entry-c");
    CHECK(simulation.transcript().find("DIVERGENCE with entry-c, odd one out\n") != std::string::npos);
}
