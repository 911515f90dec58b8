#include "telemetry/eventmetrics.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace turmericsill::telemetry;

namespace {

class CountingSink : public IEventSink {
public:
    void write(std::string_view, std::initializer_list<EventField>) override { ++lines; }

    int lines = 0;
};

} // namespace

TEST_CASE("event metrics: events are counted by result and their durations recorded", "[telemetry]")
{
    MetricsRegistry metrics;
    CountingSink sink;
    EventMetrics events(metrics, sink);
    events.write("run.ended", { { "how", std::string("done") } });
    events.write("run.ended", { { "how", std::string("done") } });
    events.write("run.ended", { { "how", std::string("failed") } });
    events.write("log.appended", { { "took_ms", std::int64_t(12) } });
    const std::string text = metrics.text();
    CHECK(sink.lines == 4);
    CHECK(text.find("turmericsill_events_total{event=\"run.ended\",result=\"done\"} 2") != std::string::npos);
    CHECK(text.find("turmericsill_events_total{event=\"run.ended\",result=\"failed\"} 1") != std::string::npos);
    CHECK(text.find("turmericsill_event_seconds_count{event=\"log.appended\"} 1") != std::string::npos);
    CHECK(text.find("turmericsill_event_seconds_bucket{event=\"log.appended\",le=\"0.02\"} 1") != std::string::npos);
}

TEST_CASE("event metrics: error messages count as one result, whichever peer they name", "[telemetry]")
{
    MetricsRegistry metrics;
    CountingSink sink;
    EventMetrics events(metrics, sink);
    events.write("upkeep.ordered", { { "outcome", std::string("machines.upkeep 10.0.0.1:1: timeout: closed") } });
    events.write("upkeep.ordered", { { "outcome", std::string("machines.upkeep 10.0.0.2:1: timeout: closed") } });
    CHECK(metrics.text().find("{event=\"upkeep.ordered\",result=\"error\"} 2") != std::string::npos);
}
