#include "control/instancehealth.h"

#include <algorithm>

namespace turmericsill::control {

using foundation::milliseconds;
using jobs::RunOutcome;

namespace {

    constexpr int failuresBeforeExclusion = 3; ///< Consecutive failures that a faulty job alone would not cause.
    constexpr milliseconds failureExclusion { 3000 }; ///< Exclusion after repeated failures, before probation.
    constexpr milliseconds refusalExclusion { 500 }; ///< Exclusion after a refused start order.

} // namespace

InstanceHealth::InstanceHealth(const foundation::IClock& clock, telemetry::IEventSink& events)
    : clock_(clock)
    , events_(events)
{
}

void InstanceHealth::recordRunOutcome(const std::string& instance, RunOutcome outcome)
{
    if (outcome != RunOutcome::Done && outcome != RunOutcome::Failed)
        return;
    Record& record = records_[instance];
    if (outcome == RunOutcome::Done) {
        record = {};
        return;
    }
    ++record.consecutiveFailures;
    if (record.consecutiveFailures < failuresBeforeExclusion && !record.isOnProbation)
        return;
    record.isOnProbation = true;
    record.excludedUntil = clock_.now() + failureExclusion;
    events_.write(
        "instance.excluded", { { "instance", instance }, { "failures", std::int64_t(record.consecutiveFailures) } });
}

void InstanceHealth::recordRefusal(const std::string& instance)
{
    Record& record = records_[instance];
    record.excludedUntil = std::max(record.excludedUntil, clock_.now() + refusalExclusion);
}

foundation::SteadyTime InstanceHealth::excludedUntil(const std::string& instance) const
{
    const auto found = records_.find(instance);
    return found == records_.end() ? foundation::SteadyTime::min() : found->second.excludedUntil;
}

bool InstanceHealth::isExcluded(const std::string& instance) const { return clock_.now() < excludedUntil(instance); }

bool InstanceHealth::isOnProbation(const std::string& instance) const
{
    const auto found = records_.find(instance);
    return found != records_.end() && found->second.isOnProbation;
}

} // namespace turmericsill::control
