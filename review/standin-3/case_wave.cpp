// Machine control doesn't answer for some seconds. Meanwhile a machine joins the pool, and the operator requests a wave
// of upkeep for it.
#include "world.h"

using namespace world;

namespace {

constexpr int downMs = 5000; // cloud_down
constexpr int durationS = 20;

} // namespace

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    World world(record);
    world.tasks.work = [](const std::string&, int, const Worker&) { return Work { milliseconds(500), "done" }; };
    std::mutex mutex;
    std::string waveState;
    bool isFalselyCompleted = false;
    world.store.onStatus = [&](const std::string& key, const std::string& value) {
        record.write("status/" + key + " " + value);
        const std::lock_guard<std::mutex> lock(mutex);
        waveState = json::parse(value).value("state", "");
        const Cloud::Machine& machine = world.cloud.machines.at("m9");
        isFalselyCompleted |= waveState == "completed" && !machine.upkeepDone.count(1);
    };
    world.configure(json::array({ route("calls", "desk") }), json::array({ { { "name", "desk" } } }));
    for (int i = 0; i < 6; ++i)
        world.addWorker("m" + std::to_string(i), "desk", "r" + std::to_string(i / 4), 64000);
    for (int i = 0; i < 3; ++i)
        world.addEntry("edge-" + std::to_string(i), 260);
    for (auto& entry : world.entries) {
        if (!World::awaitReady(*entry, milliseconds(10000))) {
            record.write(entry->name() + " isn't ready");
            return exitNotRun;
        }
    }
    sleepMs(6000); // A new controller waits before its first orders for machines.
    if (hasTrouble()) {
        record.write("machine control answers 503");
        world.run([&] { world.cloud.isUnavailable = true; });
    }
    sleepMs(1000);
    world.addWorker("m9", "desk", "r1", 64000);
    record.write("machine m9 has joined");
    sleepMs(2000);
    world.run([&] {
        world.store.put("keyed.op", "wave/1",
            json { { "wave", 1 }, { "machines", { "m9" } }, { "duration_s", durationS }, { "cap", 1 } }.dump());
    });
    record.write("op/wave/1 for m9");
    sleepMs(downMs - 3000);
    world.run([&] { world.cloud.isUnavailable = false; });
    record.write("machine control answers");
    sleepMs(durationS * 1000);
    const std::lock_guard<std::mutex> lock(mutex);
    const bool hasBegun = world.run([&] { return world.cloud.machines.at("m9").upkeepDone.count(1) > 0; });
    record.write("status/wave/1 is " + (waveState.empty() ? std::string("missing") : waveState) + ", the upkeep of m9 has "
        + (hasBegun ? "" : "not ") + "begun");
    const bool isBroken = isFalselyCompleted || (waveState == "completed" && !hasBegun);
    record.write(std::string("MIXED ") + (isBroken ? "broken" : "held"));
    return isBroken ? exitBroken : exitHeld;
}
