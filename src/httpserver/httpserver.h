#pragma once

#include "foundation/address.h"
#include "foundation/oneshottimer.h"
#include "foundation/result.h"
#include "foundation/tcpstream.h"
#include "httpserver/ihttphandler.h"
#include "httpserver/readbudget.h"
#include "httpserver/types/serverlimits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/list_hook.hpp>
#include <memory>

namespace turmericsill::httpserver {

class HttpConnection;

/// Hook of a connection in the list of its server.
using ConnectionHook = boost::intrusive::list_base_hook<boost::intrusive::tag<HttpConnection>>;

/// HTTP/1.1 server that runs on the thread of one io_context. Requests of a connection are handled one at a time, in
/// order.
class HttpServer final : private IdleConnectionSource {
public:
    /// `budget` is shared with other servers and outlives them; without one the server has an unlimited one of its own.
    HttpServer(boost::asio::io_context& context, IHttpHandler& handler, const ServerLimits& limits,
        ReadBudget* budget = nullptr);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds to an address and begins to accept connections.
    foundation::Result<void> listen(const foundation::Address& address);

    /// Accepts no more connections and closes idle ones. Requests in progress are still answered; their responses carry
    /// "Connection: close".
    void beginShutdown();

    /// Closes all connections immediately, with or without a request in progress.
    void closeAll();

    /// Port that the server listens on; chosen by the system if listen() was given port 0.
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    const ServerCounters& counters() const { return counters_; }

private:
    friend class HttpConnection;

    /// Hook of a connection in the list of its server.
    using ConnectionHook = boost::intrusive::list_base_hook<boost::intrusive::tag<HttpConnection>>;

    template <typename Visit> void forEachConnection(Visit visit);
    void accept();
    void retryAcceptLater();
    void scheduleIdleSweep();
    void closeIdleConnections();
    void onAccept(foundation::TcpSocket socket);
    bool hasRoomFor(foundation::TcpSocket& socket);
    bool closeIdlest(foundation::SteadyTime now) override;

    boost::asio::io_context& context_;
    IHttpHandler& handler_;
    ServerLimits limits_;
    ReadBudget ownBudget_;
    ReadBudget& budget_;
    ServerCounters counters_;
    boost::asio::ip::tcp::acceptor acceptor_;
    foundation::OneShotTimer acceptRetryTimer_;
    foundation::OneShotTimer idleSweepTimer_;
    bool isShuttingDown_ = false;
    boost::intrusive::list<HttpConnection, boost::intrusive::base_hook<ConnectionHook>,
        boost::intrusive::constant_time_size<false>>
        connections_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::httpserver
