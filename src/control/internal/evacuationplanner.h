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
    NoPlace, ///< No other instance may start a task.
    TeamCap, ///< The team of a task holds more than its cap, so that the task would not start again.
    LastInService, ///< All other instances of the pool are being evacuated or maintained.
    MachineControl, ///< Machine control does not respond.
    OrderRefused, ///< Machine control refuses the order.
};

std::string toText(EvacuationObstacle obstacle);

struct BlockedEvacuation {
    EvacuationObstacle obstacle = EvacuationObstacle::NoPlace;
    std::optional<jobs::TaskId> task; ///< Long-running task that cannot be relocated; empty if it is not about one.
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

    /// Sets the instances whose machines are being evacuated, moved or maintained.
    void setLeaving(std::set<std::string> instances) { leaving_ = std::move(instances); }
    void addLeaving(const std::string& instance) { leaving_.insert(instance); }

    /// The first obstacle to the evacuation of an instance beside those that are leaving; empty if there is none.
    std::optional<BlockedEvacuation> findObstacle(const InstanceSession& session);

    /// What keeps one task from being relocated now; empty if nothing does.
    std::optional<BlockedEvacuation> findObstacle(const InstanceSession& session, const jobs::TaskId& task);

    /// Whether a task can start on another instance.
    bool hasPlace(const InstanceSession& session, const jobs::TaskId& task);

    /// Stops a task so that it restarts elsewhere. Until it does, the room that it needs is not promised to others.
    void relocate(InstanceSession& session, const jobs::TaskId& task);

private:
    using Rooms = std::map<std::string, std::unique_ptr<scheduling::RelocationRoom>>; ///< Key: pool.

    /// A task that was stopped to be relocated.
    struct Relocation {
        std::uint32_t run = 0; ///< The run that was stopped.
        foundation::SteadyTime since;
    };

    bool reserve(Rooms& rooms, const InstanceSession& session, const jobs::TaskId& task);
    void reserveForRelocated(Rooms& rooms, const InstanceSession& session);
    void reserveForLeaving(Rooms& rooms, const InstanceSession& session);
    bool isLastInService(const InstanceSession& session);
    std::uint32_t unavailableTasks(const jobs::Job& job, const jobs::TaskId& task) const;
    std::uint32_t leavingInstancesOf(const InstanceSession& session, const jobs::TaskId& task) const;

    const eventlog::JobFollower& follower_;
    const foundation::IClock& clock_;
    Controller& controller_;
    std::set<std::string> leaving_; ///< Names of instances.
    std::map<jobs::TaskId, Relocation> relocations_; ///< Tasks that have not started elsewhere yet.
};

} // namespace turmericsill::control
