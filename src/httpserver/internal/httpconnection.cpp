#include "httpserver/internal/httpconnection.h"

#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace turmericsill::httpserver {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using SelfPtr = boost::intrusive_ptr<HttpConnection>;

namespace {

    constexpr std::size_t maximumReadAheadBytes = 16 << 10; ///< Limit of the data read during a request.

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

// The header timeout runs from the first byte of a request; until then the idle sweep of the server applies.
void HttpConnection::readRequest()
{
    if (!server_)
        return;
    parser_.reset();
    idleSince_ = std::chrono::steady_clock::now();
    if (buffer_.size() == 0)
        return readAhead();
    isParsing_ = true;
    if (isReadingAhead_)
        return stopReadingAhead();
    parseRequest();
}

// Parsing reads into the same buffer, so it begins when the cancelled read has ended.
void HttpConnection::stopReadingAhead()
{
    isReadAheadCancelled_ = true;
    beast::error_code ignored;
    stream_.socket().cancel(ignored);
}

void HttpConnection::parseRequest()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(server_->limits_.maximumHeaderBytes));
    parser_->body_limit(server_->limits_.maximumBodyBytes);
    stream_.expires_after(server_->limits_.requestTimeout);
    http::async_read(stream_, buffer_, *parser_, [self = SelfPtr(this)](beast::error_code failed, std::size_t) {
        self->isParsing_ = false;
        self->onRequest(failed);
    });
}

void HttpConnection::onRequest(beast::error_code error)
{
    if (!server_)
        return;
    if (error)
        return rejectRequest(error);
    stream_.expires_never();
    keepAlive_ = parser_->get().keep_alive();
    isHeadRequest_ = parser_->get().method() == http::verb::head;
    version_ = parser_->get().version();
    isAwaitingResponse_ = true;
    readAhead();
    server_->handler_.handle(this);
}

void HttpConnection::rejectRequest(const beast::error_code& error)
{
    auto& counters = server_->counters_;
    if (error == beast::error::timeout) {
        ++counters.timedOut;
        return close();
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message
        || error.category() != make_error_code(http::error::bad_method).category())
        return close();
    const bool isHeaderOversized = error == http::error::header_limit;
    const bool isBodyOversized = error == http::error::body_limit;
    ++(isHeaderOversized || isBodyOversized ? counters.oversizedRequests : counters.malformedRequests);
    const unsigned status = isBodyOversized ? 413 : isHeaderOversized ? 431 : 400;
    HttpResponse response = makeResponse(status, error.message() + "\n");
    response.keep_alive(false);
    write(std::move(response));
}

// Except while parsing, one read is always pending, so that a disconnect of the client is detected.
void HttpConnection::readAhead()
{
    if (isReadingAhead_ || buffer_.size() >= maximumReadAheadBytes)
        return;
    isReadingAhead_ = true;
    stream_.socket().async_read_some(buffer_.prepare(maximumReadAheadBytes - buffer_.size()),
        [self = SelfPtr(this)](beast::error_code error, std::size_t bytes) { self->onReadAhead(error, bytes); });
}

void HttpConnection::onReadAhead(beast::error_code error, std::size_t bytes)
{
    isReadingAhead_ = false;
    const bool isCancelled = std::exchange(isReadAheadCancelled_, false);
    if (!server_ || (error == asio::error::operation_aborted && !isCancelled))
        return;
    if (error && error != asio::error::operation_aborted)
        return onClientDisconnected();
    buffer_.commit(bytes);
    if (isCancelled)
        return parseRequest();
    if (isAwaitingResponse_)
        return readAhead();
    if (!isWriting_)
        readRequest();
}

void HttpConnection::onClientDisconnected()
{
    isClientDisconnected_ = true;
    if (isAwaitingResponse_) {
        isAwaitingResponse_ = false;
        ++server_->counters_.abandonedRequests;
        notifyAbandoned();
    }
    if (!isWriting_)
        close();
}

void HttpConnection::respond(HttpResponse response)
{
    if (!isAwaitingResponse_)
        return;
    isAwaitingResponse_ = false;
    clearAbandoned();
    const bool keepAlive = keepAlive_ && server_ && !server_->isShuttingDown_;
    response.version(version_);
    response.keep_alive(keepAlive);
    // The response to a HEAD request states the length of a body that it does not contain.
    if (isHeadRequest_)
        response.body().clear();
    else
        response.prepare_payload();
    write(std::move(response));
}

void HttpConnection::write(HttpResponse response)
{
    isWriting_ = true;
    response_.emplace(std::move(response));
    const bool closes = response_->need_eof();
    if (server_)
        stream_.expires_after(server_->limits_.writeTimeout);
    http::async_write(stream_, *response_,
        [self = SelfPtr(this), closes](beast::error_code error, std::size_t) { self->onWritten(error, closes); });
}

void HttpConnection::onWritten(beast::error_code error, bool closes)
{
    isWriting_ = false;
    response_.reset();
    if (error || closes || isClientDisconnected_ || !server_) {
        close();
        return;
    }
    readRequest();
}

} // namespace turmericsill::httpserver
