#pragma once

#include "callers/dispatcher.h"
#include "callers/requestdeduplicator.h"
#include "httpserver/ihttphandler.h"
#include "telemetry/metricsregistry.h"

#include <random>

namespace turmericsill::callers {

/// Converts HTTP requests of callers to CallerRequest objects, and replies to HTTP responses.
class CallerHandler : public httpserver::IHttpHandler {
public:
    CallerHandler(Dispatcher& dispatcher, RequestDeduplicator& deduplicator, const foundation::IClock& clock,
        telemetry::ITracer& tracer, telemetry::MetricsRegistry& metrics, foundation::milliseconds defaultTimeout,
        std::uint64_t seed);

    void handle(const httpserver::HttpExchangePtr& exchange) override;

private:
    CallerRequestPtr buildRequest(const httpserver::HttpExchangePtr& exchange, const std::string& service);
    void reply(const httpserver::HttpExchangePtr& exchange, const CallerRequest& request, CallerReply reply);
    void recordSpan(const CallerRequest& request, const CallerReply& reply) const;

    /// Timeout of a request; zero if its timeout header field is invalid.
    foundation::milliseconds requestTimeout(const httpserver::HttpRequest& request, const std::string& service) const;

    Dispatcher& dispatcher_;
    RequestDeduplicator& deduplicator_;
    const foundation::IClock& clock_;
    telemetry::ITracer& tracer_;
    foundation::milliseconds defaultTimeout_;
    std::mt19937_64 random_;
    prometheus::Histogram& answeredSeconds_;
    prometheus::Histogram& notRunSeconds_;
    prometheus::Histogram& unknownSeconds_;
};

} // namespace turmericsill::callers
