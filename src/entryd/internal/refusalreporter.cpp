#include "entryd/internal/refusalreporter.h"

namespace turmericsill::entryd {

RefusalReporter::RefusalReporter(
    telemetry::IEventSink& events, telemetry::MetricsRegistry& metrics, const httpserver::ReadBudget& budget)
    : events_(events)
    , metrics_(metrics)
    , budget_(budget)
    , requestMemory_(metrics.gauge("request_memory_bytes",
          "Memory for requests read and not yet handled and for responses not yet written, beyond the part of each "
          "connection that does not count"))
{
}

void RefusalReporter::report(const std::string& listener, const httpserver::ServerCounters& counters)
{
    requestMemory_.Set(static_cast<double>(budget_.usedBytes()));
    reportCause(listener, "connections", counters.refusedConnections, counters.open);
    reportCause(listener, "malformed", counters.malformedRequests, counters.open);
    reportCause(listener, "oversized", counters.oversizedRequests, counters.open);
    reportCause(listener, "memory", counters.refusedForMemory, counters.open);
    reportCause(listener, "memory-closed", counters.closedForMemory, counters.open);
}

void RefusalReporter::reportCause(
    const std::string& listener, const std::string& cause, std::size_t count, std::size_t open)
{
    Reported& reported = reported_[{ listener, cause }];
    if (!reported.metric)
        reported.metric = &metrics_.counter("refused_total", "Requests and connections of clients that were refused",
            { { "listener", listener }, { "cause", cause } });
    const std::size_t added = count - reported.count;
    if (added == 0)
        return;
    reported.count = count;
    reported.metric->Increment(static_cast<double>(added));
    events_.write("connection.refused",
        { { "listener", listener }, { "cause", cause }, { "count", std::uint64_t(added) },
            { "open", std::uint64_t(open) }, { "held_bytes", std::uint64_t(budget_.usedBytes()) } });
}

} // namespace turmericsill::entryd
