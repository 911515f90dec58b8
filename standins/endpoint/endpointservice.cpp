#include "standins/endpoint/endpointservice.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace turmericsill::standins {

using foundation::milliseconds;
using httpserver::HttpExchangePtr;

namespace {

    constexpr std::size_t connectionLimit = 2000;

} // namespace

EndpointService::EndpointService(boost::asio::io_context& context, std::string name, const foundation::Address& address,
    RunCountByKey& runCountByKey)
    : context_(context)
    , timers_(context)
    , name_(std::move(name))
    , address_(address)
    , runCountByKey_(runCountByKey)
{
}

foundation::Result<void> EndpointService::start()
{
    httpserver::ServerLimits limits;
    limits.maximumConnections = connectionLimit;
    server_ = std::make_unique<httpserver::HttpServer>(context_, *this, limits);
    return server_->listen(address_);
}

void EndpointService::handle(const HttpExchangePtr& exchange)
{
    auto& request = exchange->request();
    if (request.target() == "/standin/ping") {
        exchange->respond(httpserver::makeResponse(200, "pong"));
        return;
    }
    ++counts_.runs;
    ++counts_.inProgress;
    counts_.maximumInProgress = std::max(counts_.maximumInProgress, counts_.inProgress);
    counts_.maximumConnections = std::max<std::uint64_t>(counts_.maximumConnections, server_->counters().open);
    const std::string key(request["Idempotency-Key"]);
    if (!key.empty())
        ++runCountByKey_[key];
    const std::string workMs(request["X-Work-Ms"]);
    const auto finishAt = std::chrono::steady_clock::now() + milliseconds(std::atoll(workMs.c_str()));
    timers_.schedule(finishAt, [this, exchange, rebootCount = rebootCount_] { finish(exchange, rebootCount); });
}

void EndpointService::finish(const HttpExchangePtr& exchange, std::uint64_t rebootCount)
{
    if (rebootCount != rebootCount_)
        return;
    --counts_.inProgress;
    const auto& request = exchange->request();
    const nlohmann::json body { { "endpoint", name_ }, { "target", std::string(request.target()) },
        { "request_id", std::string(request["X-Request-Id"]) }, { "body", request.body() } };
    exchange->respond(httpserver::makeResponse(200, body.dump(), "application/json"));
}

void EndpointService::reboot(milliseconds duration)
{
    counts_.interrupted += counts_.inProgress;
    counts_.inProgress = 0;
    ++rebootCount_;
    server_.reset();
    timers_.schedule(std::chrono::steady_clock::now() + duration, [this] { static_cast<void>(start()); });
}

EndpointCounts EndpointService::counts() const { return counts_; }

} // namespace turmericsill::standins
