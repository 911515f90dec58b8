#include "daemon/tests/fleetsimulation.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::daemon::tests;
using namespace std::chrono_literals;

namespace {

void startFleet(FleetSimulation& simulation)
{
    simulation.startThreeEntries();
    simulation.declarePool("calls", 2, 1);
    simulation.run(5s);
    simulation.environment.requestDuration = 200ms;
}

/// Returns a new key with the current time in it whose owner is `owner`: the entry that rendezvous hashing over
/// `entries` selects.
std::string keyWithOwner(FleetSimulation& simulation, const std::string& owner, const std::vector<std::string>& entries)
{
    for (int number = 0;; ++number) {
        std::string key = std::to_string(simulation.environment.clock.elapsed.count()) + "-" + std::to_string(number);
        if (foundation::rendezvousOwner(key, entries) == owner)
            return key;
    }
}

std::string keyWithOwner(FleetSimulation& simulation, const std::string& owner)
{
    return keyWithOwner(simulation, owner, simulation.entry("entry-a").state()->admittedEntries());
}

std::size_t runCount(const FleetSimulation& simulation, const std::string& key)
{
    auto found = simulation.environment.runsByKey.find(key);
    return found == simulation.environment.runsByKey.end() ? 0 : found->second;
}

bool hasReply(const FleetSimulation& simulation, const std::string& id, const std::string& outcome)
{
    return simulation.transcript().find("tells " + id + ": " + outcome) != std::string::npos;
}

void requireInvariants(const FleetSimulation& simulation) { CHECK(simulation.invariantViolations() == noViolations); }

} // namespace

TEST_CASE("at most once: a duplicate sent during the execution gets the same answer through any entry", "[atmostonce]")
{
    for (const std::string owner : { "entry-a", "entry-b", "entry-c" }) {
        for (const std::string second : { "entry-a", "entry-b" }) {
            FleetSimulation simulation(1);
            startFleet(simulation);
            const std::string key = keyWithOwner(simulation, owner);
            simulation.entry("entry-a").callWithKey("first", "calls", key, 2s);
            simulation.run(50ms);
            simulation.entry(second).callWithKey("second", "calls", key, 2s);
            simulation.run(1s);
            CHECK(runCount(simulation, key) == 1);
            CHECK(hasReply(simulation, "first", "answered"));
            CHECK(hasReply(simulation, "second", "answered"));
            requireInvariants(simulation);
        }
    }
}

TEST_CASE("at most once: concurrent copies through different entries run once", "[atmostonce]")
{
    for (foundation::milliseconds gap = 0ms; gap <= 10ms; gap += 1ms) {
        FleetSimulation simulation(2);
        startFleet(simulation);
        const std::string key = keyWithOwner(simulation, "entry-c");
        simulation.entry("entry-a").callWithKey("first", "calls", key, 2s);
        simulation.run(gap);
        simulation.entry("entry-b").callWithKey("second", "calls", key, 2s);
        simulation.run(1s);
        CHECK(runCount(simulation, key) == 1);
        CHECK(simulation.environment.replies["answered"] == 2);
        requireInvariants(simulation);
    }
}

TEST_CASE("at most once: a duplicate sent after the execution gets the recorded answer", "[atmostonce]")
{
    FleetSimulation simulation(3);
    startFleet(simulation);
    const std::string key = keyWithOwner(simulation, "entry-b");
    simulation.entry("entry-a").callWithKey("first", "calls", key, 2s);
    simulation.run(1s);
    simulation.entry("entry-c").callWithKey("second", "calls", key, 2s);
    simulation.run(1s);
    CHECK(runCount(simulation, key) == 1);
    CHECK(hasReply(simulation, "first", "answered"));
    CHECK(hasReply(simulation, "second", "answered"));
}

TEST_CASE("at most once: a duplicate joins a copy that is still queued, and a later one may run after both were shed",
    "[atmostonce]")
{
    FleetSimulation simulation(4);
    startFleet(simulation);
    simulation.environment.requestDuration = 10s;
    for (int index = 0; index < 8; ++index)
        simulation.entry("entry-a").call("busy" + std::to_string(index), "calls", true, 20s);
    simulation.run(20ms);
    const std::string key = keyWithOwner(simulation, "entry-a");
    simulation.entry("entry-a").callWithKey("first", "calls", key, 2s);
    simulation.run(20ms);
    simulation.entry("entry-b").callWithKey("second", "calls", key, 2s);
    simulation.run(1s);
    CHECK(hasReply(simulation, "first", "not-run"));
    CHECK(hasReply(simulation, "second", "not-run"));
    CHECK(runCount(simulation, key) == 0);
    simulation.run(12s);
    simulation.environment.requestDuration = 20ms;
    simulation.entry("entry-c").callWithKey("third", "calls", key, 2s);
    simulation.run(1s);
    CHECK(hasReply(simulation, "third", "answered"));
    CHECK(runCount(simulation, key) == 1);
    requireInvariants(simulation);
}

TEST_CASE("at most once: a duplicate of a request that timed out gets the outcome unknown", "[atmostonce]")
{
    FleetSimulation simulation(5);
    startFleet(simulation);
    const std::string key = keyWithOwner(simulation, "entry-b");
    simulation.entry("entry-a").callWithKey("first", "calls", key, 100ms);
    simulation.run(150ms);
    simulation.entry("entry-c").callWithKey("second", "calls", key, 2s);
    simulation.run(1s);
    simulation.entry("entry-c").callWithKey("third", "calls", key, 2s);
    simulation.run(1s);
    CHECK(hasReply(simulation, "first", "unknown"));
    CHECK(hasReply(simulation, "second", "unknown"));
    CHECK(hasReply(simulation, "third", "unknown"));
    CHECK(runCount(simulation, key) == 1);
}

