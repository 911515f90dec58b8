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

    BlockedEvacuation makeBlocked(EvacuationObstacle obstacle, std::optional<TaskId> task)
    {
        BlockedEvacuation blocked;
        blocked.obstacle = obstacle;
        blocked.task = task;
        return blocked;
    }

    bool isRelocatable(const TrackedRun& run) { return run.isLongRunning && !run.isStopping; }

} // namespace

std::string toText(EvacuationObstacle obstacle)
{
    switch (obstacle) {
    case EvacuationObstacle::DisruptionBudget:
        return "disruption-budget";
    case EvacuationObstacle::NoPlace:
        return "no-place";
    case EvacuationObstacle::NoRoom:
        return "no-room";
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

void EvacuationPlanner::beginTick(std::set<std::string> leaving)
{
    leaving_ = std::move(leaving);
    removeFinishedRelocations();
}

// The tasks of the other leaving instances get their places first, so that two instances are not each other's refuge.
// Room that short tasks hold counts: in a pool in full use there is never room for all tasks at once.
std::optional<BlockedEvacuation> EvacuationPlanner::findObstacle(const InstanceSession& session)
{
    if (!session.runs().empty() && isLastInService(session))
        return makeBlocked(EvacuationObstacle::LastInService, {});
    const bool hasRelocatable = std::any_of(
        session.runs().begin(), session.runs().end(), [](const auto& run) { return isRelocatable(run.second); });
    if (!hasRelocatable)
        return std::nullopt;
    Rooms rooms { true, {} };
    reserveForRelocated(rooms, session);
    reserveForLeaving(rooms, session);
    std::optional<BlockedEvacuation> withoutPlace;
    for (const auto& [task, run] : session.runs()) {
        const jobs::Job* job = follower_.table().find(task.job);
        if (!isRelocatable(run) || !job)
            continue;
        const jobs::StepSpec& spec = job->spec.steps[task.step];
        if (spec.hasDisruptionBudget && unavailableTasks(*job, task) >= spec.disruptionBudget)
            return makeBlocked(EvacuationObstacle::DisruptionBudget, task);
        if (controller_.exceedsTeamCap(job->team))
            return makeBlocked(EvacuationObstacle::TeamCap, task);
        if (reserve(rooms, session, task))
            continue;
        if (!withoutPlace)
            withoutPlace = BlockedEvacuation { EvacuationObstacle::NoPlace, task, controller_.poolOf(*job), {} };
        if (withoutPlace->pool == controller_.poolOf(*job))
            withoutPlace->unplaced += scheduling::resourceRequest(spec);
    }
    return withoutPlace;
}

std::optional<BlockedEvacuation> EvacuationPlanner::findObstacle(const InstanceSession& session, const TaskId& task)
{
    const jobs::Job* job = follower_.table().find(task.job);
    if (!job)
        return makeBlocked(EvacuationObstacle::NoPlace, task);
    const jobs::StepSpec& spec = job->spec.steps[task.step];
    if (spec.hasDisruptionBudget && unavailableTasks(*job, task) >= spec.disruptionBudget)
        return makeBlocked(EvacuationObstacle::DisruptionBudget, task);
    if (controller_.exceedsTeamCap(job->team))
        return makeBlocked(EvacuationObstacle::TeamCap, task);
    if (hasPlace(session, task))
        return std::nullopt;
    Rooms rooms { true, {} };
    reserveForRelocated(rooms, session);
    if (reserve(rooms, session, task))
        return makeBlocked(EvacuationObstacle::NoRoom, task);
    return BlockedEvacuation { EvacuationObstacle::NoPlace, task, controller_.poolOf(*job),
        scheduling::resourceRequest(spec) };
}

bool EvacuationPlanner::isRelocating(const TaskId& task) const
{
    return std::any_of(relocations_.begin(), relocations_.end(),
        [&](const auto& entry) { return scheduling::stepOf(entry.first) == scheduling::stepOf(task); });
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
    auto& room = rooms.byPool[controller_.poolOf(*job)];
    if (!room) {
        std::set<std::string> excluded = leaving_;
        excluded.insert(session.incarnation().instance);
        room = controller_.relocationRoom(controller_.poolOf(*job), std::move(excluded), rooms.awaitsShortTasks);
    }
    const bool isTicketRequired = controller_.requiresTicket(*job);
    const bool hasPlace = room->reserve(*job, task, isTicketRequired);
    if (!hasPlace && isTicketRequired)
        controller_.requestTickets(*job, scheduling::stepOf(task));
    return hasPlace;
}

void EvacuationPlanner::removeFinishedRelocations()
{
    const auto now = clock_.now();
    for (auto entry = relocations_.begin(); entry != relocations_.end();) {
        const auto& [id, relocation] = *entry;
        const jobs::Task* task = follower_.table().find(id);
        const bool isWaiting = task && task->lastRun == relocation.run && task->phase != jobs::TaskPhase::Done
            && now - relocation.since < relocationTimeout;
        entry = isWaiting ? std::next(entry) : relocations_.erase(entry);
    }
}

void EvacuationPlanner::reserveForRelocated(Rooms& rooms, const InstanceSession& session)
{
    for (const auto& [task, relocation] : relocations_)
        reserve(rooms, session, task);
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

} // namespace turmericsill::control
