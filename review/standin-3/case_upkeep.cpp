// A wave of upkeep for both machines of a pool. On each of them a task of a step with may_miss is at work that must not be
// stopped, since a third task of the step has no place; tasks that last are on all other machines too. Ordinary jobs for
// the pool are handed in meanwhile.
#include "world.h"

using namespace world;

namespace {

constexpr int deskMachines = 2;
constexpr int deskTasks = 3; // One a machine at most, so one of them waits.
constexpr int otherMachines = 4;
constexpr std::int64_t cpuOfMachine = 64000;
constexpr std::int64_t cpuOfLastingTask = 8000;
constexpr int durationS = 24; // The shortest of mgz-sill.
constexpr int finishMs = 14000; // finish_s

std::string lastingJob(int tasks)
{
    return json { { "spec", "ledger" },
        { "steps", json::array({ { { "count", tasks }, { "cpu", cpuOfLastingTask }, { "mem_mb", 4000 },
                       { "long_running", true }, { "may_miss", 1 }, { "max_per_server", 1 } } }) } }
        .dump();
}

} // namespace

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    World world(record);
    world.tasks.work = [](const std::string&, int, const Worker&) { return Work { milliseconds(1000), "done" }; };
    world.tasks.isLongRunning
        = [](const std::string& task) { return task.rfind(jobId(0x51), 0) == 0 || task.rfind(jobId(0x52), 0) == 0; };
    world.tasks.observe = [&](const std::string& event, const Worker& worker, const std::string& task, int run) {
        if (event != "noted")
            record.write("worker " + worker.id + ": " + event + " " + task + " run " + std::to_string(run));
    };
    world.store.onStatus
        = [&](const std::string& key, const std::string& value) { record.write("status/" + key + " " + value); };
    world.configure(json::array({ route("calls", "desk"), route("rosters", "season") }),
        json::array({ { { "name", "desk" } }, { { "name", "season" } } }));
    for (int i = 0; i < deskMachines; ++i)
        world.addWorker("d" + std::to_string(i), "desk", "r0", cpuOfMachine);
    for (int i = 0; i < otherMachines; ++i)
        world.addWorker("s" + std::to_string(i), "season", "r1", cpuOfMachine);
    for (int i = 0; i < 3; ++i)
        world.addEntry("edge-" + std::to_string(i), 260);
    for (auto& entry : world.entries) {
        if (!World::awaitReady(*entry, milliseconds(10000))) {
            record.write(entry->name() + " isn't ready");
            return exitNotRun;
        }
    }
    sleepMs(1000);
    const auto desk = callAny(world, "POST", "/calls/" + jobId(0x51), lastingJob(deskTasks), 0).first;
    const auto season = callAny(world, "POST", "/rosters/" + jobId(0x52), lastingJob(otherMachines), 1).first;
    sleepMs(6000); // A new controller waits before its first orders for machines.
    const auto isEachAtWork = world.run([&] {
        return std::all_of(
            world.workers.begin(), world.workers.end(), [](const auto& worker) { return worker->runs().size() == 1; });
    });
    if (desk != 200 || season != 200 || !isEachAtWork) {
        record.write("the tasks that last aren't at work on each machine");
        return exitNotRun;
    }
    if (hasTrouble()) {
        world.run([&] {
            json machines = json::array();
            for (int i = 0; i < deskMachines; ++i)
                machines.push_back("d" + std::to_string(i));
            world.store.put("keyed.op", "wave/1",
                json { { "wave", 1 }, { "machines", machines }, { "duration_s", durationS }, { "cap", deskMachines } }
                    .dump());
        });
        record.write("op/wave/1 for both machines of desk, in " + std::to_string(durationS) + " s");
    }
    sleepMs(2000);
    const std::vector<std::string> accepted = submitOrdinaryJobs(world, 0x1000, 4);
    if (accepted.size() < 4)
        return exitNotRun;
    int completed = 0;
    std::int64_t usedCpu = 0;
    // Until finish_s after the wave's time.
    for (const auto until = Clock::now() + milliseconds(durationS * 1000 + finishMs); Clock::now() < until;) {
        sleepMs(2000);
        if (completed == static_cast<int>(accepted.size()))
            continue;
        completed = countCompleted(world, accepted);
        usedCpu = world.run([&] {
            std::int64_t used = 0;
            for (const auto& worker : world.workers)
                used += worker->service == "desk" ? static_cast<std::int64_t>(worker->runs().size()) * cpuOfLastingTask : 0;
            return used;
        });
        record.write("desk: " + std::to_string(usedCpu / 1000) + " of "
            + std::to_string(deskMachines * cpuOfMachine / 1000) + " cores in use");
    }
    const auto upkeeps = world.run([&] {
        int done = 0;
        for (const auto& [name, machine] : world.cloud.machines)
            done += machine.upkeepDone.count(1) > 0;
        return done;
    });
    record.write(std::to_string(completed) + " of " + std::to_string(accepted.size()) + " jobs are completed "
        + std::to_string(durationS + finishMs / 1000) + " s after their acceptance; machines whose upkeep has begun: "
        + std::to_string(upkeeps));
    const bool isBroken = completed < static_cast<int>(accepted.size());
    record.write(std::string("LOST ") + (isBroken ? "broken" : "held"));
    return isBroken ? exitBroken : exitHeld;
}