TEST_CASE("at most once: after the owner is killed the outcome is unknown, and new keys are executed", "[atmostonce]")
{
    for (foundation::milliseconds when = 0ms; when <= 300ms; when += 20ms) {
        FleetSimulation simulation(6);
        startFleet(simulation);
        const std::string key = keyWithOwner(simulation, "entry-b");
        simulation.entry("entry-a").callWithKey("first", "calls", key, 2s);
        simulation.run(when);
        simulation.kill("entry-b");
        simulation.run(100ms);
        simulation.entry("entry-c").callWithKey("second", "calls", key, 20s);
        simulation.run(15s);
        INFO("owner killed after " << when.count() << " ms\n" << simulation.transcript());
        CHECK(runCount(simulation, key) <= 1);
        CHECK(hasReply(simulation, "second", "unknown"));
        const std::string freshKey = keyWithOwner(simulation, "entry-c");
        simulation.entry("entry-a").callWithKey("third", "calls", freshKey, 2s);
        simulation.run(1s);
        CHECK(hasReply(simulation, "third", "answered"));
        requireInvariants(simulation);
    }
}

TEST_CASE("at most once: an owner that resumes after a pause does not run a request twice", "[atmostonce]")
{
    for (foundation::milliseconds when = 0ms; when <= 60ms; when += 5ms) {
        FleetSimulation simulation(7);
        startFleet(simulation);
        const std::string key = keyWithOwner(simulation, "entry-b");
        simulation.entry("entry-a").callWithKey("first", "calls", key, 30s);
        simulation.run(when);
        simulation.pause("entry-b");
        simulation.run(100ms);
        simulation.entry("entry-c").callWithKey("second", "calls", key, 30s);
        simulation.run(12s);
        simulation.resume("entry-b");
        simulation.run(10s);
        simulation.entry("entry-b").callWithKey("third", "calls", key, 2s);
        simulation.run(5s);
        INFO("owner paused after " << when.count() << " ms\n" << simulation.transcript());
        CHECK(runCount(simulation, key) <= 1);
        requireInvariants(simulation);
    }
}

TEST_CASE("at most once: a new entry that becomes the owner asks the former owner", "[atmostonce]")
{
    const std::vector<std::string> four { "entry-a", "entry-b", "entry-c", "entry-d" };
    FleetSimulation simulation(8);
    startFleet(simulation);
    const std::string ran = keyWithOwner(simulation, "entry-d", four);
    simulation.entry("entry-a").callWithKey("first", "calls", ran, 2s);
    simulation.run(1s);
    simulation.addEntry("entry-d");
    simulation.run(2s);
    REQUIRE(simulation.entry("entry-a").state()->admittedEntries() == four);
    simulation.entry("entry-c").callWithKey("second", "calls", ran, 2s);
    simulation.run(1s);
    CHECK(hasReply(simulation, "first", "answered"));
    CHECK(hasReply(simulation, "second", "answered"));
    CHECK(runCount(simulation, ran) == 1);
    const std::string freshKey = keyWithOwner(simulation, "entry-d", four);
    simulation.entry("entry-b").callWithKey("third", "calls", freshKey, 2s);
    simulation.run(1s);
    CHECK(hasReply(simulation, "third", "answered"));
    CHECK(runCount(simulation, freshKey) == 1);
    requireInvariants(simulation);
}

TEST_CASE("at most once: a key without a timestamp runs exactly once in a new fleet", "[atmostonce]")
{
    FleetSimulation simulation(9);
    startFleet(simulation);
    for (const std::string id : { "first", "second", "third" }) {
        simulation.entry("entry-a").callWithKey(id, "calls", "no-time-in-it", 2s);
        simulation.run(1s);
        CHECK(hasReply(simulation, id, "answered"));
    }
    CHECK(runCount(simulation, "no-time-in-it") == 1);
}

TEST_CASE("at most once: a key older than the retention of keys gets the outcome unknown", "[atmostonce]")
{
    FleetSimulation simulation(10);
    startFleet(simulation);
    simulation.run(700s);
    simulation.entry("entry-a").callWithKey("old", "calls", "9000-old", 2s);
    simulation.run(3s);
    CHECK(hasReply(simulation, "old", "unknown"));
    CHECK(runCount(simulation, "9000-old") == 0);
}

TEST_CASE(
    "at most once: keyed requests are executed while the log is down and all members are reachable", "[atmostonce]")
{
    FleetSimulation simulation(11);
    startFleet(simulation);
    simulation.environment.setLogDown(true);
    simulation.run(30s);
    const std::string key = keyWithOwner(simulation, "entry-b");
    simulation.entry("entry-a").callWithKey("first", "calls", key, 2s);
    simulation.run(1s);
    CHECK(hasReply(simulation, "first", "answered"));
    simulation.kill("entry-c");
    simulation.run(10s);
    const std::string laterKey = keyWithOwner(simulation, "entry-b");
    simulation.entry("entry-a").callWithKey("second", "calls", laterKey, 2s);
    simulation.run(3s);
    CHECK(hasReply(simulation, "second", "unknown"));
    CHECK(runCount(simulation, laterKey) == 0);
}
