#pragma once

#include "httpserver/ihttphandler.h"
#include "telemetry/metricsregistry.h"
#include "telemetry/readiness.h"

namespace turmericsill::telemetry {

/// Serves /metrics, /healthz and /readyz.
class TelemetryHandler : public httpserver::IHttpHandler {
public:
    TelemetryHandler(const MetricsRegistry& metrics, const Readiness& readiness);

    void handle(const httpserver::HttpExchangePtr& exchange) override;

private:
    const MetricsRegistry& metrics_;
    const Readiness& readiness_;
};

} // namespace turmericsill::telemetry
