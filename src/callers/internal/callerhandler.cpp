#include "callers/callerhandler.h"

#include "callers/headerrules.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmericsill::callers {

namespace http = boost::beast::http;
using foundation::milliseconds;
using httpserver::HttpExchangePtr;
using httpserver::HttpRequest;
using httpserver::HttpResponse;

namespace {

    constexpr milliseconds maximumTimeout { 600000 };
    constexpr unsigned badRequest = 400;

    std::string serviceFromPath(const HttpRequest& request)
    {
        const std::string target(request.target());
        if (target.empty() || target.front() != '/')
            return {};
        return target.substr(1, target.find_first_of("/?", 1) - 1);
    }

    bool isIdempotentMethod(http::verb method)
    {
        return method == http::verb::get || method == http::verb::head || method == http::verb::put
            || method == http::verb::delete_ || method == http::verb::options;
    }

    bool isIdempotent(const HttpRequest& request)
    {
        const auto idempotentHeader = request["Turmericsill-Idempotent"];
        if (idempotentHeader == "true" || idempotentHeader == "false")
            return idempotentHeader == "true";
        return isIdempotentMethod(request.method());
    }

    RequestOrigin requestOrigin(const HttpRequest& request)
    {
        const auto forwardedHeader = request["Turmericsill-Forwarded"];
        if (forwardedHeader == "lookup")
            return RequestOrigin::Lookup;
        return forwardedHeader == "run" ? RequestOrigin::Forwarded : RequestOrigin::Caller;
    }

    HttpResponse makeRejection(unsigned status, const std::string& reason)
    {
        HttpResponse response = httpserver::makeResponse(status, reason + "\n");
        response.set("Turmericsill-Outcome", outcomeName(Outcome::NotRun));
        return response;
    }

    HttpResponse makeReplyResponse(CallerReply& reply)
    {
        if (reply.outcome == Outcome::Answered) {
            removeHopByHopFields(reply.response);
            reply.response.set("Turmericsill-Outcome", outcomeName(reply.outcome));
            return std::move(reply.response);
        }
        HttpResponse response = httpserver::makeResponse(reply.status, reply.reason + "\n");
        response.set("Turmericsill-Outcome", outcomeName(reply.outcome));
        if (reply.status == static_cast<unsigned>(http::status::service_unavailable)) {
            const auto seconds = std::max<std::int64_t>(1, (reply.retryAfter.count() + 999) / 1000);
            response.set(http::field::retry_after, std::to_string(seconds));
        }
        return response;
    }

} // namespace

CallerHandler::CallerHandler(Dispatcher& dispatcher, RequestDeduplicator& deduplicator, const foundation::IClock& clock,
    telemetry::ITracer& tracer, telemetry::MetricsRegistry& metrics, milliseconds defaultTimeout, std::uint64_t seed)
    : dispatcher_(dispatcher)
    , deduplicator_(deduplicator)
    , clock_(clock)
    , tracer_(tracer)
    , defaultTimeout_(defaultTimeout)
    , random_(seed)
    , answeredSeconds_(
          metrics.latencyHistogram("caller_reply_seconds", "Time to a caller's reply", { { "outcome", "answered" } }))
    , notRunSeconds_(
          metrics.latencyHistogram("caller_reply_seconds", "Time to a caller's reply", { { "outcome", "not-run" } }))
    , unknownSeconds_(
          metrics.latencyHistogram("caller_reply_seconds", "Time to a caller's reply", { { "outcome", "unknown" } }))
{
}

void CallerHandler::handle(const HttpExchangePtr& exchange)
{
    const HttpRequest& message = exchange->request();
    const std::string service = serviceFromPath(message);
    if (service.empty())
        return exchange->respond(makeRejection(badRequest, "the path must have the form /SERVICE/..."));
    if (message.method() == http::verb::connect || message.method() == http::verb::trace
        || message.method() == http::verb::unknown)
        return exchange->respond(makeRejection(405, "the request method is not supported"));
    const auto timeoutHeader = message["Turmericsill-Timeout-Ms"];
    if (!timeoutHeader.empty() && requestTimeout(message, service) == milliseconds::zero())
        return exchange->respond(
            makeRejection(badRequest, "Turmericsill-Timeout-Ms must be an integer from 1 to 600000"));
    const RequestOrigin origin = requestOrigin(message);
    CallerRequestPtr request = buildRequest(exchange, service);
    exchange->setAbandonedCallback([this, request] { deduplicator_.onCallerDisconnected(request); });
    deduplicator_.submit(request, origin);
}

