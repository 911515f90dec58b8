#include "httpclient/internal/clientconnection.h"

#include "foundation/controltraffic.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
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

    constexpr std::uint64_t maximumResponseBytes = 256u << 20; ///< Enough for a page of the largest log read.

} // namespace

ClientConnection::ClientConnection(asio::io_context& context, PooledHttpClient& client)
    : stream_(context)
    , client_(&client)
{
}

void ClientConnection::send(HttpCall call, HttpCallback done, foundation::SteadyTime deadline)
{
    operation_ = std::move(call.step);
    done_ = std::move(done);
    closesConnection_ = call.closesConnection;
    request_ = {};
    request_.method(call.verb);
    request_.target(call.target);
    request_.version(11);
    request_.set(http::field::host, client_->address().toString());
    request_.keep_alive(!closesConnection_);
    if (!call.body.empty() && !call.contentType.empty())
        request_.set(http::field::content_type, call.contentType);
    for (const auto& [name, value] : call.headers)
        request_.set(name, value);
    request_.body() = std::move(call.body);
    request_.prepare_payload();
    buffer_.reserve(call.readBufferBytes); // Beast reads as much at a time as the buffer holds.
    stream_.expires_at(deadline);
    if (isConnected_)
        return write();
    connect();
}

void ClientConnection::detach()
{
    client_ = nullptr;
    done_ = nullptr;
    stream_.close();
}

bool ClientConnection::isUsable()
{
    char unsolicited = 0;
    const auto result = ::recv(stream_.socket().native_handle(), &unsolicited, 1, MSG_PEEK | MSG_DONTWAIT);
    return result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::connect()
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(client_->address().ip), client_->address().port);
    stream_.async_connect(endpoint, [self = SelfPtr(this)](beast::error_code error) {
        if (error)
            return self->fail(Errc::Unavailable, error);
        self->isConnected_ = true;
        beast::error_code ignored; // Without this option the connection is only slower.
        self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        self->write();
    });
}

void ClientConnection::write()
{
    http::async_write(stream_, request_, [self = SelfPtr(this)](beast::error_code error, std::size_t bytes) {
        foundation::ControlTraffic::processTotals().sent += bytes;
        self->onWritten(error);
    });
}

void ClientConnection::onWritten(beast::error_code error)
{
    if (error)
        return fail(error == beast::error::timeout ? Errc::Timeout : Errc::ProtocolViolation, error);
    parser_.emplace();
    parser_->body_limit(maximumResponseBytes);
    http::async_read(stream_, buffer_, *parser_, [self = SelfPtr(this)](beast::error_code failed, std::size_t bytes) {
        foundation::ControlTraffic::processTotals().received += bytes;
        self->onRead(failed);
    });
}

void ClientConnection::onRead(beast::error_code error)
{
    if (error)
        return fail(error == beast::error::timeout ? Errc::Timeout : Errc::ProtocolViolation, error);
    const bool canReuseConnection = !closesConnection_ && parser_->get().keep_alive() && buffer_.size() == 0;
    auto message = parser_->release();
    finish(HttpResponse { message.result_int(), std::move(message.body()) }, canReuseConnection);
}

void ClientConnection::fail(Errc code, const beast::error_code& error)
{
    const std::string address = client_ ? client_->address().toString() : std::string();
    finish(failure(code, operation_, address, error.message()), false);
}

void ClientConnection::finish(foundation::Result<HttpResponse> result, bool canReuseConnection)
{
    const SelfPtr self(this);
    auto done = std::move(done_);
    done_ = nullptr;
    if (canReuseConnection) {
        stream_.expires_never();
    } else {
        stream_.close();
        isConnected_ = false;
    }
    if (client_ && canReuseConnection)
        client_->onConnectionIdle(*this);
    else if (client_)
        client_->onConnectionClosed(*this);
    if (done)
        done(std::move(result));
}

} // namespace turmericsill::httpclient
