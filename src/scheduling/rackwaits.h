#pragma once

#include "scheduling/instanceindex.h"
#include "scheduling/placementwait.h"
#include "scheduling/poolbacklog.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace turmericsill::scheduling {

/// Times of a job that limit the waits of its steps.
struct JobTimes {
    foundation::SteadyTime submittedAt;
    foundation::SteadyTime latestStart;
};

enum class WaitOutcome {
    Local, ///< All tasks that waited have started on the rack.
    Remote, ///< At least one of them has started on another rack.
    Ended, ///< The step needs no start any more; its job was cancelled or has failed.
};

std::string_view toText(WaitOutcome outcome);

/// A wait that is over.
struct EndedWait {
    StepId step;
    std::string rack;
    WaitOutcome outcome = WaitOutcome::Ended;
    std::string_view endReason; ///< What ended the wait, as a fixed text.
    milliseconds waited { 0 }; ///< From the decision to wait until the end of the wait.
    milliseconds waitedSinceReady { 0 }; ///< The same from the time when the step became ready, as far as known.
    milliseconds expected { 0 }; ///< Time in which the slot was expected.
    std::uint32_t localStarts = 0;
    std::uint32_t remoteStarts = 0;
    /// What the local starts have gained by the estimates, less the time waited, over all tasks; negative for a loss.
    milliseconds gain { 0 };
    bool causesPause = false; ///< Whether the latest waits of the pool have lost, so that no step waits for a while.
};

/// Tasks of a step that find room, but not on the rack that they want.
struct RackRequest {
    const InstanceIndex& instances;
    const WaitingStep& waiting;
    const jobs::Job& job;
    const std::string& rack;
    std::uint32_t position = 0; ///< Number of tasks of the step that wait already in this plan.
    std::uint32_t count = 1; ///< Number of tasks that need a slot each.
};

/// The steps of a pool that wait for slots on their racks. Each step waits at most once, until a time that is fixed by
/// the decision to wait; only the loss of instances of the rack ends its wait sooner. No step begins to wait for a
/// while after waits that have lost more time than they have gained. Performs no I/O and does not read the clock.
class RackWaits {
public:
    using JobTimesLookup = std::function<JobTimes(const jobs::Job&)>;

    RackWaits(double remoteSlowdown, JobTimesLookup findTimes)
        : remoteSlowdown_(remoteSlowdown)
        , findTimes_(std::move(findTimes))
    {
    }

    RackWaits(const RackWaits&) = delete;
    RackWaits& operator=(const RackWaits&) = delete;

    /// Begins a plan and ends the waits whose time has come.
    void beginPlan(foundation::SteadyTime now);

    /// Whether the tasks wait. If not, they start elsewhere at once.
    bool isWaiting(const RackRequest& request);

    /// The rack that a step waits for; null if it does not wait.
    const std::string* findRack(const StepId& id) const;

    /// Whether steps wait for slots on a rack, so that tasks that run as fast elsewhere should leave it to them.
    bool isAwaited(const std::string& rack) const { return !ahead_.empty() && ahead_.count(rack) > 0; }

    /// A task of the step was placed.
    void onPlaced(const StepId& id, bool isOnRack);

    /// Ends the waits of steps that are done, and of a job that is final.
    void update(const jobs::Job& job);
    void remove(jobs::JobId job);

    /// Whether the time of a wait has come, so that its step has to be planned again.
    bool isDue(foundation::SteadyTime now) const { return !deadlines_.empty() && deadlines_.begin()->first <= now; }

    /// Returns the waits that have ended since the previous call.
    std::vector<EndedWait> takeEnded();

private:
    struct Wait {
        std::string rack;
        jobs::Resources need;
        std::uint32_t tasks = 0; ///< Number of tasks that wait.
        foundation::SteadyTime readySince;
        foundation::SteadyTime begunAt;
        foundation::SteadyTime until;
        foundation::SteadyTime expectedAt;
        milliseconds gainPerTask { 0 };
        std::size_t rackSize = 0; ///< Number of instances of the rack in the latest plan.
        std::uint64_t firstPlan = 0;
        std::uint32_t localStarts = 0;
        std::uint32_t remoteStarts = 0;
        std::string_view endReason; ///< Empty while the step waits.
        bool isReported = false;
    };
    using Waits = std::map<StepId, Wait>;
    using Slots = std::vector<foundation::SteadyTime>;
    using SlotKey = std::tuple<std::string, std::string, std::int64_t, std::int64_t, std::int64_t>;

    /// A copy of the need as the key of a map.
    static SlotKey slotKey(const RackRequest& request);

    bool keepsWaiting(const StepId& id, Wait& wait, const RackRequest& request);
    bool begin(const RackRequest& request);
    PlacementWaitDecision decide(
        const RackRequest& request, foundation::SteadyTime readySince, const jobs::Resources& ahead);
    foundation::SteadyTime readySince(const RackRequest& request, const JobTimes& times) const;
    const Slots* expectedSlots(const RackRequest& request);
    void end(const StepId& id, Wait& wait, std::string_view reason);
    void report(const StepId& id, Wait& wait, WaitOutcome outcome);
    bool countOutcome(const EndedWait& wait);
    Waits::iterator drop(Waits::iterator wait);

    double remoteSlowdown_;
    JobTimesLookup findTimes_;
    foundation::SteadyTime now_ {}; ///< Time of the plan.
    std::optional<foundation::SteadyTime> firstPlanAt_;
    std::uint64_t plan_ = 0; ///< Number of the plan.
    Waits waits_; ///< Also those that are over, until their step is done, so that no step waits twice.
    std::set<std::pair<foundation::SteadyTime, StepId>> deadlines_; ///< Of the steps that wait.
    std::set<StepId> placed_; ///< Steps with waits of which tasks were placed in this plan.
    std::map<std::string, jobs::Resources> ahead_; ///< Needs of the tasks that wait, by rack.
    std::map<SlotKey, Slots> slots_; ///< Of this plan.
    std::vector<EndedWait> ended_;
    std::uint32_t recentOutcomes_ = 0; ///< Number of waits in `recentGain_`.
    milliseconds recentGain_ { 0 };
    foundation::SteadyTime pausedUntil_ = foundation::SteadyTime::min();
};

} // namespace turmericsill::scheduling
