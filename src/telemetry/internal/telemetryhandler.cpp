#include "telemetry/telemetryhandler.h"

namespace turmericsill::telemetry {

using httpserver::makeResponse;

TelemetryHandler::TelemetryHandler(const MetricsRegistry& metrics, const Readiness& readiness)
    : metrics_(metrics)
    , readiness_(readiness)
{
}

void TelemetryHandler::handle(const httpserver::HttpExchangePtr& exchange)
{
    const auto target = exchange->request().target();
    if (target == "/metrics")
        return exchange->respond(makeResponse(200, metrics_.text(), "text/plain; version=0.0.4"));
    if (target == "/healthz")
        return exchange->respond(makeResponse(200, "alive\n"));
    if (target != "/readyz")
        return exchange->respond(makeResponse(404, "not found; available paths are /metrics, /healthz and /readyz\n"));
    const std::string reasons = readiness_.reasons();
    exchange->respond(reasons.empty() ? makeResponse(200, "ready\n") : makeResponse(503, reasons));
}

} // namespace turmericsill::telemetry
