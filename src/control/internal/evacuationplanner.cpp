#include "control/internal/evacuationplanner.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmericsill::control {

using jobs::TaskId;

namespace {

    constexpr int servingPercent = 100; ///< Progress at which a long-running task is serving.
    /// Time after which a relocated task that has not started elsewhere competes for room like any other.
    constexpr milliseconds relocationTimeout { 5000 };

    bool isRelocatable(const TrackedRun& run) { return run.isLongRunning && !run.isStopping; }

} // namespace

std::string toText(EvacuationObstacle obstacle)
{
    switch (obstacle) {
    case EvacuationObstacle::DisruptionBudget:
        return "disruption-budget";
    case EvacuationObstacle::NoPlace:
        return "no-place";
    case EvacuationObstacle::TeamCap:
        return "team-cap";
    case EvacuationObstacle::LastInService:
        return "last-in-service";
    case EvacuationObstacle::MachineControl:
        return "machine-control";
    case EvacuationObstacle::OrderRefused:
        break;
    }
    return "order-refused";
}

// The tasks of the other leaving instances get their places first, so that two instances are not each other's refuge.
// Their steps use their budgets first as well: an instance that would only wait for its turn stays in service.
std::optional<BlockedEvacuation> EvacuationPlanner::findObstacle(const InstanceSession& session)
{
    if (!session.runs().empty() && isLastInService(session))
        return BlockedEvacuation { EvacuationObstacle::LastInService, {} };
    const bool hasRelocatable = std::any_of(
        session.runs().begin(), session.runs().end(), [](const auto& run) { return isRelocatable(run.second); });
    if (!hasRelocatable)
        return std::nullopt;
    Rooms rooms;
    reserveForRelocated(rooms, session);
    reserveForLeaving(rooms, session);
    for (const auto& [task, run] : session.runs()) {
        const jobs::Job* job = follower_.table().find(task.job);
        if (!isRelocatable(run) || !job)
            continue;
        const jobs::StepSpec& spec = job->spec.steps[task.step];
        if (spec.hasDisruptionBudget
            && unavailableTasks(*job, task) + leavingInstancesOf(session, task) >= spec.disruptionBudget)
            return BlockedEvacuation { EvacuationObstacle::DisruptionBudget, task };
        if (controller_.exceedsTeamCap(job->team))
            return BlockedEvacuation { EvacuationObstacle::TeamCap, task };
        if (!reserve(rooms, session, task))
            return BlockedEvacuation { EvacuationObstacle::NoPlace, task };
    }
    return std::nullopt;
}

std::optional<BlockedEvacuation> EvacuationPlanner::findObstacle(const InstanceSession& session, const TaskId& task)
{
    const jobs::Job* job = follower_.table().find(task.job);
    if (!job)
        return BlockedEvacuation { EvacuationObstacle::NoPlace, task };
    const jobs::StepSpec& spec = job->spec.steps[task.step];
    if (spec.hasDisruptionBudget && unavailableTasks(*job, task) >= spec.disruptionBudget)
        return BlockedEvacuation { EvacuationObstacle::DisruptionBudget, task };
    if (controller_.exceedsTeamCap(job->team))
        return BlockedEvacuation { EvacuationObstacle::TeamCap, task };
    if (!hasPlace(session, task))
        return BlockedEvacuation { EvacuationObstacle::NoPlace, task };
    return std::nullopt;
}

bool EvacuationPlanner::hasPlace(const InstanceSession& session, const TaskId& task)
{
    Rooms rooms;
    reserveForRelocated(rooms, session);
    return reserve(rooms, session, task);
}

void EvacuationPlanner::relocate(InstanceSession& session, const TaskId& task)
{
    const auto run = session.runs().find(task);
    if (run != session.runs().end())
        relocations_[task] = { run->second.run, clock_.now() };
    controller_.relocate(session, task);
}

