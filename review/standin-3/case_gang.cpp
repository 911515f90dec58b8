// The two members of a gang end "failed" in the same run, on two workers that fail all that they start for a while.
// The gang has failed once; its queue allows two failures.
#include "world.h"

#include <atomic>

using namespace world;

namespace {

constexpr int maximumAttempts = 2;
constexpr int members = 2;
constexpr int workMs = 1000;
constexpr int failAfterMs = 300;

} // namespace

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    World world(record);
    std::mutex mutex;
    std::set<int> failedRuns;
    int failedEnds = 0;
    std::atomic<bool> isGrey { hasTrouble() };
    world.tasks.gangSize = [](const std::string&) { return members; };
    world.tasks.work = [&](const std::string&, int, const Worker&) {
        return isGrey ? Work { milliseconds(failAfterMs), "failed" } : Work { milliseconds(workMs), "done" };
    };
    world.tasks.observe = [&](const std::string& event, const Worker& worker, const std::string& task, int run) {
        record.write("worker " + worker.id + ": " + event + " " + task + " run " + std::to_string(run));
        if (event != "failed")
            return;
        const std::lock_guard<std::mutex> lock(mutex);
        failedRuns.insert(run);
        ++failedEnds;
        isGrey = false; // The workers are sound from then on.
    };
    world.configure(json::array({ route("calls", "desk", maximumAttempts) }), json::array({ { { "name", "desk" } } }));
    for (int i = 0; i < 14; ++i)
        world.addWorker("m" + std::to_string(i), "desk", "r" + std::to_string(i / 2), 64000);
    for (int i = 0; i < 3; ++i)
        world.addEntry("edge-" + std::to_string(i), 260);
    for (auto& entry : world.entries) {
        if (!World::awaitReady(*entry, milliseconds(10000))) {
            record.write(entry->name() + " isn't ready");
            return exitNotRun;
        }
    }
    sleepMs(1000);
    const std::string id = jobId(0x99);
    const std::string body = json { { "spec", "call" },
        { "steps", json::array({ { { "count", members }, { "cpu", 8000 }, { "mem_mb", 500 }, { "estimate_ms", workMs },
                       { "gang", true }, { "max_per_server", 1 }, { "required_label", "r0" } } }) } }
                                 .dump();
    const auto [status, text] = callAny(world, "POST", "/calls/" + id, body, 0);
    record.write("POST /calls/" + id + " -> " + std::to_string(status));
    if (status != 200)
        return exitNotRun;
    std::string state;
    for (const auto until = Clock::now() + milliseconds(25000); Clock::now() < until; sleepMs(300)) {
        const auto [shown, answer] = callAny(world, "GET", "/calls/" + id, {}, 0);
        if (answer != state)
            record.write("GET /calls/" + id + " -> " + std::to_string(shown) + " " + answer);
        state = answer;
        if (state.find("completed") != std::string::npos || state.find("failed") != std::string::npos)
            break;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    if (hasTrouble() && failedEnds < members) {
        record.write("the members didn't both end failed");
        return exitNotRun;
    }
    const bool isShownAsFailed = state.find("failed") != std::string::npos;
    const bool isCompleted = state.find("completed") != std::string::npos;
    record.write("runs of the gang that failed: " + std::to_string(failedRuns.size()) + " of max_attempts "
        + std::to_string(maximumAttempts) + "; ends failed of its members: " + std::to_string(failedEnds));
    const bool isBroken = (isShownAsFailed && failedRuns.size() < maximumAttempts) || !(isShownAsFailed || isCompleted);
    record.write(std::string("LOST ") + (isBroken ? "broken" : "held"));
    return isBroken ? exitBroken : exitHeld;
}