CallerRequestPtr CallerHandler::buildRequest(const HttpExchangePtr& exchange, const std::string& service)
{
    HttpRequest message = std::move(exchange->request());
    const bool idempotent = isIdempotent(message);
    const milliseconds timeout = requestTimeout(message, service);
    auto parent = telemetry::TraceContext::parse({ message["traceparent"].data(), message["traceparent"].size() });
    std::string key(message["Idempotency-Key"]);
    const auto rosterHeader = message["Turmericsill-Roster"];
    std::uint64_t lookupRosterVersion = 0;
    std::from_chars(rosterHeader.data(), rosterHeader.data() + rosterHeader.size(), lookupRosterVersion);
    removeHopByHopFields(message);
    message.erase("Turmericsill-Forwarded");
    message.erase("Turmericsill-Roster");
    CallerRequestPtr request = new CallerRequest(std::move(message), idempotent, {});
    request->service = service;
    request->idempotencyKey = std::move(key);
    request->lookupRosterVersion = lookupRosterVersion;
    request->receivedAt = clock_.now();
    request->deadline = request->receivedAt + timeout;
    request->trace = parent ? parent->child(random_) : telemetry::TraceContext::start(random_, tracer_.isEnabled());
    request->parentSpanId = parent ? parent->spanId : std::string();
    // The component that will reply owns the request, so its callback holds a raw pointer to avoid a reference cycle.
    request->onReply = [this, exchange, rawRequest = request.get()](
                           CallerReply replyToSend) { reply(exchange, *rawRequest, std::move(replyToSend)); };
    return request;
}

milliseconds CallerHandler::requestTimeout(const HttpRequest& request, const std::string& service) const
{
    const auto timeoutHeader = request["Turmericsill-Timeout-Ms"];
    if (!timeoutHeader.empty()) {
        std::int64_t value = 0;
        const auto parsed = std::from_chars(timeoutHeader.data(), timeoutHeader.data() + timeoutHeader.size(), value);
        const bool isValid = parsed.ec == std::errc() && parsed.ptr == timeoutHeader.data() + timeoutHeader.size()
            && value > 0 && value <= maximumTimeout.count();
        return isValid ? milliseconds(value) : milliseconds::zero();
    }
    const declarations::Service* declaration = dispatcher_.findService(service);
    return declaration ? declaration->timeout : defaultTimeout_;
}

void CallerHandler::reply(const HttpExchangePtr& exchange, const CallerRequest& request, CallerReply reply)
{
    recordSpan(request, reply);
    const double seconds = std::chrono::duration<double>(clock_.now() - request.receivedAt).count();
    prometheus::Histogram& histogram = reply.outcome == Outcome::Answered ? answeredSeconds_
        : reply.outcome == Outcome::NotRun                                ? notRunSeconds_
                                                                          : unknownSeconds_;
    histogram.Observe(seconds);
    HttpResponse message = makeReplyResponse(reply);
    for (const auto& [field, value] : request.extraReplyHeaders)
        message.set(field, value);
    exchange->respond(std::move(message));
}

void CallerHandler::recordSpan(const CallerRequest& request, const CallerReply& reply) const
{
    if (!tracer_.isEnabled())
        return;
    telemetry::Span span;
    span.context = request.trace;
    span.parentSpanId = request.parentSpanId;
    span.name = "caller.request";
    span.duration = std::chrono::duration_cast<milliseconds>(clock_.now() - request.receivedAt);
    span.start = clock_.wallNow() - span.duration;
    span.attributes = { { "service", request.service }, { "outcome", outcomeName(reply.outcome) },
        { "attempts", std::to_string(request.attempts) } };
    tracer_.record(span);
}

} // namespace turmericsill::callers
