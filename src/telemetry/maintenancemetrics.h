#pragma once

#include "telemetry/ieventsink.h"
#include "telemetry/metricsregistry.h"

#include <cstdint>
#include <map>
#include <string>

namespace turmericsill::telemetry {

/// Shows the machines whose maintenance is deferred, by the events "upkeep.deferred" and "upkeep.resumed", before it
/// passes events on to the next sink. Only the controller writes these events, so the gauges of an entry become 0 when
/// its control ends.
///
/// maintenance_deferred_machines{reason}, maintenance_deferred_since_timestamp_seconds (of the machine that is deferred
/// for longest, since the Unix epoch; 0: none is).
class MaintenanceMetrics : public IEventSink {
public:
    MaintenanceMetrics(MetricsRegistry& metrics, IEventSink& next);

    void write(std::string_view event, std::initializer_list<EventField> fields) override;

private:
    struct Deferral {
        std::string reason;
        std::int64_t sinceMs = 0; ///< Milliseconds since the Unix epoch.
    };

    void update();

    MetricsRegistry& metrics_;
    IEventSink& next_;
    prometheus::Gauge& deferredSince_;
    std::map<std::string, prometheus::Gauge*> machinesByReason_;
    std::map<std::string, Deferral> deferrals_; ///< Key: machine.
};

} // namespace turmericsill::telemetry
