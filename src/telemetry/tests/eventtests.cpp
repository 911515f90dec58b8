#include "telemetry/eventmetrics.h"
#include "telemetry/maintenancemetrics.h"
#include "telemetry/teammetrics.h"

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

// A former controller that goes on showing its latest figures hides those of its successor in sums over the entries.
TEST_CASE("team metrics: the latest usage of each team is shown until control ends", "[telemetry]")
{
    MetricsRegistry metrics;
    CountingSink sink;
    TeamMetrics events(metrics, sink);
    for (const std::uint64_t waiting : { 7, 5 })
        events.write("team.usage",
            { { "team", std::string("a") }, { "waiting", waiting }, { "running_millicores", std::int64_t(1500) },
                { "share_millicores", std::int64_t(2000) }, { "cap_millicores", std::int64_t(0) } });
    CHECK(metrics.text().find("turmericsill_team_waiting_jobs{team=\"a\"} 5") != std::string::npos);
    CHECK(metrics.text().find("turmericsill_team_running_cores{team=\"a\"} 1.5") != std::string::npos);
    CHECK(metrics.text().find("turmericsill_team_share_cores{team=\"a\"} 2") != std::string::npos);
    CHECK(metrics.text().find("turmericsill_team_cap_cores{team=\"a\"} 0") != std::string::npos);
    events.write("control.ends", { { "epoch", std::uint64_t(1) } });
    CHECK(metrics.text().find("turmericsill_team_waiting_jobs{team=\"a\"} 0") != std::string::npos);
    CHECK(metrics.text().find("turmericsill_team_running_cores{team=\"a\"} 0") != std::string::npos);
    CHECK(sink.lines == 3);
}

// Names of teams come from a configuration that changes; each is a time series of its own for good.
TEST_CASE("team metrics: the number of teams with gauges is bounded", "[telemetry]")
{
    MetricsRegistry metrics;
    CountingSink sink;
    TeamMetrics events(metrics, sink);
    for (int team = 0; team < 1000; ++team)
        events.write("team.usage", { { "team", "t" + std::to_string(team) }, { "waiting", std::uint64_t(1) } });
    const std::string text = metrics.text();
    std::size_t series = 0;
    for (auto at = text.find("team_waiting_jobs{"); at != std::string::npos;
         at = text.find("team_waiting_jobs{", at + 1))
        ++series;
    CHECK(series == 200);
    CHECK(sink.lines == 1000);
}

// On call, nobody saw which machines a wave could not empty, since when and why.
TEST_CASE("maintenance metrics: deferred machines are counted by reason until they are resumed", "[telemetry]")
{
    MetricsRegistry metrics;
    CountingSink sink;
    MaintenanceMetrics events(metrics, sink);
    const auto defer = [&](const std::string& machine, const std::string& reason, std::int64_t sinceMs) {
        events.write("upkeep.deferred", { { "machine", machine }, { "reason", reason }, { "since_ms", sinceMs } });
    };
    const auto shows = [&](const std::string& line) { return metrics.text().find(line) != std::string::npos; };
    defer("m-1", "no-place", 7000);
    defer("m-2", "no-place", 5000);
    defer("m-1", "disruption-budget", 7000);
    CHECK(shows("turmericsill_maintenance_deferred_machines{reason=\"no-place\"} 1"));
    CHECK(shows("turmericsill_maintenance_deferred_machines{reason=\"disruption-budget\"} 1"));
    CHECK(shows("turmericsill_maintenance_deferred_since_timestamp_seconds 5"));
    events.write("upkeep.resumed", { { "machine", std::string("m-2") } });
    CHECK(shows("turmericsill_maintenance_deferred_machines{reason=\"no-place\"} 0"));
    CHECK(shows("turmericsill_maintenance_deferred_since_timestamp_seconds 7"));
    events.write("control.ends", { { "epoch", std::uint64_t(1) } });
    CHECK(shows("turmericsill_maintenance_deferred_machines{reason=\"disruption-budget\"} 0"));
    CHECK(shows("turmericsill_maintenance_deferred_since_timestamp_seconds 0"));
    CHECK(sink.lines == 5);
}
