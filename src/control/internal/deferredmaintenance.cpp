#include "control/internal/deferredmaintenance.h"

namespace turmericsill::control {

namespace {

    constexpr milliseconds reportInterval { 2000 }; ///< Shortest time between the reports about a machine.

} // namespace

bool DeferredMaintenance::isRetryDue(const std::string& machine) const
{
    const auto found = deferrals_.find(machine);
    return found == deferrals_.end() || clock_.now() >= found->second.retryAt;
}

// Only a change of the obstacle is reported: the task concerned may be another one at each attempt.
void DeferredMaintenance::defer(
    const std::string& machine, std::uint64_t wave, const BlockedEvacuation& blocked, milliseconds delay)
{
    const auto now = clock_.now();
    const auto [found, isNew]
        = deferrals_.try_emplace(machine, Deferral { wave, blocked.obstacle, now, now, now, {}, {} });
    Deferral& deferral = found->second;
    deferral.retryAt = now + delay;
    deferral.pool = blocked.pool;
    deferral.unplaced = blocked.unplaced;
    const bool isChanged = deferral.obstacle != blocked.obstacle || deferral.wave != wave;
    if (!isNew && (!isChanged || now - deferral.reportedAt < reportInterval))
        return;
    deferral.wave = wave;
    deferral.obstacle = blocked.obstacle;
    deferral.reportedAt = now;
    const auto waited = std::chrono::duration_cast<milliseconds>(now - deferral.since);
    const auto since = std::chrono::duration_cast<milliseconds>(clock_.wallNow().time_since_epoch()) - waited;
    events_.write("upkeep.deferred",
        { { "machine", machine }, { "wave", wave }, { "reason", toText(blocked.obstacle) },
            { "task", blocked.task ? jobs::toText(*blocked.task) : std::string() },
            { "since_ms", std::int64_t(since.count()) } });
}

std::map<std::string, jobs::Resources> DeferredMaintenance::unplacedByPool() const
{
    std::map<std::string, jobs::Resources> result;
    for (const auto& [machine, deferral] : deferrals_) {
        if (deferral.pool.empty())
            continue;
        jobs::Resources& largest = result[deferral.pool];
        if (deferral.unplaced.milliCores > largest.milliCores)
            largest = deferral.unplaced;
    }
    return result;
}

void DeferredMaintenance::end(const std::string& machine)
{
    const auto found = deferrals_.find(machine);
    if (found == deferrals_.end())
        return;
    const auto waited = std::chrono::duration_cast<milliseconds>(clock_.now() - found->second.since);
    events_.write("upkeep.resumed",
        { { "machine", machine }, { "wave", found->second.wave }, { "deferred_ms", std::int64_t(waited.count()) } });
    deferrals_.erase(found);
}

} // namespace turmericsill::control
