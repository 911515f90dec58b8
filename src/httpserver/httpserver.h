#pragma once

#include "foundation/address.h"
#include "foundation/result.h"
#include "foundation/tcpstream.h"
#include "httpserver/ihttphandler.h"
#include "httpserver/types/serverlimits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/list_hook.hpp>

namespace turmericsill::httpserver {

class HttpConnection;

/// Links a connection into its server's list.
using ConnectionHook = boost::intrusive::list_base_hook<boost::intrusive::tag<HttpConnection>>;

/// HTTP/1.1 server on one thread's context. Requests on a connection are served one after the other.
class HttpServer {
public:
    HttpServer(boost::asio::io_context& context, IHttpHandler& handler, const ServerLimits& limits);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    foundation::Result<void> listen(const foundation::Address& address);

    /// Accepts no more connections; requests in progress are still answered, each with "Connection: close".
    void beginShutdown();

    /// Closes every connection at once.
    void closeAll();

    /// Port that the server listens on; chosen by the system when the address had none.
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    const ServerCounters& counters() const { return counters_; }

private:
    friend class HttpConnection;

    /// Links a connection into its server's list.
    using ConnectionHook = boost::intrusive::list_base_hook<boost::intrusive::tag<HttpConnection>>;

    template <typename Visit> void forEachConnection(Visit visit);
    void accept();
    void acceptLater();
    void sweepLater();
    void closeIdleConnections();
    void onAccept(foundation::TcpSocket socket);

    boost::asio::io_context& context_;
    IHttpHandler& handler_;
    ServerLimits limits_;
    ServerCounters counters_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_;
    boost::asio::steady_timer sweepTimer_;
    bool shuttingDown_ = false;
    boost::intrusive::list<HttpConnection, boost::intrusive::base_hook<ConnectionHook>,
        boost::intrusive::constant_time_size<false>>
        connections_;
};

} // namespace turmericsill::httpserver
