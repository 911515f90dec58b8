#include "httpserver/internal/httpconnection.h"

#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace turmericsill::httpserver {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Self = boost::intrusive_ptr<HttpConnection>;

namespace {

    constexpr std::size_t pipelineBytes = 16 << 10; ///< Read ahead of the request in progress.

} // namespace

HttpConnection::HttpConnection(foundation::TcpSocket socket, HttpServer& server)
    : stream_(std::move(socket))
    , server_(&server)
{
    beast::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    server.connections_.push_back(*this);
    ++server.counters_.open;
}

HttpConnection::~HttpConnection()
{
    if (!server_)
        return;
    --server_->counters_.open;
    server_->connections_.erase(server_->connections_.iterator_to(*this));
}

void HttpConnection::close()
{
    beast::error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    stream_.close();
}

void HttpConnection::closeIfIdle()
{
    if (isIdle())
        close();
}

// The header timeout runs from the first byte of a request; until then the server's sweep closes idle connections.
void HttpConnection::readRequest()
{
    if (!server_)
        return;
    parser_.reset();
    idleSince_ = std::chrono::steady_clock::now();
    if (buffer_.size() > 0)
        return parseRequest();
    watchClient();
}

void HttpConnection::parseRequest()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(server_->limits_.maximumHeaderBytes));
    parser_->body_limit(server_->limits_.maximumBodyBytes);
    parsing_ = true;
    stream_.expires_after(server_->limits_.headerTimeout);
    http::async_read(stream_, buffer_, *parser_, [self = Self(this)](beast::error_code failed, std::size_t) {
        self->parsing_ = false;
        self->onRequest(failed);
    });
}

void HttpConnection::onRequest(beast::error_code error)
{
    if (!server_)
        return;
    if (error)
        return refuse(error);
    stream_.expires_never();
    keepAlive_ = parser_->get().keep_alive();
    isHead_ = parser_->get().method() == http::verb::head;
    version_ = parser_->get().version();
    awaitingAnswer_ = true;
    watchClient();
    server_->handler_.handle(this);
}

void HttpConnection::refuse(const beast::error_code& error)
{
    auto& counters = server_->counters_;
    if (error == beast::error::timeout) {
        ++counters.timedOut;
        return close();
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message
        || error.category() != make_error_code(http::error::bad_method).category())
        return close();
    const bool oversizedHeader = error == http::error::header_limit;
    const bool oversizedBody = error == http::error::body_limit;
    ++(oversizedHeader || oversizedBody ? counters.oversized : counters.malformed);
    const unsigned status = oversizedBody ? 413 : oversizedHeader ? 431 : 400;
    HttpResponse response = makeResponse(status, error.message() + "\n");
    response.keep_alive(false);
    write(std::move(response));
}

// One read is always outstanding outside of parsing, so that a client that leaves is noticed.
void HttpConnection::watchClient()
{
    if (watching_ || buffer_.size() >= pipelineBytes)
        return;
    watching_ = true;
    stream_.socket().async_read_some(buffer_.prepare(pipelineBytes - buffer_.size()),
        [self = Self(this)](beast::error_code error, std::size_t bytes) { self->onClientActivity(error, bytes); });
}

void HttpConnection::onClientActivity(beast::error_code error, std::size_t bytes)
{
    watching_ = false;
    if (!server_ || error == asio::error::operation_aborted)
        return;
    if (error)
        return onClientGone();
    buffer_.commit(bytes);
    if (awaitingAnswer_)
        return watchClient();
    if (!writing_)
        readRequest();
}

void HttpConnection::onClientGone()
{
    clientGone_ = true;
    if (awaitingAnswer_) {
        awaitingAnswer_ = false;
        ++server_->counters_.abandoned;
        notifyAbandoned();
    }
    if (!writing_)
        close();
}

void HttpConnection::respond(HttpResponse response)
{
    if (!awaitingAnswer_)
        return;
    awaitingAnswer_ = false;
    clearAbandoned();
    const bool keepAlive = keepAlive_ && server_ && !server_->shuttingDown_;
    response.version(version_);
    response.keep_alive(keepAlive);
    // A HEAD answer announces the length of a body that it does not carry.
    if (isHead_)
        response.body().clear();
    else
        response.prepare_payload();
    write(std::move(response));
}

void HttpConnection::write(HttpResponse response)
{
    writing_ = true;
    response_.emplace(std::move(response));
    const bool closes = response_->need_eof();
    if (server_)
        stream_.expires_after(server_->limits_.writeTimeout);
    http::async_write(stream_, *response_,
        [self = Self(this), closes](beast::error_code error, std::size_t) { self->onWritten(error, closes); });
}

void HttpConnection::onWritten(beast::error_code error, bool closes)
{
    writing_ = false;
    response_.reset();
    if (error || closes || clientGone_ || !server_) {
        close();
        return;
    }
    readRequest();
}

} // namespace turmericsill::httpserver
