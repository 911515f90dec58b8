// One caller hands in a few scheduled jobs that can never be done: each step needs a label that no worker has. Every
// job keeps the limits of the pages. Another queue with idle workers of its own has ordinary jobs.
#include "world.h"

#include <atomic>

using namespace world;

namespace {

constexpr int hopelessJobs = 8; // At most one a second.
constexpr int stepsOfHopelessJob = 1000;
constexpr int repeats = 100;
constexpr int intervalMs = 10;
constexpr int earlyJobs = 12;
constexpr int timedJobs = 2; // Ordinary jobs that are accepted before the trouble and due later.
constexpr int dueMs = 30000; // After their acceptance.
constexpr int finishMs = 14000; // finish_s

std::string hopelessJob(int number)
{
    json steps = json::array();
    for (int i = 0; i < (hasTrouble() ? stepsOfHopelessJob : 1); ++i) {
        json step { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 64 }, { "estimate_ms", 1000 } };
        if (hasTrouble())
            step["required_label"] = "crew-" + std::to_string(number) + "-" + std::to_string(i);
        steps.push_back(step);
    }
    return json { { "spec", "roster" }, { "steps", steps }, { "repeats", repeats }, { "first_ms", wallMs() },
        { "interval_ms", intervalMs } }
        .dump();
}

std::vector<std::string> submitTimedJobs(World& world)
{
    const std::string body = json { { "spec", "call" },
        { "steps", json::array({ { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 64 }, { "estimate_ms", 1000 } } }) },
        { "repeats", 1 }, { "first_ms", wallMs() + dueMs }, { "interval_ms", 1000 } }
                                 .dump();
    std::vector<std::string> accepted;
    for (int i = 0; i < timedJobs; ++i) {
        const std::string id = jobId(0x2000 + i);
        const auto [status, text] = callAny(world, "POST", "/calls/" + id, body, i);
        world.record.write("POST /calls/" + id + ", due in 30 s -> " + std::to_string(status));
        if (status == 200)
            accepted.push_back(id);
    }
    return accepted;
}

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
        world.addEntry("edge-" + std::to_string(i), 260);
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
    const auto due = Clock::now() + milliseconds(dueMs);
    const std::vector<std::string> timed = submitTimedJobs(world);
    if (timed.size() < timedJobs) {
        record.write("timed jobs aren't accepted before the trouble");
        return exitNotRun;
    }
    const int startsBefore = ordinaryStarts;
    int accepted = 0;
    for (int i = 0; i < hopelessJobs && Clock::now() < due; ++i) {
        const std::string body = hopelessJob(i);
        const auto [status, text] = callAny(world, "POST", "/rosters/" + jobId(0x9000 + i), body, i);
        accepted += status == 200;
        std::string line = "POST /rosters/" + jobId(0x9000 + i) + " of " + std::to_string(body.size()) + " bytes -> "
            + std::to_string(status) + "; MB:";
        for (auto& entry : world.entries)
            line += " " + std::to_string(entry->memoryMb());
        record.write(line);
        sleepMs(1000);
    }
    std::this_thread::sleep_until(due + milliseconds(1000 + finishMs)); // A second of work.
    const int started = ordinaryStarts - startsBefore;
    const int completed = countCompleted(world, timed);
    record.write(std::to_string(accepted) + " jobs accepted that can't be done; of " + std::to_string(timed.size())
        + " ordinary jobs that were accepted before and due " + std::to_string(finishMs / 1000 + 1) + " s ago "
        + std::to_string(completed) + " are shown as completed; tasks started for them by then: "
        + std::to_string(started));
    std::string line = "MB:";
    for (auto& entry : world.entries)
        line += " " + std::to_string(entry->memoryMb()) + (entry->hasEnded() ? " (ended)" : "");
    record.write(line);
    const bool isLost = completed < timedJobs;
    record.write(std::string("LOST ") + (isLost ? "broken" : "held"));
    return isLost ? exitBroken : exitHeld;
}
