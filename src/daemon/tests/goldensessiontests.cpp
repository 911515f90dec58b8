#include "daemon/tests/fleetsimulation.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::daemon::tests;
using namespace std::chrono_literals;

namespace {

/// Starts three entries and declares two pools.
void startFleet(FleetSimulation& simulation)
{
    simulation.startThreeEntries();
    simulation.declarePool("calls", 3, 1);
    simulation.run(200ms);
    simulation.declarePool("billing", 2, 0);
    simulation.run(3s);
}

void requireInvariants(const FleetSimulation& simulation) { CHECK(simulation.invariantViolations() == noViolations); }

} // namespace

TEST_CASE("simulation: declare pools, send requests, drain and reboot an instance, return it to service", "[session]")
{
    FleetSimulation simulation(1);
    startFleet(simulation);
    simulation.entry("entry-a").call("r1", "calls", false, 1s);
    simulation.entry("entry-b").call("r2", "billing", true, 1s);
    simulation.entry("entry-c").call("r3", "nowhere", true, 1s);
    simulation.run(100ms);
    simulation.environment.requestDuration = 400ms;
    for (int index = 4; index <= 12; ++index)
        simulation.entry("entry-b").call("r" + std::to_string(index), "calls", false, 2s);
    simulation.run(20ms);
    simulation.drain("entry-b", "calls-2");
    simulation.run(4s);
    simulation.entry("entry-a").call("r13", "calls", true, 1s);
    simulation.run(1s);
    requireInvariants(simulation);
    CHECK(simulation.entry("entry-a").state()->digest() == simulation.entry("entry-c").state()->digest());
    checkGolden("whole_path", simulation.transcript());
}

TEST_CASE("simulation: another entry completes a drain after its controller is killed", "[session]")
{
    FleetSimulation simulation(2);
    startFleet(simulation);
    simulation.environment.requestDuration = 300ms;
    const std::string controller = simulation.entry("entry-a").state()->pools.at("calls")->claim.holder;
    simulation.environment.addToTranscript("calls is controlled by " + controller);
    const std::string other = controller == "entry-a" ? "entry-b" : "entry-a";
    for (int index = 1; index <= 6; ++index)
        simulation.entry(other).call("r" + std::to_string(index), "calls", false, 2s);
    simulation.run(10ms);
    simulation.drain(other, "calls-1");
    simulation.run(60ms);
    simulation.kill(controller);
    simulation.addEntry("entry-d");
    simulation.run(10s);
    simulation.entry("entry-d").call("r7", "calls", false, 1s);
    simulation.run(1s);
    requireInvariants(simulation);
    const auto state = simulation.entry(other).state();
    CHECK(state->findInstance("calls-1")->lifecycle == fleetstate::Lifecycle::Serving);
    CHECK(state->roster.count(controller) == 0);
    CHECK(state->pools.at("calls")->claim.epoch == 2);
    checkGolden("killed_controller", simulation.transcript());
}
