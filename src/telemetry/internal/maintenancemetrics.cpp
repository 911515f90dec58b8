#include "telemetry/maintenancemetrics.h"

#include <algorithm>

namespace turmericsill::telemetry {

namespace {

    constexpr double millisecondsPerSecond = 1000;

    /// Value of a field; a default one if there is no such field, or one of another type.
    template <typename Value> Value valueOf(std::initializer_list<EventField> fields, std::string_view name)
    {
        for (const auto& field : fields) {
            if (const auto* value = std::get_if<Value>(&field.value); value && field.name == name)
                return *value;
        }
        return {};
    }

} // namespace

MaintenanceMetrics::MaintenanceMetrics(MetricsRegistry& metrics, IEventSink& next)
    : metrics_(metrics)
    , next_(next)
    , deferredSince_(metrics.gauge("maintenance_deferred_since_timestamp_seconds",
          "Time since which the machine that is deferred for longest is deferred, 0 if none is"))
{
}

void MaintenanceMetrics::write(std::string_view event, std::initializer_list<EventField> fields)
{
    const auto machine = valueOf<std::string>(fields, "machine");
    if (event == "upkeep.deferred") {
        deferrals_[machine] = { valueOf<std::string>(fields, "reason"), valueOf<std::int64_t>(fields, "since_ms") };
        update();
    } else if (event == "upkeep.resumed") {
        deferrals_.erase(machine);
        update();
    } else if (event == "control.ends") {
        deferrals_.clear();
        update();
    }
    next_.write(event, fields);
}

void MaintenanceMetrics::update()
{
    std::map<std::string, double> machines;
    for (const auto& [reason, gauge] : machinesByReason_)
        machines[reason] = 0;
    std::int64_t oldestMs = 0;
    for (const auto& [machine, deferral] : deferrals_) {
        ++machines[deferral.reason];
        oldestMs = oldestMs == 0 ? deferral.sinceMs : std::min(oldestMs, deferral.sinceMs);
    }
    for (const auto& [reason, count] : machines) {
        prometheus::Gauge*& gauge = machinesByReason_[reason];
        if (!gauge)
            gauge = &metrics_.gauge(
                "maintenance_deferred_machines", "Machines that cannot be evacuated", { { "reason", reason } });
        gauge->Set(count);
    }
    deferredSince_.Set(static_cast<double>(oldestMs) / millisecondsPerSecond);
}

} // namespace turmericsill::telemetry
