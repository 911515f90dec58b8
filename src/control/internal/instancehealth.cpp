#include "control/instancehealth.h"

#include <algorithm>

namespace turmericsill::control {

using foundation::milliseconds;
using jobs::RunEnd;

namespace {

    constexpr int failuresBeforeExclusion = 3; ///< In a row; more than a job's own fault explains.
    constexpr milliseconds exclusion { 3000 }; ///< Before an instance that fails everything gets one task on trial.
    constexpr milliseconds refusalPause { 500 }; ///< After an instance refused work.

} // namespace

InstanceHealth::InstanceHealth(const foundation::IClock& clock, telemetry::IEventSink& events)
    : clock_(clock)
    , events_(events)
{
}

void InstanceHealth::noteEnd(const std::string& instance, RunEnd how)
{
    if (how != RunEnd::Done && how != RunEnd::Failed)
        return;
    Record& record = records_[instance];
    if (how == RunEnd::Done) {
        record = {};
        return;
    }
    ++record.failuresInARow;
    if (record.failuresInARow < failuresBeforeExclusion && !record.isOnTrial)
        return;
    record.isOnTrial = true;
    record.excludedUntil = clock_.now() + exclusion;
    events_.write(
        "instance.excluded", { { "instance", instance }, { "failures", std::int64_t(record.failuresInARow) } });
}

void InstanceHealth::noteRefusal(const std::string& instance)
{
    Record& record = records_[instance];
    record.excludedUntil = std::max(record.excludedUntil, clock_.now() + refusalPause);
}

bool InstanceHealth::isExcluded(const std::string& instance) const
{
    const auto found = records_.find(instance);
    return found != records_.end() && clock_.now() < found->second.excludedUntil;
}

bool InstanceHealth::isOnTrial(const std::string& instance) const
{
    const auto found = records_.find(instance);
    return found != records_.end() && found->second.isOnTrial;
}

} // namespace turmericsill::control
