#include "telemetry/metricsregistry.h"

#include <prometheus/text_serializer.h>

namespace turmericsill::telemetry {

namespace {

    const prometheus::Histogram::BucketBoundaries& latencyBuckets()
    {
        static const prometheus::Histogram::BucketBoundaries seconds { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
            0.1, 0.2, 0.5, 1, 2, 5, 10, 30 };
        return seconds;
    }

} // namespace

MetricsRegistry::MetricsRegistry()
    : registry_(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter& MetricsRegistry::counter(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildCounter().Name("turmericsill_" + name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Gauge& MetricsRegistry::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildGauge().Name("turmericsill_" + name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Histogram& MetricsRegistry::latencyHistogram(
    const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildHistogram()
        .Name("turmericsill_" + name)
        .Help(help)
        .Register(*registry_)
        .Add(labels, latencyBuckets());
}

std::string MetricsRegistry::text() const { return prometheus::TextSerializer().Serialize(registry_->Collect()); }

} // namespace turmericsill::telemetry
