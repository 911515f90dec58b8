#include "scheduling/placementwait.h"

#include <algorithm>
#include <limits>

namespace turmericsill::scheduling {

using foundation::SteadyTime;

namespace {

    /// Time waited as a multiple of the expected time. Estimates of runs are often short by up to this factor; beyond
    /// it, the wait costs more than the few slots that still come are worth.
    constexpr int safetyFactor = 2;

    /// Time from the end of a run until its slot can be planned: the instance reports the end, and the log stores it.
    constexpr milliseconds releaseDelay { 100 };

    milliseconds gainOf(const PlacementWaitInput& input)
    {
        const std::chrono::duration<double, std::milli> duration = input.duration;
        return std::chrono::duration_cast<milliseconds>(duration * (input.remoteSlowdown - 1));
    }

    /// Time until which the job loses nothing but the gain. While a start elsewhere still meets the objective, the wait
    /// must not spoil that; afterwards only a local start can meet it.
    SteadyTime objectiveLimit(const PlacementWaitInput& input, milliseconds gain)
    {
        const SteadyTime latestRemoteStart = input.latestStart - gain;
        return input.now <= latestRemoteStart ? latestRemoteStart : input.latestStart;
    }

} // namespace

std::string_view toText(WaitReason reason)
{
    switch (reason) {
    case WaitReason::SlotExpected:
        return "slot-expected";
    case WaitReason::NoGain:
        return "no-gain";
    case WaitReason::RackUnusable:
        return "rack-unusable";
    case WaitReason::NoSlotExpected:
        return "no-slot-expected";
    case WaitReason::SlotTooLate:
        return "slot-too-late";
    case WaitReason::LatestStart:
        return "latest-start";
    case WaitReason::WaitedBefore:
        return "waited-before";
    }
    return "unknown";
}

PlacementWaitDecision decidePlacementWait(const PlacementWaitInput& input)
{
    const auto startElsewhere = [](WaitReason reason) { return PlacementWaitDecision { false, reason, {}, {} }; };
    const milliseconds gain = gainOf(input);
    if (gain <= releaseDelay)
        return startElsewhere(WaitReason::NoGain);
    if (!input.isRackUsable)
        return startElsewhere(WaitReason::RackUnusable);
    const SteadyTime waitLimit = input.waitingSince + std::min(gain, maximumPlacementWait);
    if (input.now + releaseDelay > waitLimit)
        return startElsewhere(WaitReason::WaitedBefore);
    if (!input.expectedSlots || input.slotsAhead >= input.expectedSlots->size())
        return startElsewhere(WaitReason::NoSlotExpected);
    const SteadyTime expectedAt = std::max(input.now, (*input.expectedSlots)[input.slotsAhead]);
    const SteadyTime until = input.now + (expectedAt - input.now) * safetyFactor + releaseDelay;
    if (until > waitLimit)
        return startElsewhere(WaitReason::SlotTooLate);
    if (until > objectiveLimit(input, gain))
        return startElsewhere(WaitReason::LatestStart);
    return { true, WaitReason::SlotExpected, until, expectedAt };
}

std::int64_t taskCapacity(const jobs::Resources& need, const jobs::Resources& free)
{
    std::int64_t result = std::numeric_limits<std::int64_t>::max();
    const auto restrict = [&result](std::int64_t needed, std::int64_t available) {
        if (needed > 0)
            result = std::min(result, std::max(std::int64_t(0), available) / needed);
    };
    restrict(need.milliCores, free.milliCores);
    restrict(need.memoryMb, free.memoryMb);
    restrict(need.accelerators, free.accelerators);
    return result;
}

void addExpectedSlots(const InstanceView& instance, const jobs::Resources& need, SteadyTime now, SteadyTime horizon,
    std::vector<SteadyTime>& slots)
{
    std::vector<ExpectedRelease> releases;
    for (const ExpectedRelease& release : instance.releases) {
        if (release.at > now && release.at <= horizon)
            releases.push_back(release);
    }
    std::sort(releases.begin(), releases.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    jobs::Resources free = instance.free;
    std::int64_t known = taskCapacity(need, free);
    for (const ExpectedRelease& release : releases) {
        free += release.resources;
        for (const std::int64_t count = taskCapacity(need, free); known < count; ++known)
            slots.push_back(release.at);
    }
}

} // namespace turmericsill::scheduling
