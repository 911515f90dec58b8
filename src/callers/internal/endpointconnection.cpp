#include "callers/internal/endpointconnection.h"

#include "foundation/systemclock.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace turmericsill::callers {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using foundation::Errc;

namespace {

    constexpr std::size_t responseReadBytes = 16 << 10; ///< Largest part of a response that is received at a time.

} // namespace

EndpointConnection::EndpointConnection(
    HttpEndpointTransport& transport, HttpEndpointTransport::PoolKey key, std::string peer)
    : transport_(transport)
    , transportAlive_(transport.alive_)
    , key_(std::move(key))
    , peer_(std::move(peer))
    , maximumResponseBytes_(transport.maximumResponseBytes_)
    , stream_(transport.context_)
    , reader_(transport.context_)
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
    httpclient::ExpectedResponse expected;
    expected.readBytes = responseReadBytes;
    expected.maximumBodyBytes = maximumResponseBytes_;
    expected.isToHeadRequest = request_->method() == http::verb::head;
    expected.keepsFields = true;
    reader_.begin(expected);
    parse();
}

void EndpointConnection::read()
{
    stream_.async_read_some(reader_.prepare(), [self = shared_from_this()](beast::error_code error, std::size_t bytes) {
        if (error)
            return self->failReceive(error);
        self->reader_.commit(bytes);
        self->parse();
    });
}

void EndpointConnection::parse()
{
    const beast::error_code error = reader_.parse();
    if (error == http::error::body_limit)
        return fail(Errc::CapacityExceeded, "endpoint.receive", "response is too large");
    if (error && error != http::error::need_more)
        return failReceive(error);
    if (reader_.response().is_header_done() && !isInformational() && !hasExplicitLength())
        return fail(Errc::ProtocolViolation, "endpoint.receive",
            "the response has neither Content-Length nor chunked encoding");
    if (error)
        return read();
    isInformational() ? receive() : onResponse();
}

void EndpointConnection::failReceive(const beast::error_code& error)
{
    fail(error == beast::error::timeout ? Errc::Timeout : Errc::ProtocolViolation, "endpoint.receive", error.message());
}

void EndpointConnection::onResponse()
{
    const auto now = foundation::SystemClock().now();
    httpclient::ResponseParser& received = reader_.response();
    // Bytes after the response belong to no request, and a connection with an overdue response is not reused.
    const bool isReusable = received.keep_alive() && !reader_.hasMore() && now < deadline_;
    httpserver::HttpResponse response(http::response_header<> { received.takeFields() });
    response.result(received.status());
    response.reason(received.reason());
    response.version(received.version());
    response.body() = received.takeBody();
    reader_.release();
    AttemptObserverPtr observer = std::move(observer_);
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

bool EndpointConnection::isInformational()
{
    return http::to_status_class(reader_.response().status()) == http::status_class::informational;
}

// Without a Content-Length or chunked encoding, a response truncated by a closed connection looks complete.
bool EndpointConnection::hasExplicitLength()
{
    const httpclient::ResponseParser& response = reader_.response();
    const bool hasNoBody = request_->method() == http::verb::head
        || response.status() == static_cast<unsigned>(http::status::no_content)
        || response.status() == static_cast<unsigned>(http::status::not_modified);
    return hasNoBody || response.content_length() || response.chunked();
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
    reader_.release();
    AttemptObserverPtr observer = std::move(observer_);
    request_ = nullptr;
    observer->onFailure(foundation::Error { code, step, peer_, detail });
}

} // namespace turmericsill::callers
