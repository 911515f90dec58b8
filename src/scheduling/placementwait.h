#pragma once

#include "foundation/iclock.h"
#include "scheduling/types/poolview.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace turmericsill::scheduling {

using foundation::milliseconds;

/// Why a task waits for a slot on its rack, or does not.
enum class WaitReason {
    SlotExpected, ///< A slot on the rack is expected in time; the only reason to wait.
    NoGain, ///< A local start gains less than the time in which a free slot becomes known.
    RackUnusable, ///< No instance of the rack accepts such a task.
    NoSlotExpected, ///< Of the runs on the rack, too few have an end that can be estimated.
    SlotTooLate, ///< The slot is expected too late for the gain or for the limit of the wait.
    LatestStart, ///< The job might miss its objective because of the wait.
    WaitedBefore, ///< The gain or the limit is used up by the time waited so far.
};

std::string_view toText(WaitReason reason);

/// What is known when a task finds no room on its rack, but does on another.
struct PlacementWaitInput {
    foundation::SteadyTime now;
    foundation::SteadyTime waitingSince; ///< When the step became ready, as far as known.
    foundation::SteadyTime latestStart; ///< See latestStart(); a time that has passed for late jobs.
    milliseconds duration { 0 }; ///< Estimated duration of the task on its rack.
    double remoteSlowdown = 1; ///< Duration on another rack as a multiple of that on the rack.
    bool isRackUsable = false; ///< Whether an instance of the rack accepts such tasks once it has room.
    /// When slots for such a task are expected on the rack, earliest first. Those expected before `now` are left out.
    const std::vector<foundation::SteadyTime>* expectedSlots = nullptr;
    std::size_t slotsAhead = 0; ///< Number of these slots that tasks take which have waited longer.
};

/// Start elsewhere now, or wait.
struct PlacementWaitDecision {
    bool isWaiting = false;
    WaitReason reason = WaitReason::NoGain;
    foundation::SteadyTime until; ///< When the task starts elsewhere unless it has got a slot. Only if it waits.
    foundation::SteadyTime expectedAt; ///< When the slot is expected. Only if it waits.
};

/// Longest time that a step waits in total, so that no job is without a run for 3 s while there is capacity.
constexpr milliseconds maximumPlacementWait { 2000 };

/// Decides whether waiting for a slot on the wanted rack pays for a task. A wait lasts twice as long as the slot is
/// expected to take, and all of that has to lie within the gain, so that a slot that does not come costs no more than a
/// slot gains that does.
PlacementWaitDecision decidePlacementWait(const PlacementWaitInput& input);

/// Number of tasks with this need that fit into free resources.
std::int64_t taskCapacity(const jobs::Resources& need, const jobs::Resources& free);

/// Adds the times at which runs that end on an instance are expected to make room for one more task with this need,
/// up to `horizon`. Runs that should have ended by `now` are left out: their estimate tells nothing about their end.
void addExpectedSlots(const InstanceView& instance, const jobs::Resources& need, foundation::SteadyTime now,
    foundation::SteadyTime horizon, std::vector<foundation::SteadyTime>& slots);

} // namespace turmericsill::scheduling
