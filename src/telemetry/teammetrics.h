#pragma once

#include "telemetry/ieventsink.h"
#include "telemetry/metricsregistry.h"

#include <map>
#include <string>

namespace turmericsill::telemetry {

/// Shows the latest event "team.usage" of each team as gauges before it passes events on to the next sink. Only the
/// controller writes these events, so the gauges of an entry become 0 when its control ends.
///
/// team_waiting_jobs{team}, team_running_cores{team}, team_share_cores{team}, team_cap_cores{team} (0: no limit).
class TeamMetrics : public IEventSink {
public:
    TeamMetrics(MetricsRegistry& metrics, IEventSink& next);

    void write(std::string_view event, std::initializer_list<EventField> fields) override;

private:
    struct Gauges {
        prometheus::Gauge* waitingJobs = nullptr;
        prometheus::Gauge* runningCores = nullptr;
        prometheus::Gauge* shareCores = nullptr;
        prometheus::Gauge* capCores = nullptr;
    };

    void showUsage(std::initializer_list<EventField> fields);
    Gauges* gaugesOf(const std::string& team);

    MetricsRegistry& metrics_;
    IEventSink& next_;
    std::map<std::string, Gauges> gauges_; ///< Key: team.
};

} // namespace turmericsill::telemetry
