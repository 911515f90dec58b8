#pragma once

#include "telemetry/ieventsink.h"
#include "telemetry/metrics.h"

#include <map>
#include <string>

namespace turmericsill::telemetry {

/// Counts events and measures their durations before it passes them on, so that metrics and lines agree and no count
/// is lost when lines are left out.
///
/// events_total{event,result}: result is the event's field "outcome", "how" or "verdict", empty without one.
/// event_seconds{event}: the event's field "took_ms".
class EventMetrics : public IEventSink {
public:
    EventMetrics(Metrics& metrics, IEventSink& next);

    void write(std::string_view event, std::initializer_list<EventField> fields) override;

private:
    prometheus::Counter& counterOf(std::string_view event, const std::string& result);
    prometheus::Histogram& histogramOf(std::string_view event);

    Metrics& metrics_;
    IEventSink& next_;
    std::map<std::pair<std::string, std::string>, prometheus::Counter*> counters_;
    std::map<std::string, prometheus::Histogram*, std::less<>> histograms_;
};

} // namespace turmericsill::telemetry
