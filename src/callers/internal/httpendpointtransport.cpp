#include "callers/httpendpointtransport.h"

#include "callers/internal/endpointconnection.h"

#include <utility>

namespace turmericsill::callers {

namespace {

    using foundation::milliseconds;

    constexpr milliseconds idleLimit { 30000 };

    /// A non-idempotent request takes an idle connection only while an idle timeout of the endpoint is unlikely.
    constexpr milliseconds freshIdleLimit { 1000 };

} // namespace

HttpEndpointTransport::HttpEndpointTransport(boost::asio::io_context& context, std::size_t maximumAnswerBytes)
    : context_(context)
    , maximumAnswerBytes_(maximumAnswerBytes)
    , alive_(std::make_shared<bool>(true))
{
}

HttpEndpointTransport::~HttpEndpointTransport() { *alive_ = false; }

void HttpEndpointTransport::start(const AttemptTarget& target, const httpserver::HttpRequest& request,
    foundation::SteadyTime deadline, foundation::SteadyTime limit, AttemptObserverPtr observer)
{
    const Key key { target.instance, target.service };
    Pool& pool = pools_[key];
    std::shared_ptr<EndpointConnection> connection = takeIdle(pool, target.requiresFreshConnection);
    if (!connection && pool.open >= target.maximumConnections) {
        observer->onFailure(foundation::Error {
            foundation::Errc::Conflict, "endpoint.connect", target.address.text(), "no connection is free" });
        return;
    }
    if (!connection) {
        connection = std::make_shared<EndpointConnection>(*this, key, target.address.text());
        ++pool.open;
    }
    connection->start(target, request, deadline, limit, std::move(observer));
}

std::shared_ptr<EndpointConnection> HttpEndpointTransport::takeIdle(Pool& pool, bool requiresFresh)
{
    const auto now = std::chrono::steady_clock::now();
    while (!pool.idle.empty() && now - pool.idle.front()->idleSince() > idleLimit) {
        pool.idle.front()->close();
        pool.idle.pop_front();
    }
    while (!pool.idle.empty()) {
        std::shared_ptr<EndpointConnection> connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        const bool fresh = !requiresFresh || now - connection->idleSince() <= freshIdleLimit;
        if (fresh && connection->isQuiet())
            return connection;
        connection->close();
    }
    return nullptr;
}

void HttpEndpointTransport::onReusable(const std::shared_ptr<EndpointConnection>& connection)
{
    pools_[connection->key()].idle.push_back(connection);
}

// A pool stays when its last connection ends, because its user may still hold a reference to it.
void HttpEndpointTransport::onClosed(const Key& key)
{
    auto found = pools_.find(key);
    if (found != pools_.end())
        --found->second.open;
}

void HttpEndpointTransport::closeIdle(const std::string& instance)
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
