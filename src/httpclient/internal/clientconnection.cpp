#include "httpclient/internal/clientconnection.h"

#include "foundation/controltraffic.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace turmericsill::httpclient {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using foundation::Errc;
using foundation::failure;
using SelfPtr = boost::intrusive_ptr<ClientConnection>;

namespace {

    /// Option of a socket: milliseconds after which the system ends a connection whose data were not delivered.
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

    constexpr foundation::milliseconds deliveryTimeout { 2000 }; ///< Holds while this process does not run, too.
    constexpr std::size_t minimumReadBytes = 1024; ///< Enough for nearly all answers of instances.

    void appendField(std::string& header, std::string_view name, std::string_view value)
    {
        header.append(name).append(": ").append(value).append("\r\n");
    }

} // namespace

ClientConnection::ClientConnection(
    asio::io_context& context, PooledHttpClient& client, const IServerIdentification* identification)
    : socket_(context)
    , deadlines_(asio::use_service<CallDeadlines>(context))
    , reader_(context)
    , client_(&client)
    , identification_(identification)
{
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::send(HttpCall call, HttpCallback done, foundation::SteadyTime deadline)
{
    done_ = std::move(done);
    if (serverIncarnation_ == call.serverIncarnation || call.serverIncarnation == 0)
        return begin(std::move(call), deadline);
    HttpCall identificationCall = identification_->identificationCall();
    const auto identificationDeadline = std::chrono::steady_clock::now() + identificationCall.timeout;
    identifiedCall_ = std::make_unique<HttpCall>(std::move(call));
    begin(std::move(identificationCall), identificationDeadline);
}

void ClientConnection::begin(HttpCall call, foundation::SteadyTime deadline)
{
    operation_ = std::move(call.step);
    onProgress_ = std::move(call.onProgress);
    closesConnection_ = call.closesConnection;
    writeHeader(call);
    body_ = std::move(call.body);
    ExpectedResponse expected;
    expected.readBytes = std::max(minimumReadBytes, call.readBufferBytes);
    reader_.begin(expected);
    deadlines_.add(*this, deadline);
    if (isConnected_)
        return write();
    connect();
}

void ClientConnection::writeHeader(const HttpCall& call)
{
    const beast::string_view verb = http::to_string(call.verb);
    header_.assign(verb.data(), verb.size());
    header_.append(" ").append(call.target).append(" HTTP/1.1\r\n");
    const auto isGiven = [&call](std::string_view name) {
        return std::any_of(call.headers.begin(), call.headers.end(), [name](const auto& field) {
            return beast::iequals(field.first, beast::string_view(name.data(), name.size()));
        });
    };
    if (!isGiven("Host"))
        appendField(header_, "Host", client_->address().toString());
    if (call.closesConnection)
        appendField(header_, "Connection", "close");
    if (!call.body.empty() && !call.contentType.empty() && !isGiven("Content-Type"))
        appendField(header_, "Content-Type", call.contentType);
    for (const auto& [name, value] : call.headers)
        appendField(header_, name, value);
    if (!call.body.empty() || call.verb == http::verb::post)
        appendField(header_, "Content-Length", std::to_string(call.body.size()));
    header_ += "\r\n";
}

void ClientConnection::detach()
{
    client_ = nullptr;
    if (done_)
        abort();
    done_ = nullptr;
    close();
}

// A connection that is closed in the ordinary way still delivers what was sent on it, however late. The server must not
// carry out a call after its caller has given it up, since an order that was sent later may have overtaken it by then.
void ClientConnection::abort()
{
    beast::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void ClientConnection::close()
{
    isClosed_ = true;
    isConnected_ = false;
    CallDeadlines::cancel(*this);
    beast::error_code ignored;
    socket_.close(ignored);
}

// The server may have closed the connection since the pending read was last served.
bool ClientConnection::isUsable()
{
    if (!isConnected_)
        return false;
    char unsolicited = 0;
    const auto result = ::recv(socket_.native_handle(), &unsolicited, 1, MSG_PEEK | MSG_DONTWAIT);
    return result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Whether the connection has become ready, received data or failed since the thread last looked.
bool ClientConnection::hasUnhandledEvent()
{
    if (!socket_.is_open())
        return false;
    pollfd entry { socket_.native_handle(), static_cast<short>(isConnected_ ? POLLIN : POLLOUT), 0 };
    return ::poll(&entry, 1, 0) > 0;
}

// A late thread must not take its own lateness for the silence of the server.
void ClientConnection::onDeadline()
{
    if (hasUnhandledEvent())
        return deadlines_.add(*this, std::chrono::steady_clock::now() + lateHandlingAllowance);
    fail(isConnected_ ? Errc::Timeout : Errc::Unavailable, beast::error::timeout);
}

void ClientConnection::connect()
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(client_->address().ip), client_->address().port);
    socket_.async_connect(endpoint, [self = SelfPtr(this)](beast::error_code error) {
        if (self->isClosed_)
            return;
        if (error)
            return self->fail(Errc::Unavailable, error);
        self->isConnected_ = true;
        beast::error_code ignored; // Without this option the connection is only slower.
        self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->socket_.set_option(UserTimeout(static_cast<int>(deliveryTimeout.count())), ignored);
        self->write();
        self->read();
    });
}

void ClientConnection::write()
{
    isWriting_ = true;
    const std::array<asio::const_buffer, 2> request { asio::buffer(header_), asio::buffer(body_) };
    asio::async_write(socket_, request, [self = SelfPtr(this)](beast::error_code error, std::size_t bytes) {
        foundation::ControlTraffic::processTotals().sent += bytes;
        self->onWritten(error);
    });
}

void ClientConnection::onWritten(const beast::error_code& error)
{
    isWriting_ = false;
    if (error && !isClosed_)
        fail(Errc::ProtocolViolation, error);
}

void ClientConnection::read()
{
    const asio::mutable_buffer memory = reader_.prepare();
    socket_.async_read_some(
        memory, [self = SelfPtr(this), requested = memory.size()](beast::error_code error, std::size_t bytes) {
            foundation::ControlTraffic::processTotals().received += bytes;
            self->isReadFull_ = bytes == requested;
            self->reader_.commit(bytes);
            self->onRead(error);
        });
}

void ClientConnection::onRead(const beast::error_code& error)
{
    if (isClosed_)
        return;
    if (error)
        return onDisconnected(error);
    if (!done_)
        return close(); // Unsolicited data. The client drops the idle connection when it would use it.
    if (onProgress_)
        onProgress_();
    parseResponse();
}

void ClientConnection::parseResponse()
{
    const beast::error_code error = reader_.parse();
    if (!error)
        return onResponse();
    if (error != http::error::need_more)
        return fail(Errc::ProtocolViolation, error);
    read();
}

// The end of the connection ends the body of a response without a length.
void ClientConnection::onDisconnected(const beast::error_code& error)
{
    if (!done_)
        return close();
    if (error != asio::error::eof)
        return fail(Errc::ProtocolViolation, error);
    if (const beast::error_code incomplete = reader_.endOfStream())
        return fail(Errc::ProtocolViolation, incomplete);
    closesConnection_ = true;
    onResponse();
}

// After a read that was not filled the socket is empty. Otherwise the next read could take unsolicited bytes from it
// before the next call, and they would be parsed as the answer to that call.
void ClientConnection::onResponse()
{
    ResponseParser& response = reader_.response();
    const bool isComplete = !closesConnection_ && response.keep_alive() && !reader_.hasMore() && !isWriting_;
    const bool canReuseConnection = isComplete && (!isReadFull_ || isUsable());
    if (canReuseConnection)
        read();
    if (identifiedCall_)
        return onIdentified({ response.status(), response.takeBody() }, canReuseConnection);
    finish(HttpResponse { response.status(), response.takeBody() }, canReuseConnection);
}

void ClientConnection::onIdentified(const HttpResponse& response, bool canReuseConnection)
{
    const std::unique_ptr<HttpCall> call = std::move(identifiedCall_);
    serverIncarnation_ = identification_->incarnationFrom(response);
    std::string reason;
    if (serverIncarnation_ == 0)
        reason = "the server does not tell its incarnation";
    else if (serverIncarnation_ != call->serverIncarnation)
        reason = "the server runs in another incarnation";
    else if (!canReuseConnection)
        reason = "the server closes the connection";
    else if (call->isStillWanted && !call->isStillWanted())
        reason = "no longer permitted";
    if (!reason.empty()) {
        const std::string address = client_ ? client_->address().toString() : std::string();
        return finish(
            failure(Errc::Unavailable, call->step, address, reason), canReuseConnection && serverIncarnation_ != 0);
    }
    CallDeadlines::cancel(*this);
    const auto deadline = std::chrono::steady_clock::now() + call->timeout;
    begin(std::move(*call), deadline);
}

// A call that waits for the identification was not sent.
void ClientConnection::fail(Errc code, const beast::error_code& error)
{
    const std::string address = client_ ? client_->address().toString() : std::string();
    const Errc reported = identifiedCall_ ? Errc::Unavailable : code;
    identifiedCall_.reset();
    abort();
    finish(failure(reported, operation_, address, error.message()), false);
}

void ClientConnection::finish(foundation::Result<HttpResponse> result, bool canReuseConnection)
{
    const SelfPtr self(this);
    auto done = std::move(done_);
    done_ = nullptr;
    CallDeadlines::cancel(*this);
    reader_.release();
    if (!canReuseConnection)
        close();
    if (client_ && canReuseConnection)
        client_->onConnectionIdle(*this);
    else if (client_)
        client_->onConnectionClosed(*this);
    if (done)
        done(std::move(result));
}

} // namespace turmericsill::httpclient
