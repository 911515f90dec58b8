#include "telemetry/teammetrics.h"

namespace turmericsill::telemetry {

namespace {

    constexpr std::size_t maximumTeams = 200; ///< Further teams have no gauges.
    constexpr double milliCoresPerCore = 1000;

    double numberOf(const EventValue& value)
    {
        if (const auto* number = std::get_if<std::int64_t>(&value))
            return static_cast<double>(*number);
        const auto* count = std::get_if<std::uint64_t>(&value);
        return count ? static_cast<double>(*count) : 0;
    }

} // namespace

TeamMetrics::TeamMetrics(MetricsRegistry& metrics, IEventSink& next)
    : metrics_(metrics)
    , next_(next)
{
}

TeamMetrics::Gauges* TeamMetrics::gaugesOf(const std::string& team)
{
    const auto known = gauges_.find(team);
    if (known != gauges_.end())
        return &known->second;
    if (gauges_.size() >= maximumTeams)
        return nullptr;
    const Labels labels { { "team", team } };
    Gauges& gauges = gauges_[team];
    gauges.waitingJobs = &metrics_.gauge("team_waiting_jobs", "Jobs with tasks that are ready to run", labels);
    gauges.runningCores = &metrics_.gauge("team_running_cores", "Cores that the active runs request", labels);
    gauges.shareCores = &metrics_.gauge("team_share_cores", "Cores of the team's shares of the pools", labels);
    gauges.capCores = &metrics_.gauge("team_cap_cores", "Limit of the cores that runs request, 0 without one", labels);
    return &gauges;
}

void TeamMetrics::showUsage(std::initializer_list<EventField> fields)
{
    Gauges* gauges = nullptr;
    for (const auto& field : fields) {
        if (const auto* team = std::get_if<std::string>(&field.value); team && field.name == "team")
            gauges = gaugesOf(*team);
    }
    if (!gauges)
        return;
    for (const auto& field : fields) {
        if (field.name == "waiting")
            gauges->waitingJobs->Set(numberOf(field.value));
        else if (field.name == "running_millicores")
            gauges->runningCores->Set(numberOf(field.value) / milliCoresPerCore);
        else if (field.name == "share_millicores")
            gauges->shareCores->Set(numberOf(field.value) / milliCoresPerCore);
        else if (field.name == "cap_millicores")
            gauges->capCores->Set(numberOf(field.value) / milliCoresPerCore);
    }
}

void TeamMetrics::write(std::string_view event, std::initializer_list<EventField> fields)
{
    if (event == "team.usage")
        showUsage(fields);
    if (event == "control.ends") {
        for (auto& [team, gauges] : gauges_) {
            for (prometheus::Gauge* gauge :
                { gauges.waitingJobs, gauges.runningCores, gauges.shareCores, gauges.capCores })
                gauge->Set(0);
        }
    }
    next_.write(event, fields);
}

} // namespace turmericsill::telemetry
