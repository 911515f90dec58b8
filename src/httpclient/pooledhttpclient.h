#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "foundation/oneshottimer.h"
#include "foundation/result.h"
#include "httpclient/iserveridentification.h"
#include "httpclient/types/httpcall.h"

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstddef>
#include <deque>
#include <vector>

namespace turmericsill::httpclient {

class ClientConnection;

/// HTTP/1.1 client of one server, with a pool of persistent connections that carry one call at a time.
/// A connection that the server has closed while it was idle is not reused.
/// Calls beyond the connection limit wait in a queue, at most for their timeout, which starts anew when they are sent.
/// A late thread does not take its own lateness for the server's: a call whose response has arrived when its timeout
/// expires does not fail, and a queued call may wait for up to twice its timeout.
/// A call for one incarnation of the server is sent on connections that have been identified as leading to it.
/// Errors: Errc::Unavailable: no byte of the call was sent. Errc::Timeout and Errc::ProtocolViolation: it is unknown
/// whether the server has carried out the call; the connection is closed, since a late response may still arrive on it.
class PooledHttpClient {
public:
    /// `identification` is needed for calls with HttpCall::serverIncarnation and outlives the client.
    PooledHttpClient(boost::asio::io_context& context, foundation::Address server, std::size_t maximumConnections,
        const IServerIdentification* identification = nullptr);
    ~PooledHttpClient();

    PooledHttpClient(const PooledHttpClient&) = delete;
    PooledHttpClient& operator=(const PooledHttpClient&) = delete;

    /// Sends a call. The callback runs once, on the context's thread, unless the PooledHttpClient is destroyed before.
    void send(HttpCall call, HttpCallback done);

    const foundation::Address& address() const { return server_; }

private:
    friend class ClientConnection;

    struct QueuedCall {
        HttpCall call;
        HttpCallback done;
        foundation::SteadyTime deadline;
    };

    boost::intrusive_ptr<ClientConnection> takeIdleConnection(std::int64_t incarnation);
    void onConnectionIdle(ClientConnection& connection);
    void eraseConnection(const ClientConnection& connection);
    void onConnectionClosed(ClientConnection& connection);
    void sendQueuedCalls();
    void scheduleQueueTimeout(foundation::SteadyTime when);
    void failExpiredCalls();

    boost::asio::io_context& context_;
    foundation::Address server_;
    std::size_t maximumConnections_;
    const IServerIdentification* identification_;
    std::vector<boost::intrusive_ptr<ClientConnection>> connections_;
    std::vector<boost::intrusive_ptr<ClientConnection>> idleConnections_;
    std::deque<QueuedCall> queuedCalls_;
    foundation::OneShotTimer queueTimer_; ///< Runs while calls are queued.
    foundation::SteadyTime queueTimeoutDueAt_ {}; ///< When the timer should expire.
};

} // namespace turmericsill::httpclient
