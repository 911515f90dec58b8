#include "callers/httpendpointtransport.h"

#include "callers/internal/endpointconnection.h"
#include "foundation/systemclock.h"

#include <utility>

namespace turmericsill::callers {

namespace {

    using foundation::milliseconds;

    constexpr milliseconds idleTimeout { 30000 }; ///< Idle connections are closed after this time.

    /// A non-idempotent request reuses only connections that were idle for at most this time, so that the endpoint is
    /// unlikely to close the connection because of its own idle timeout.
    constexpr milliseconds nonIdempotentIdleTimeout { 1000 };

} // namespace

HttpEndpointTransport::HttpEndpointTransport(boost::asio::io_context& context, std::size_t maximumResponseBytes)
    : context_(context)
    , maximumResponseBytes_(maximumResponseBytes)
    , alive_(std::make_shared<bool>(true))
{
}

HttpEndpointTransport::~HttpEndpointTransport() { *alive_ = false; }

void HttpEndpointTransport::start(const AttemptTarget& target, const httpserver::HttpRequest& request,
    foundation::SteadyTime deadline, foundation::SteadyTime abortAt, AttemptObserverPtr observer)
{
    const PoolKey key { target.instance, target.service };
    ConnectionPool& pool = pools_[key];
    std::shared_ptr<EndpointConnection> connection = takeIdleConnection(pool, target.requiresRecentConnection);
    if (!connection && pool.open >= target.maximumConnections) {
        observer->onFailure(foundation::Error {
            foundation::Errc::Conflict, "endpoint.connect", target.address.toString(), "connection limit reached" });
        return;
    }
    if (!connection) {
        connection = std::make_shared<EndpointConnection>(*this, key, target.address.toString());
        ++pool.open;
    }
    connection->start(target, request, deadline, abortAt, std::move(observer));
}

std::shared_ptr<EndpointConnection> HttpEndpointTransport::takeIdleConnection(ConnectionPool& pool, bool requiresRecent)
{
    const auto now = foundation::SystemClock().now();
    while (!pool.idle.empty() && now - pool.idle.front()->idleSince() > idleTimeout) {
        pool.idle.front()->close();
        pool.idle.pop_front();
    }
    while (!pool.idle.empty()) {
        std::shared_ptr<EndpointConnection> connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        const bool isRecentEnough = !requiresRecent || now - connection->idleSince() <= nonIdempotentIdleTimeout;
        if (isRecentEnough && connection->isStillIdle())
            return connection;
        connection->close();
    }
    return nullptr;
}

void HttpEndpointTransport::onIdle(const std::shared_ptr<EndpointConnection>& connection)
{
    pools_[connection->key()].idle.push_back(connection);
}

// The pool is kept after its last connection has closed, because start() may still hold a reference to it.
void HttpEndpointTransport::onClosed(const PoolKey& key)
{
    auto found = pools_.find(key);
    if (found != pools_.end())
        --found->second.open;
}

void HttpEndpointTransport::closeIdleConnections(const std::string& instance)
{
    std::deque<std::shared_ptr<EndpointConnection>> closing;
    auto pool = pools_.lower_bound({ instance, "" });
    for (; pool != pools_.end() && pool->first.first == instance; ++pool) {
        for (auto& connection : pool->second.idle)
            closing.push_back(std::move(connection));
        pool->second.idle.clear();
    }
    for (auto& connection : closing)
        connection->close();
    closing.clear();
    for (pool = pools_.lower_bound({ instance, "" }); pool != pools_.end() && pool->first.first == instance;)
        pool = pool->second.open == 0 ? pools_.erase(pool) : std::next(pool);
}

} // namespace turmericsill::callers
