#include "platform/httpclient.h"

#include "foundation/controltraffic.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace turmericsill::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using foundation::Errc;
using foundation::failure;

namespace {

    constexpr std::uint64_t maximumResponseBytes = 256u << 20;

    /// One request on its own connection. Its asynchronous operations keep it alive until the callback has run.
    class RequestSession : public std::enable_shared_from_this<RequestSession> {
    public:
        RequestSession(asio::io_context& context, const foundation::Address& server, std::string operation,
            HttpClient::Callback done)
            : stream_(context)
            , server_(server)
            , operation_(std::move(operation))
            , done_(std::move(done))
        {
            parser_.body_limit(maximumResponseBytes);
        }

        void start(http::request<http::string_body> request, foundation::milliseconds timeout)
        {
            request_ = std::move(request);
            stream_.expires_after(timeout);
            asio::ip::tcp::endpoint endpoint(asio::ip::make_address(server_.ip), server_.port);
            stream_.async_connect(
                endpoint, [self = shared_from_this()](beast::error_code error) { self->onConnect(error); });
        }

    private:
        void onConnect(beast::error_code error)
        {
            if (error)
                return fail(Errc::Unavailable, error);
            stream_.socket().set_option(asio::ip::tcp::no_delay(true));
            http::async_write(
                stream_, request_, [self = shared_from_this()](beast::error_code failed, std::size_t bytes) {
                    foundation::ControlTraffic::processTotals().sent += bytes;
                    self->onWrite(failed);
                });
        }

        void onWrite(beast::error_code error)
        {
            if (error)
                return fail(Errc::ProtocolViolation, error);
            http::async_read(
                stream_, buffer_, parser_, [self = shared_from_this()](beast::error_code failed, std::size_t bytes) {
                    foundation::ControlTraffic::processTotals().received += bytes;
                    self->onRead(failed);
                });
        }

        void onRead(beast::error_code error)
        {
            if (error == beast::error::timeout)
                return fail(Errc::Timeout, error);
            if (error)
                return fail(Errc::ProtocolViolation, error);
            beast::error_code ignored;
            stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
            auto message = parser_.release();
            done_(HttpAnswer { message.result_int(), std::move(message.body()) });
        }

        void fail(Errc code, const beast::error_code& error)
        {
            done_(failure(code, operation_, server_.toString(), error.message()));
        }

        beast::tcp_stream stream_;
        beast::flat_buffer buffer_;
        http::request<http::string_body> request_;
        http::response_parser<http::string_body> parser_;
        foundation::Address server_;
        std::string operation_;
        HttpClient::Callback done_;
    };

} // namespace

HttpClient::HttpClient(asio::io_context& context, foundation::Address server)
    : context_(context)
    , server_(std::move(server))
{
}

void HttpClient::send(http::verb verb, const std::string& target, std::string body, foundation::milliseconds timeout,
    const std::string& operation, Callback done)
{
    http::request<http::string_body> request(verb, target, 11);
    request.set(http::field::host, server_.toString());
    request.set(http::field::connection, "close");
    if (!body.empty())
        request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    std::make_shared<RequestSession>(context_, server_, operation, std::move(done))->start(std::move(request), timeout);
}

} // namespace turmericsill::platform
