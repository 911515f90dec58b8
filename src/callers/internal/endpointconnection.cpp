#include "callers/internal/endpointconnection.h"

#include "foundation/systemclock.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace turmericsill::callers {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using foundation::Errc;

EndpointConnection::EndpointConnection(
    HttpEndpointTransport& transport, HttpEndpointTransport::PoolKey key, std::string peer)
    : transport_(transport)
    , transportAlive_(transport.alive_)
    , key_(std::move(key))
    , peer_(std::move(peer))
    , maximumResponseBytes_(transport.maximumResponseBytes_)
    , stream_(transport.context_)
{
}

EndpointConnection::~EndpointConnection()
{
    if (*transportAlive_)
        transport_.onClosed(key_);
}

void EndpointConnection::start(const AttemptTarget& target, const httpserver::HttpRequest& request,
    foundation::SteadyTime deadline, foundation::SteadyTime abortAt, AttemptObserverPtr observer)
{
    request_ = &request;
    observer_ = std::move(observer);
    deadline_ = deadline;
    abortAt_ = abortAt;
    if (isConnected_)
        send();
    else
        connect(target.address);
}

void EndpointConnection::connect(const foundation::Address& address)
{
    // A connection that is established after the deadline is of no use to the request.
    stream_.expires_after(deadline_ - foundation::SystemClock().now());
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    stream_.async_connect(endpoint, [self = shared_from_this()](beast::error_code error) {
        if (error)
            return self->fail(Errc::Unavailable, "endpoint.connect", error.message());
        self->isConnected_ = true;
        beast::error_code ignored;
        self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        self->stream_.socket().non_blocking(true, ignored);
        self->send();
    });
}

void EndpointConnection::send()
{
    if (!observer_->onBeforeSend())
        return fail(Errc::Conflict, "endpoint.send", "the attempt was stopped before the first byte was sent");
    stream_.expires_after(abortAt_ - foundation::SystemClock().now());
    http::async_write(stream_, *request_, [self = shared_from_this()](beast::error_code error, std::size_t) {
        if (error)
            return self->fail(Errc::ProtocolViolation, "endpoint.send", error.message());
        self->receive();
    });
}

void EndpointConnection::receive()
{
    parser_.emplace();
    parser_->body_limit(maximumResponseBytes_);
    parser_->skip(request_->method() == http::verb::head);
    http::async_read_header(stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->onHeaderRead(error); });
}

void EndpointConnection::onHeaderRead(beast::error_code error)
{
    if (error)
        return failReceive(error);
    if (http::to_status_class(parser_->get().result()) == http::status_class::informational)
        return receive();
    if (!hasExplicitLength())
        return fail(Errc::ProtocolViolation, "endpoint.receive",
            "the response has neither Content-Length nor chunked encoding");
    // The parser enforces its body limit for chunked bodies, but not for a body with a Content-Length.
    const auto length = parser_->content_length();
    if (!parser_->is_done() && length && *length > maximumResponseBytes_)
        return fail(Errc::CapacityExceeded, "endpoint.receive", "response is too large");
    if (parser_->is_done())
        return onBodyRead({});
    http::async_read(stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code failed, std::size_t) { self->onBodyRead(failed); });
}

void EndpointConnection::failReceive(const beast::error_code& error)
{
    fail(error == beast::error::timeout ? Errc::Timeout : Errc::ProtocolViolation, "endpoint.receive", error.message());
}

void EndpointConnection::onBodyRead(beast::error_code error)
{
    if (error)
        return failReceive(error);
    const auto now = foundation::SystemClock().now();
    // Bytes after the response belong to no request, and a connection with an overdue response is not reused.
    const bool isReusable = parser_->get().keep_alive() && buffer_.size() == 0 && now < deadline_;
    AttemptObserverPtr observer = std::move(observer_);
    httpserver::HttpResponse response = parser_->release();
    parser_.reset();
    request_ = nullptr;
    if (isReusable) {
        stream_.expires_never();
        idleSince_ = now;
        transport_.onIdle(shared_from_this());
    } else {
        close();
    }
    observer->onResponse(std::move(response));
}

// Without a Content-Length or chunked encoding, a response truncated by a closed connection looks complete.
bool EndpointConnection::hasExplicitLength() const
{
    const auto& response = parser_->get();
    const bool hasNoBody = request_->method() == http::verb::head || response.result() == http::status::no_content
        || response.result() == http::status::not_modified;
    return hasNoBody || response.has_content_length() || response.chunked();
}

bool EndpointConnection::isStillIdle()
{
    std::array<char, 1> byte {};
    beast::error_code error;
    stream_.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

void EndpointConnection::close()
{
    isConnected_ = false;
    beast::error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    stream_.close();
}

void EndpointConnection::fail(Errc code, const std::string& step, const std::string& detail)
{
    close();
    AttemptObserverPtr observer = std::move(observer_);
    request_ = nullptr;
    observer->onFailure(foundation::Error { code, step, peer_, detail });
}

} // namespace turmericsill::callers
