#pragma once

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace turmericsill::telemetry {

using Labels = std::map<std::string, std::string>;

/// Metrics registry of the process. The returned references stay valid as long as the registry; updating a metric is
/// thread-safe.
class MetricsRegistry {
public:
    MetricsRegistry();

    prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});

    /// A histogram of durations in seconds, with buckets from 0.5 ms to 30 s.
    prometheus::Histogram& latencyHistogram(
        const std::string& name, const std::string& help, const Labels& labels = {});

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace turmericsill::telemetry
