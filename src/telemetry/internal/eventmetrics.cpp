#include "telemetry/eventmetrics.h"

namespace turmericsill::telemetry {

namespace {

    constexpr std::size_t maximumResults = 200; ///< Error messages name peers; beyond this they count as "other".
    constexpr double millisecondsPerSecond = 1000;

    bool isResult(std::string_view name) { return name == "outcome" || name == "how" || name == "verdict"; }

    /// The kind of an error, without what it says of one peer.
    std::string kindOf(const std::string& result)
    {
        constexpr std::size_t longestPlain = 24;
        return result.size() > longestPlain ? "error" : result;
    }

} // namespace

EventMetrics::EventMetrics(Metrics& metrics, IEventSink& next)
    : metrics_(metrics)
    , next_(next)
{
}

prometheus::Counter& EventMetrics::counterOf(std::string_view event, const std::string& result)
{
    const std::string kind = counters_.size() < maximumResults ? kindOf(result) : "other";
    auto& counter = counters_[{ std::string(event), kind }];
    if (!counter)
        counter = &metrics_.counter("events_total", "Decisions and changes of belief, as the log names them",
            { { "event", std::string(event) }, { "result", kind } });
    return *counter;
}

prometheus::Histogram& EventMetrics::histogramOf(std::string_view event)
{
    const auto found = histograms_.find(event);
    if (found != histograms_.end())
        return *found->second;
    auto& histogram = metrics_.latency(
        "event_seconds", "How long what an event tells of took", { { "event", std::string(event) } });
    histograms_[std::string(event)] = &histogram;
    return histogram;
}

void EventMetrics::write(std::string_view event, std::initializer_list<EventField> fields)
{
    std::string result;
    for (const auto& field : fields) {
        if (const auto* text = std::get_if<std::string>(&field.value); text && isResult(field.name))
            result = *text;
        if (const auto* took = std::get_if<std::int64_t>(&field.value); took && field.name == "took_ms")
            histogramOf(event).Observe(static_cast<double>(*took) / millisecondsPerSecond);
    }
    counterOf(event, result).Increment();
    next_.write(event, fields);
}

} // namespace turmericsill::telemetry
