#include "httpclient/httppeer.h"

#include "httpclient/internal/peerconnection.h"

#include <algorithm>
#include <utility>

namespace turmericsill::httpclient {

using foundation::Errc;
using foundation::failure;

HttpPeer::HttpPeer(boost::asio::io_context& context, foundation::Address server, std::size_t maximumConnections)
    : context_(context)
    , server_(std::move(server))
    , maximumConnections_(maximumConnections)
    , waitingTimer_(context)
{
}

HttpPeer::~HttpPeer()
{
    for (auto& connection : connections_)
        connection->detach();
}

void HttpPeer::send(HttpCall call, HttpCallback done)
{
    const auto deadline = std::chrono::steady_clock::now() + call.timeout;
    waiting_.push_back({ std::move(call), std::move(done), deadline });
    sendNext();
}

void HttpPeer::sendNext()
{
    while (!waiting_.empty()) {
        boost::intrusive_ptr<PeerConnection> connection;
        if (!idle_.empty()) {
            connection = std::move(idle_.back());
            idle_.pop_back();
            if (!connection->isUsable()) {
                connection->detach();
                forget(*connection);
                continue;
            }
        } else if (connections_.size() < maximumConnections_) {
            connection = new PeerConnection(context_, *this);
            connections_.push_back(connection);
        } else {
            return expireWaiting();
        }
        WaitingCall next = std::move(waiting_.front());
        waiting_.pop_front();
        connection->send(std::move(next.call), std::move(next.done), next.deadline);
    }
}

void HttpPeer::expireWaiting()
{
    waitingTimer_.expires_at(waiting_.front().deadline);
    waitingTimer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        const auto now = std::chrono::steady_clock::now();
        while (!waiting_.empty() && waiting_.front().deadline <= now) {
            WaitingCall expired = std::move(waiting_.front());
            waiting_.pop_front();
            expired.done(failure(Errc::Unavailable, expired.call.step, server_.text(), "no free connection in time"));
        }
        if (!waiting_.empty())
            expireWaiting();
    });
}

void HttpPeer::release(PeerConnection& connection)
{
    idle_.emplace_back(&connection);
    sendNext();
}

void HttpPeer::forget(const PeerConnection& connection)
{
    const auto isSame = [&](const auto& other) { return other.get() == &connection; };
    connections_.erase(std::remove_if(connections_.begin(), connections_.end(), isSame), connections_.end());
}

void HttpPeer::remove(PeerConnection& connection)
{
    forget(connection);
    sendNext();
}

} // namespace turmericsill::httpclient
