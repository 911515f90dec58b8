#include "httpclient/pooledhttpclient.h"

#include "httpclient/internal/clientconnection.h"

#include <algorithm>
#include <utility>

namespace turmericsill::httpclient {

using foundation::Errc;
using foundation::failure;

PooledHttpClient::PooledHttpClient(boost::asio::io_context& context, foundation::Address server,
    std::size_t maximumConnections, const IServerIdentification* identification)
    : context_(context)
    , server_(std::move(server))
    , maximumConnections_(maximumConnections)
    , identification_(identification)
    , queueTimer_(context)
{
}

PooledHttpClient::~PooledHttpClient()
{
    for (auto& connection : connections_)
        connection->detach();
}

void PooledHttpClient::send(HttpCall call, HttpCallback done)
{
    const auto deadline = std::chrono::steady_clock::now() + call.timeout;
    queuedCalls_.push_back({ std::move(call), std::move(done), deadline });
    sendQueuedCalls();
}

void PooledHttpClient::sendQueuedCalls()
{
    while (!queuedCalls_.empty()) {
        if (queuedCalls_.front().call.isStillWanted && !queuedCalls_.front().call.isStillWanted()) {
            const QueuedCall dropped = std::move(queuedCalls_.front());
            queuedCalls_.pop_front();
            dropped.done(failure(Errc::Unavailable, dropped.call.step, server_.toString(), "no longer permitted"));
            continue;
        }
        auto connection = takeIdleConnection(queuedCalls_.front().call.serverIncarnation);
        if (!connection) {
            if (connections_.size() >= maximumConnections_)
                return scheduleQueueTimeout(queuedCalls_.front().deadline);
            connection = new ClientConnection(context_, *this, identification_);
            connections_.push_back(connection);
        }
        QueuedCall next = std::move(queuedCalls_.front());
        queuedCalls_.pop_front();
        const auto deadline = std::chrono::steady_clock::now() + next.call.timeout;
        connection->send(std::move(next.call), std::move(next.done), deadline);
    }
    queueTimer_.cancel();
}

// Connections that need no identification come first. Those that cannot carry the call are closed: the server has
// closed them, or they lead to another incarnation.
boost::intrusive_ptr<ClientConnection> PooledHttpClient::takeIdleConnection(std::int64_t incarnation)
{
    while (!idleConnections_.empty()) {
        auto chosen = std::find_if(idleConnections_.rbegin(), idleConnections_.rend(),
            [&](const auto& connection) { return connection->serverIncarnation() == incarnation; });
        if (chosen == idleConnections_.rend())
            chosen = idleConnections_.rbegin();
        boost::intrusive_ptr<ClientConnection> connection = std::move(*chosen);
        idleConnections_.erase(std::next(chosen).base());
        if (connection->canReach(incarnation) && connection->isUsable())
            return connection;
        connection->detach();
        eraseConnection(*connection);
    }
    return nullptr;
}

void PooledHttpClient::scheduleQueueTimeout(foundation::SteadyTime when)
{
    queueTimeoutDueAt_ = when;
    queueTimer_.start(when - std::chrono::steady_clock::now(), [this] { failExpiredCalls(); });
}

// While the thread is late, the responses that free connections may have arrived without having been handled. They are
// handled before the timer expires again.
void PooledHttpClient::failExpiredCalls()
{
    const auto now = std::chrono::steady_clock::now();
    const bool isThreadLate = now - queueTimeoutDueAt_ > lateHandlingAllowance;
    while (!queuedCalls_.empty() && queuedCalls_.front().deadline <= now) {
        const QueuedCall& first = queuedCalls_.front();
        if (isThreadLate && now - first.deadline < first.call.timeout)
            return scheduleQueueTimeout(now + lateHandlingAllowance);
        QueuedCall expired = std::move(queuedCalls_.front());
        queuedCalls_.pop_front();
        expired.done(failure(
            Errc::Unavailable, expired.call.step, server_.toString(), "no connection became free before the timeout"));
    }
    if (!queuedCalls_.empty())
        scheduleQueueTimeout(queuedCalls_.front().deadline);
}

void PooledHttpClient::onConnectionIdle(ClientConnection& connection)
{
    idleConnections_.emplace_back(&connection);
    sendQueuedCalls();
}

void PooledHttpClient::eraseConnection(const ClientConnection& connection)
{
    const auto isSame = [&](const auto& other) { return other.get() == &connection; };
    connections_.erase(std::remove_if(connections_.begin(), connections_.end(), isSame), connections_.end());
}

void PooledHttpClient::onConnectionClosed(ClientConnection& connection)
{
    eraseConnection(connection);
    sendQueuedCalls();
}

} // namespace turmericsill::httpclient
