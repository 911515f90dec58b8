// One caller hands in scheduled jobs whose times come faster than its pool can run them. Every job keeps the limits of
// the pages. Each entry has the memory of a machine of mgz-sill; as the platform does, the case ends a process that
// takes more, and starts it again. Another queue with workers of its own has ordinary jobs all the while.
#include "world.h"

#include <atomic>

using namespace world;

namespace {

constexpr int memoryMb = 260; // The machines of mgz-sill.
constexpr int scheduledJobs = 24; // One a second.
constexpr int stepsOfScheduledJob = 100;
constexpr int repeats = 1000;
constexpr int intervalMs = 10;
constexpr int calmIntervalMs = 60000; // With TROUBLE=0.
constexpr int earlyJobs = 12;
constexpr int lateJobs = 12;
constexpr int finishMs = 14000; // finish_s
constexpr int restartMs = 1000;

json step()
{
    return { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 64 }, { "estimate_ms", 1000 } };
}

std::string scheduledJob()
{
    json steps = json::array();
    for (int i = 0; i < stepsOfScheduledJob; ++i)
        steps.push_back(step());
    return json { { "spec", "roster" }, { "steps", steps }, { "repeats", repeats }, { "first_ms", wallMs() },
        { "interval_ms", hasTrouble() ? intervalMs : calmIntervalMs } }
        .dump();
}

/// Watches the memory of the entries, ends those that exceed it, and starts each again.
class Platform {
public:
    explicit Platform(World& world)
        : world_(world)
        , ends_(world.entries.size())
        , thread_([this] { watch(); })
    {
    }

    ~Platform()
    {
        isOver_ = true;
        thread_.join();
    }

    int ends(std::size_t entry) const { return ends_[entry]; }

private:
    void watch()
    {
        std::vector<Clock::time_point> restartAt(world_.entries.size());
        for (; !isOver_; std::this_thread::sleep_for(milliseconds(2))) {
            for (std::size_t i = 0; i < world_.entries.size(); ++i) {
                Entry& entry = *world_.entries[i];
                if (!entry.isRunning()) {
                    if (Clock::now() >= restartAt[i])
                        entry.start();
                    continue;
                }
                const long used = entry.memoryMb();
                const bool hasEnded = entry.hasEnded();
                if (used <= memoryMb && !hasEnded)
                    continue;
                ++ends_[i];
                world_.record.write(entry.name()
                    + (hasEnded ? " has ended by itself"
                                : " takes " + std::to_string(used) + " MB of " + std::to_string(memoryMb)
                                + ": ended by the platform"));
                entry.kill();
                restartAt[i] = Clock::now() + milliseconds(restartMs);
            }
        }
    }

    World& world_;
    std::vector<std::atomic<int>> ends_;
    std::atomic<bool> isOver_ { false };
    std::thread thread_;
};

} // namespace

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    World world(record);
    world.tasks.work = [](const std::string&, int, const Worker&) { return Work { milliseconds(1000), "done" }; };
    std::atomic<int> ordinaryStarts { 0 };
    world.tasks.observe = [&](const std::string& event, const Worker& worker, const std::string&, int) {
        ordinaryStarts += event == "start" && worker.service == "desk";
    };
    world.configure(json::array({ route("calls", "desk"), route("rosters", "season") }),
        json::array({ { { "name", "desk" } }, { { "name", "season" } } }));
    for (int i = 0; i < 6; ++i) {
        world.addWorker("d" + std::to_string(i), "desk", "r" + std::to_string(i / 4), 64000);
        world.addWorker("s" + std::to_string(i), "season", "r" + std::to_string(i / 4), 64000);
    }
    for (int i = 0; i < 3; ++i)
        world.addEntry("edge-" + std::to_string(i), memoryMb);
    for (auto& entry : world.entries) {
        if (!World::awaitReady(*entry, milliseconds(10000))) {
            record.write(entry->name() + " isn't ready");
            return exitNotRun;
        }
    }
    const std::vector<std::string> early = submitOrdinaryJobs(world, 0x1000, earlyJobs);
    sleepMs(4000);
    if (early.size() < earlyJobs || countCompleted(world, early) < earlyJobs) {
        record.write("ordinary jobs aren't completed before the trouble");
        return exitNotRun;
    }
    std::vector<std::string> late;
    bool isEveryEntryEnding = false;
    int completed = 0;
    {
        Platform platform(world);
        int accepted = 0;
        for (int i = 0; i < scheduledJobs; ++i) {
            const std::string body = scheduledJob();
            const auto [status, text] = callAny(world, "POST", "/rosters/" + jobId(0x9000 + i), body, i);
            accepted += status == 200;
            std::string line = "POST /rosters/" + jobId(0x9000 + i) + " of " + std::to_string(body.size())
                + " bytes -> " + std::to_string(status) + "; MB:";
            for (auto& entry : world.entries)
                line += " " + std::to_string(entry->isRunning() ? entry->memoryMb() : 0);
            record.write(line);
            sleepMs(1000);
        }
        sleepMs(8000); // All times of the scheduled jobs have come.
        const int startsBefore = ordinaryStarts;
        late = submitOrdinaryJobs(world, 0x2000, lateJobs);
        sleepMs(finishMs);
        completed = countCompleted(world, late);
        record.write(std::to_string(accepted) + " scheduled jobs accepted; of " + std::to_string(late.size())
            + " ordinary jobs accepted " + std::to_string(finishMs / 1000) + " s ago " + std::to_string(completed)
            + " are shown as completed; tasks started for them: " + std::to_string(ordinaryStarts - startsBefore));
        std::string line = "processes ended for memory:";
        for (std::size_t i = 0; i < world.entries.size(); ++i)
            line += " " + world.entries[i]->name() + " " + std::to_string(platform.ends(i));
        record.write(line);
        int often = 0;
        for (std::size_t i = 0; i < world.entries.size(); ++i)
            often += platform.ends(i) >= 3;
        isEveryEntryEnding = often >= 2;
    }
    const bool isLost = completed < static_cast<int>(late.size());
    record.write(std::string("LOST ") + (isLost ? "broken" : "held") + ", Fault "
        + (isEveryEntryEnding ? "broken" : "held"));
    return isLost || isEveryEntryEnding ? exitBroken : exitHeld;
}
