#include "httpserver/httpserver.h"

#include "httpserver/internal/httpconnection.h"

#include <fcntl.h>
#include <new>
#include <unistd.h>
#include <utility>
#include <vector>

namespace turmericsill::httpserver {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using foundation::Errc;
using foundation::failure;
using foundation::Result;

namespace {

    constexpr foundation::milliseconds idleSweepInterval { 1000 };
    constexpr int listenBacklog = 4096;
    constexpr foundation::milliseconds acceptRetryDelay { 100 }; ///< After an error such as too many open files.

    /// Gives a socket the lowest free descriptor; returns false if that fails, which closes the socket.
    bool moveToLowestDescriptor(foundation::TcpSocket& socket)
    {
        boost::system::error_code error;
        const auto protocol = socket.local_endpoint(error).protocol();
        const int descriptor = socket.release(error);
        if (error)
            return false;
        const int lowest = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
        ::close(descriptor);
        if (lowest < 0)
            return false;
        socket.assign(protocol, lowest, error);
        if (error)
            ::close(lowest);
        return !error;
    }

} // namespace

HttpResponse makeResponse(unsigned status, std::string body, const std::string& contentType)
{
    HttpResponse response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

HttpServer::HttpServer(asio::io_context& context, IHttpHandler& handler, const ServerLimits& limits, ReadBudget* budget)
    : context_(context)
    , handler_(handler)
    , limits_(limits)
    , budget_(budget ? *budget : ownBudget_)
    , acceptor_(context)
    , acceptRetryTimer_(context)
    , idleSweepTimer_(context)
{
    budget_.addSource(*this);
}

HttpServer::~HttpServer()
{
    *alive_ = false;
    budget_.removeSource(*this);
    while (!connections_.empty()) {
        HttpConnection& connection = connections_.front();
        connections_.pop_front();
        connection.detach();
        connection.close();
    }
}

Result<void> HttpServer::listen(const foundation::Address& address)
{
    boost::system::error_code error;
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(listenBacklog, error);
    if (error)
        return failure(Errc::Unavailable, "http.listen", address.toString(), error.message());
    accept();
    scheduleIdleSweep();
    return {};
}

void HttpServer::accept()
{
    acceptor_.async_accept(
        context_, [this, alive = alive_](boost::system::error_code error, foundation::TcpSocket socket) {
            if (!*alive || error == asio::error::operation_aborted || !acceptor_.is_open())
                return;
            if (error == asio::error::no_descriptors)
                budget_.closeIdlest(std::chrono::steady_clock::now());
            if (error)
                return retryAcceptLater();
            try {
                onAccept(std::move(socket));
            } catch (const std::bad_alloc&) {
                ++counters_.refusedConnections; // The next ones must still be accepted.
            }
            accept();
        });
}

void HttpServer::retryAcceptLater()
{
    acceptRetryTimer_.start(acceptRetryDelay, [this] {
        if (acceptor_.is_open())
            accept();
    });
}

void HttpServer::onAccept(foundation::TcpSocket socket)
{
    if (!hasRoomFor(socket))
        return;
    ++counters_.accepted;
    boost::intrusive_ptr<HttpConnection>(new HttpConnection(std::move(socket), *this))->start();
}

// Either an idle connection is closed in favour of the new one, or the new one is refused. The new one takes over the
// descriptor of the closed one: a free number below would go to the next connection, which would not show the shortage,
// and so every second one would be accepted beyond the limit.
bool HttpServer::hasRoomFor(foundation::TcpSocket& socket)
{
    const bool isFull = counters_.open >= limits_.maximumConnections;
    const bool isShort = budget_.isShortOfDescriptors(socket.native_handle());
    if (!isFull && !isShort)
        return true;
    const auto now = std::chrono::steady_clock::now();
    const bool hasClosed = closeIdlest(now) || (!isFull && budget_.closeIdlest(now));
    const bool hasRoom = hasClosed && (!isShort || moveToLowestDescriptor(socket));
    if (!hasRoom)
        ++counters_.refusedConnections;
    return hasRoom;
}

// Connections that never sent anything go first, the oldest of them, since a client connects in order to send; then
// those that have been idle for longer than promised; then the one whose request or response has been under way for
// longest. The list is in the order of acceptance.
bool HttpServer::closeIdlest(foundation::SteadyTime now)
{
    HttpConnection* idlest = nullptr;
    HttpConnection* slowest = nullptr;
    const auto replaceByLonger = [](HttpConnection*& chosen, HttpConnection& other) {
        if (!chosen || other.waitsSince() < chosen->waitsSince())
            chosen = &other;
    };
    for (auto& connection : connections_) {
        if (!connection.isOpen())
            continue;
        if (connection.isInTransfer())
            replaceByLonger(slowest, connection);
        if (!connection.isIdle())
            continue;
        if (!connection.hasReceived()) {
            idlest = &connection;
            break;
        }
        if (now - connection.waitsSince() >= limits_.guaranteedIdleTime)
            replaceByLonger(idlest, connection);
    }
    HttpConnection* closed = idlest ? idlest : slowest;
    if (!closed)
        return false;
    ++counters_.refusedConnections;
    closed->close();
    return true;
}

void HttpServer::scheduleIdleSweep()
{
    idleSweepTimer_.start(idleSweepInterval, [this] {
        scheduleIdleSweep();
        closeIdleConnections();
        budget_.trimMemory(std::chrono::steady_clock::now());
    });
}

void HttpServer::closeIdleConnections()
{
    const auto idleBefore = std::chrono::steady_clock::now() - limits_.idleTimeout;
    forEachConnection([&](HttpConnection& connection) {
        if (!connection.isIdle() || connection.waitsSince() >= idleBefore)
            return;
        ++counters_.timedOut;
        connection.close();
    });
}

// A visit may end a connection, so references to all connections are held until the last visit.
template <typename Visit> void HttpServer::forEachConnection(Visit visit)
{
    std::vector<boost::intrusive_ptr<HttpConnection>> open;
    for (auto& connection : connections_)
        open.emplace_back(&connection);
    for (auto& connection : open)
        visit(*connection);
}

void HttpServer::beginShutdown()
{
    isShuttingDown_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    forEachConnection([](HttpConnection& connection) { connection.closeIfIdle(); });
}

void HttpServer::closeAll()
{
    forEachConnection([](HttpConnection& connection) { connection.close(); });
}

} // namespace turmericsill::httpserver
