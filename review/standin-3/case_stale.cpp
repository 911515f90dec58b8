// Machine control falls silent for some seconds, and the entry in control is suspended meanwhile. Another entry takes
// over and orders the upkeep of a machine. The suspended one goes on, and its order for the same machine arrives.
#include "world.h"

#include <atomic>

using namespace world;

namespace {

constexpr int silentMs = 4000; // cloud_down silent: 5 s
constexpr int freezeMs = 5000; // node_freeze: 5 s
constexpr int beforeNextJoinMs = 300; // The entry in control joins each 400 ms.
constexpr int durationS = 20;

} // namespace

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    World world(record);
    world.tasks.work = [](const std::string&, int, const Worker&) { return Work { milliseconds(500), "done" }; };
    std::atomic<std::int64_t> joinedAt { 0 };
    world.store.onJoin = [&](const std::string& member) {
        if (member.rfind("edge-0@", 0) == 0)
            joinedAt = processMs();
    };
    world.configure(json::array({ route("calls", "desk") }), json::array({ { { "name", "desk" } } }));
    for (int i = 0; i < 6; ++i)
        world.addWorker("m" + std::to_string(i), "desk", "r" + std::to_string(i / 4), 64000);
    for (int i = 0; i < 3; ++i) {
        world.addEntry("edge-" + std::to_string(i), 260);
        if (!World::awaitReady(*world.entries.back(), milliseconds(10000))) {
            record.write("an entry isn't ready");
            return exitNotRun;
        }
        sleepMs(500);
    }
    Entry& inControl = *world.entries[0];
    sleepMs(6000); // A new controller waits before its first orders for machines.
    if (hasTrouble()) {
        record.write("machine control falls silent");
        world.run([&] { world.cloud.fallSilent(); });
    }
    world.run([&] {
        world.store.put("keyed.op", "wave/1",
            json { { "wave", 1 }, { "machines", { "m0" } }, { "duration_s", durationS }, { "cap", 1 } }.dump());
    });
    record.write("op/wave/1 for m0");
    sleepMs(2500);
    if (hasTrouble()) {
        const std::int64_t lastJoin = joinedAt;
        while (joinedAt == lastJoin)
            sleepMs(1);
        sleepMs(beforeNextJoinMs);
        inControl.signal(SIGSTOP);
        const auto frozenAt = Clock::now();
        record.write(inControl.name() + " is suspended");
        sleepMs(silentMs - 2500 - beforeNextJoinMs - 400);
        world.run([&] { world.cloud.answerAgain(); });
        record.write("machine control answers");
        std::this_thread::sleep_until(frozenAt + milliseconds(freezeMs));
        inControl.signal(SIGCONT);
        record.write(inControl.name() + " goes on");
    }
    sleepMs(5000);
    const auto orders = world.run([&] { return world.cloud.orders; });
    std::map<std::string, std::uint64_t> highest;
    bool isBroken = false;
    for (const auto& order : orders) {
        std::uint64_t& token = highest[order.machine];
        if (order.token < token) {
            record.write("order for " + order.machine + " from " + order.holder + " with token "
                + std::to_string(order.token) + " after one with token " + std::to_string(token));
            isBroken = true;
        }
        token = std::max(token, order.token);
    }
    if (orders.empty()) {
        record.write("no order was given");
        return exitNotRun;
    }
    record.write(std::string("ONE ") + (isBroken ? "broken" : "held"));
    return isBroken ? exitBroken : exitHeld;
}