// The pool of a task may differ from that of its instance after a change of the configuration.
bool EvacuationPlanner::reserve(Rooms& rooms, const InstanceSession& session, const TaskId& task)
{
    const jobs::Job* job = follower_.table().find(task.job);
    if (!job)
        return false;
    auto& room = rooms[controller_.poolOf(*job)];
    if (!room) {
        std::set<std::string> excluded = leaving_;
        excluded.insert(session.incarnation().instance);
        room = controller_.relocationRoom(controller_.poolOf(*job), std::move(excluded));
    }
    const bool isTicketRequired = controller_.requiresTicket(*job);
    const bool hasPlace = room->reserve(*job, task, isTicketRequired);
    if (!hasPlace && isTicketRequired)
        controller_.requestTickets(*job, scheduling::stepOf(task));
    return hasPlace;
}

void EvacuationPlanner::reserveForRelocated(Rooms& rooms, const InstanceSession& session)
{
    const auto now = clock_.now();
    for (auto entry = relocations_.begin(); entry != relocations_.end();) {
        const auto& [id, relocation] = *entry;
        const jobs::Task* task = follower_.table().find(id);
        const bool isWaiting = task && task->lastRun == relocation.run && task->phase != jobs::TaskPhase::Done
            && now - relocation.since < relocationTimeout;
        if (isWaiting)
            reserve(rooms, session, id);
        entry = isWaiting ? std::next(entry) : relocations_.erase(entry);
    }
}

void EvacuationPlanner::reserveForLeaving(Rooms& rooms, const InstanceSession& session)
{
    for (const auto& name : leaving_) {
        const auto other = controller_.sessions().find(name);
        if (other == controller_.sessions().end() || name == session.incarnation().instance)
            continue;
        for (const auto& [task, run] : other->second->runs()) {
            if (isRelocatable(run))
                reserve(rooms, session, task);
        }
    }
}

bool EvacuationPlanner::isLastInService(const InstanceSession& session)
{
    const std::string& pool = session.report().pool;
    const auto isInPool = [&](const std::string& name) {
        const auto found = controller_.sessions().find(name);
        return found != controller_.sessions().end() && found->second->report().pool == pool;
    };
    if (std::none_of(leaving_.begin(), leaving_.end(), isInPool))
        return false;
    const auto& instances = controller_.instancesOf(pool).instances();
    return std::none_of(instances.begin(), instances.end(), [&](const scheduling::IndexedInstance* other) {
        return other->name != session.incarnation().instance && !leaving_.count(other->name);
    });
}

std::uint32_t EvacuationPlanner::unavailableTasks(const jobs::Job& job, const TaskId& task) const
{
    const auto& tasks = job.occurrences.at(task.occurrence).steps[task.step].tasks;
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (index == task.index)
            continue;
        const TaskId other { task.job, task.occurrence, task.step, index };
        const auto session = controller_.sessions().find(tasks[index].incarnation.instance);
        bool isServing = false;
        if (tasks[index].phase == jobs::TaskPhase::Active && session != controller_.sessions().end()) {
            const auto run = session->second->runs().find(other);
            isServing = run != session->second->runs().end() && run->second.percent >= servingPercent
                && !run->second.isStopping && session->second->isInContact();
        }
        unavailable += !isServing;
    }
    return unavailable;
}

std::uint32_t EvacuationPlanner::leavingInstancesOf(const InstanceSession& session, const TaskId& task) const
{
    const auto runsStep = [&](const std::string& name) {
        const auto other = controller_.sessions().find(name);
        if (other == controller_.sessions().end() || name == session.incarnation().instance)
            return false;
        const auto& runs = other->second->runs();
        return std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
            return isRelocatable(run.second) && scheduling::stepOf(run.first) == scheduling::stepOf(task);
        });
    };
    return static_cast<std::uint32_t>(std::count_if(leaving_.begin(), leaving_.end(), runsStep));
}

} // namespace turmericsill::control
