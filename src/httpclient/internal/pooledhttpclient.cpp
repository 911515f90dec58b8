#include "httpclient/pooledhttpclient.h"

#include "httpclient/internal/clientconnection.h"

#include <algorithm>
#include <utility>

namespace turmericsill::httpclient {

using foundation::Errc;
using foundation::failure;

PooledHttpClient::PooledHttpClient(
    boost::asio::io_context& context, foundation::Address server, std::size_t maximumConnections)
    : context_(context)
    , server_(std::move(server))
    , maximumConnections_(maximumConnections)
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
        boost::intrusive_ptr<ClientConnection> connection;
        if (!idleConnections_.empty()) {
            connection = std::move(idleConnections_.back());
            idleConnections_.pop_back();
            if (!connection->isUsable()) {
                connection->detach();
                eraseConnection(*connection);
                continue;
            }
        } else if (connections_.size() < maximumConnections_) {
            connection = new ClientConnection(context_, *this);
            connections_.push_back(connection);
        } else {
            return scheduleQueueTimeout(queuedCalls_.front().deadline);
        }
        QueuedCall next = std::move(queuedCalls_.front());
        queuedCalls_.pop_front();
        const auto deadline = std::chrono::steady_clock::now() + next.call.timeout;
        connection->send(std::move(next.call), std::move(next.done), deadline);
    }
    queueTimer_.cancel();
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
