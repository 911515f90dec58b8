#pragma once

#include "emulator/emulation.h"
#include "emulator/tests/mocks/recordingsink.h"

#include <algorithm>
#include <optional>

namespace turmericsill::emulator::fixtures {

inline fleet::FleetConfiguration configuration()
{
    fleet::FleetConfiguration result;
    result.version = 1;
    fleet::Queue queue;
    queue.name = "calls";
    queue.host = "calls.example";
    queue.pathPrefix = "/calls/";
    queue.pool = "desk";
    queue.maximumAttempts = 4;
    result.queues.push_back(queue);
    result.pools["desk"] = { "desk", false, false };
    return result;
}

inline jobs::StepSpec step(std::uint32_t count, std::int64_t milliCores, std::vector<std::uint32_t> dependsOn = {})
{
    jobs::StepSpec result;
    result.taskCount = count;
    result.resourcesPerTask = { milliCores, 100, 0 };
    result.estimatedDuration = milliseconds(800);
    result.dependsOn = std::move(dependsOn);
    return result;
}

inline jobs::StepSpec longRunningStep(
    std::uint32_t count, std::int64_t milliCores, std::vector<std::uint32_t> dependsOn = {})
{
    jobs::StepSpec result = step(count, milliCores, std::move(dependsOn));
    result.isLongRunning = true;
    return result;
}

inline jobs::JobSpec job(std::vector<jobs::StepSpec> steps)
{
    jobs::JobSpec result;
    result.payload = "call the crew";
    result.steps = std::move(steps);
    return result;
}

/// Emulation of three entries and four instances of eight cores each.
struct EmulationFixture {
    explicit EmulationFixture(std::uint64_t seed, const fleet::FleetConfiguration& declared = configuration(),
        const control::ControlSettings& controlSettings = settings(),
        const std::optional<jobs::RecordLimits>& limits = std::nullopt)
        : emulation(seed, controlSettings, sink)
    {
        if (limits)
            emulation.platform().log().setLimits(*limits);
        emulation.platform().setConfiguration(declared);
        for (const char* name : { "i-1", "i-2", "i-3", "i-4" })
            emulation.platform().startInstance(name, "desk", { 8000, 16000, 0 });
        startAllEntries();
        emulation.advanceTime(milliseconds(1000));
    }

    static control::ControlSettings settings()
    {
        control::ControlSettings result;
        result.snapshotInterval = milliseconds(2000);
        return result;
    }

    void startAllEntries()
    {
        for (const char* name : { "e-1", "e-2", "e-3" })
            emulation.startEntry(name);
    }

    /// Ends the processes of all live entries without notice.
    void killAllEntries()
    {
        for (const auto& name : emulation.liveEntries())
            emulation.killEntry(name);
    }

    const std::vector<std::string>& violations() { return emulation.platform().invariants().violations(); }

    /// Number of events of a kind that all entries have written.
    std::size_t countEvents(const std::string& event) const
    {
        return static_cast<std::size_t>(std::count_if(sink.lines.begin(), sink.lines.end(),
            [&](const std::string& line) { return line.compare(0, event.size(), event) == 0; }));
    }

    /// Queries the status of every accepted job from every live entry.
    void queryAllStatuses()
    {
        for (const auto id : emulation.platform().invariants().acceptedJobs()) {
            for (const auto& entry : emulation.liveEntries())
                emulation.queryStatus(entry, id);
        }
    }

    /// Queries the number of pending jobs from every live entry.
    void queryAllPending()
    {
        for (const auto& entry : emulation.liveEntries())
            emulation.queryPending(entry);
    }

    mocks::RecordingSink sink;
    Emulation emulation;
};

/// Status of a job as an entry tells it to a caller.
inline entry::JobStatus statusOf(EmulationFixture& fixture, const std::string& entryName, jobs::JobId id)
{
    entry::JobStatus result;
    fixture.emulation.queryStatus(entryName, id, [&](entry::JobStatus status) { result = status; });
    fixture.emulation.advanceTime(milliseconds(50));
    return result;
}

} // namespace turmericsill::emulator::fixtures
