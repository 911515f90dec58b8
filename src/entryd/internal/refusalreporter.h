#pragma once

#include "httpserver/readbudget.h"
#include "httpserver/types/serverlimits.h"
#include "telemetry/ieventsink.h"
#include "telemetry/metricsregistry.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace turmericsill::entryd {

/// Reports the requests and connections that the HTTP servers have refused: one event for each listener and cause in
/// each call of report(), and a counter in the metrics.
class RefusalReporter {
public:
    RefusalReporter(
        telemetry::IEventSink& events, telemetry::MetricsRegistry& metrics, const httpserver::ReadBudget& budget);

    /// Reports what has been refused on a listener since the last call for it.
    void report(const std::string& listener, const httpserver::ServerCounters& counters);

private:
    struct Reported {
        std::size_t count = 0;
        prometheus::Counter* metric = nullptr;
    };

    void reportCause(const std::string& listener, const std::string& cause, std::size_t count, std::size_t open);

    telemetry::IEventSink& events_;
    telemetry::MetricsRegistry& metrics_;
    const httpserver::ReadBudget& budget_;
    prometheus::Gauge& requestMemory_;
    std::map<std::pair<std::string, std::string>, Reported> reported_; ///< Key: listener and cause.
};

} // namespace turmericsill::entryd
