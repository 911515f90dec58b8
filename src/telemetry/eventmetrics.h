#pragma once

#include "telemetry/ieventsink.h"
#include "telemetry/metricsregistry.h"

#include <map>
#include <string>

namespace turmericsill::telemetry {

/// Counts events and records their durations before it passes them on to the next sink, so that the metrics agree with
/// the log and include the events whose lines are dropped.
///
/// events_total{event,result}: result is the event's field "outcome", "how" or "verdict", empty without one.
/// event_seconds{event}: the event's field "took_ms".
class EventMetrics : public IEventSink {
public:
    EventMetrics(MetricsRegistry& metrics, IEventSink& next);

    void write(std::string_view event, std::initializer_list<EventField> fields) override;

private:
    prometheus::Counter& counterFor(std::string_view event, const std::string& result);
    prometheus::Histogram& histogramFor(std::string_view event);

    MetricsRegistry& metrics_;
    IEventSink& next_;
    std::map<std::pair<std::string, std::string>, prometheus::Counter*> counters_;
    std::map<std::string, prometheus::Histogram*, std::less<>> histograms_;
};

} // namespace turmericsill::telemetry
