#include "telemetry/eventmetrics.h"

namespace turmericsill::telemetry {

namespace {

    constexpr std::size_t maximumCounters = 200; ///< Beyond this bound, results count as "other".
    constexpr double millisecondsPerSecond = 1000;

    bool isResultField(std::string_view name) { return name == "outcome" || name == "how" || name == "verdict"; }

    /// Value of the label "result". Longer texts are error messages; they become "error", since they name single peers
    /// and would each create a time series.
    std::string resultLabel(const std::string& result)
    {
        constexpr std::size_t maximumLabelLength = 24;
        return result.size() > maximumLabelLength ? "error" : result;
    }

} // namespace

EventMetrics::EventMetrics(MetricsRegistry& metrics, IEventSink& next)
    : metrics_(metrics)
    , next_(next)
{
}

prometheus::Counter& EventMetrics::counterFor(std::string_view event, const std::string& result)
{
    const std::string label = counters_.size() < maximumCounters ? resultLabel(result) : "other";
    auto& counter = counters_[{ std::string(event), label }];
    if (!counter)
        counter = &metrics_.counter("events_total", "Decisions and changes of belief, as the log names them",
            { { "event", std::string(event) }, { "result", label } });
    return *counter;
}

prometheus::Histogram& EventMetrics::histogramFor(std::string_view event)
{
    const auto found = histograms_.find(event);
    if (found != histograms_.end())
        return *found->second;
    auto& histogram = metrics_.latencyHistogram(
        "event_seconds", "How long what an event tells of took", { { "event", std::string(event) } });
    histograms_[std::string(event)] = &histogram;
    return histogram;
}

void EventMetrics::write(std::string_view event, std::initializer_list<EventField> fields)
{
    std::string result;
    for (const auto& field : fields) {
        if (const auto* text = std::get_if<std::string>(&field.value); text && isResultField(field.name))
            result = *text;
        if (const auto* took = std::get_if<std::int64_t>(&field.value); took && field.name == "took_ms")
            histogramFor(event).Observe(static_cast<double>(*took) / millisecondsPerSecond);
    }
    counterFor(event, result).Increment();
    next_.write(event, fields);
}

} // namespace turmericsill::telemetry
