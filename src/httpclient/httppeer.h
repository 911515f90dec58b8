#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "foundation/result.h"
#include "httpclient/types/httpcall.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstddef>
#include <deque>
#include <vector>

namespace turmericsill::httpclient {

class PeerConnection;

/// HTTP/1.1 client of one server. Keeps its connections open and sends one call at a time on each.
/// A connection that the server has closed while it was idle is not used again.
/// Calls beyond the limit of connections wait in order; their timeout runs while they wait.
/// Errors: Errc::Unavailable means that no byte of the call was sent. Errc::Timeout and Errc::ProtocolViolation leave
/// open whether the server carried the call out; the connection is closed, since a late answer may still come on it.
class HttpPeer {
public:
    HttpPeer(boost::asio::io_context& context, foundation::Address server, std::size_t maximumConnections);
    ~HttpPeer();

    HttpPeer(const HttpPeer&) = delete;
    HttpPeer& operator=(const HttpPeer&) = delete;

    /// Sends a call. The callback runs on the context's thread, once, unless the peer is destroyed before.
    void send(HttpCall call, HttpCallback done);

    const foundation::Address& address() const { return server_; }

private:
    friend class PeerConnection;

    struct WaitingCall {
        HttpCall call;
        HttpCallback done;
        foundation::SteadyTime deadline;
    };

    void release(PeerConnection& connection);
    void forget(const PeerConnection& connection);
    void remove(PeerConnection& connection);
    void sendNext();
    void expireWaiting();

    boost::asio::io_context& context_;
    foundation::Address server_;
    std::size_t maximumConnections_;
    std::vector<boost::intrusive_ptr<PeerConnection>> connections_;
    std::vector<boost::intrusive_ptr<PeerConnection>> idle_;
    std::deque<WaitingCall> waiting_;
    boost::asio::steady_timer waitingTimer_;
};

} // namespace turmericsill::httpclient
