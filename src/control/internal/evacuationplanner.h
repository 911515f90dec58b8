#pragma once

#include "control/controller.h"
#include "eventlog/jobfollower.h"
#include "foundation/iclock.h"
#include "scheduling/relocationroom.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace turmericsill::control {

/// Why a machine cannot be evacuated for now.
enum class EvacuationObstacle : std::uint8_t {
    DisruptionBudget, ///< As many other tasks of a step are unavailable as its disruption budget permits.
    NoPlace, ///< No other instance may start a task, whether or not it has room now.
    NoRoom, ///< The instances that may start a task are in use by short tasks.
    TeamCap, ///< The team of a task holds more than its cap, so that the task would not start again.
    LastInService, ///< All other instances of the pool are being evacuated or maintained.
    MachineControl, ///< Machine control does not respond.
    OrderRefused, ///< Machine control refuses the order.
};

std::string toText(EvacuationObstacle obstacle);

struct BlockedEvacuation {
    EvacuationObstacle obstacle = EvacuationObstacle::NoPlace;
    std::optional<jobs::TaskId> task; ///< Long-running task that cannot be relocated; empty if it is not about one.
    std::string pool; ///< Pool of the task.
    jobs::Resources unplaced; ///< Requested by all tasks of the instance that have no place in the pool.
};

/// Decides whether long-running tasks can be relocated from an instance: their disruption budgets permit it, and each
/// of them can start on another instance.
class EvacuationPlanner {
public:
    EvacuationPlanner(const eventlog::JobFollower& follower, const foundation::IClock& clock, Controller& controller)
        : follower_(follower)
        , clock_(clock)
        , controller_(controller)
    {
    }

    /// Begins a round of decisions. `leaving`: instances whose machines are being evacuated, moved or maintained.
    void beginTick(std::set<std::string> leaving);
    void addLeaving(const std::string& instance) { leaving_.insert(instance); }

    /// The first obstacle to the evacuation of an instance beside those that are leaving; empty if there is none.
    std::optional<BlockedEvacuation> findObstacle(const InstanceSession& session);

    /// What keeps one task from being relocated now; empty if nothing does.
    std::optional<BlockedEvacuation> findObstacle(const InstanceSession& session, const jobs::TaskId& task);

    /// Whether a task of the same step was relocated lately and has not started elsewhere.
    bool isRelocating(const jobs::TaskId& task) const;

    /// Whether a task can start on another instance now.
    bool hasPlace(const InstanceSession& session, const jobs::TaskId& task);

    /// Stops a task so that it restarts elsewhere. Until it does, the room that it needs is not promised to others.
    void relocate(InstanceSession& session, const jobs::TaskId& task);

private:
    /// Room of the pools that were asked for.
    struct Rooms {
        bool awaitsShortTasks = false;
        std::map<std::string, std::unique_ptr<scheduling::RelocationRoom>> byPool;
    };

    /// A task that was stopped to be relocated.
    struct Relocation {
        std::uint32_t run = 0; ///< The run that was stopped.
        foundation::SteadyTime since;
    };

    bool reserve(Rooms& rooms, const InstanceSession& session, const jobs::TaskId& task);
    void removeFinishedRelocations();
    void reserveForRelocated(Rooms& rooms, const InstanceSession& session);
    void reserveForLeaving(Rooms& rooms, const InstanceSession& session);
    bool isLastInService(const InstanceSession& session);
    std::uint32_t unavailableTasks(const jobs::Job& job, const jobs::TaskId& task) const;

    const eventlog::JobFollower& follower_;
    const foundation::IClock& clock_;
    Controller& controller_;
    std::set<std::string> leaving_; ///< Names of instances.
    std::map<jobs::TaskId, Relocation> relocations_; ///< Tasks that have not started elsewhere yet.
};

} // namespace turmericsill::control
