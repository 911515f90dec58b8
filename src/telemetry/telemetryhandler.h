#pragma once

#include "httpserver/ihttphandler.h"
#include "telemetry/metrics.h"
#include "telemetry/readiness.h"

namespace turmericsill::telemetry {

/// Serves /metrics, /healthz and /readyz.
class TelemetryHandler : public httpserver::IHttpHandler {
public:
    TelemetryHandler(const Metrics& metrics, const Readiness& readiness);

    void handle(const httpserver::HttpExchangePtr& exchange) override;

private:
    const Metrics& metrics_;
    const Readiness& readiness_;
};

} // namespace turmericsill::telemetry
