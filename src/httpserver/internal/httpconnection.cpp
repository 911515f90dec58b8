#include "httpserver/internal/httpconnection.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace turmericsill::httpserver {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using SelfPtr = boost::intrusive_ptr<HttpConnection>;

namespace {

    /// Limit of the data read while no request is parsed. Each idle connection holds a buffer of this size; most
    /// requests fit into it.
    constexpr std::size_t maximumReadAheadBytes = 4 << 10;
    constexpr std::size_t parsedReadBytes = 16 << 10; ///< Largest part of a request that is read at a time.
    /// A chunked body beyond this part of the limit gets memory for the whole of it.
    constexpr std::size_t reservedBodyShare = 4;
    constexpr std::size_t fieldOverheadBytes = 80; ///< Memory for a header field beside its text.
    /// Smallest field, "a:" and its line end, with the memory that it takes.
    constexpr std::size_t worstFieldExpansion = (fieldOverheadBytes + 4) / 4;

    std::size_t memoryOfFields(const HttpRequest& request)
    {
        std::size_t bytes = 0;
        for (const auto& field : request)
            bytes += field.name_string().size() + field.value().size() + fieldOverheadBytes;
        return bytes;
    }

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
    server_->budget_.release(*this);
    --server_->counters_.open;
    server_->connections_.erase(server_->connections_.iterator_to(*this));
}

void HttpConnection::close()
{
    beast::error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    stream_.close();
}

void HttpConnection::detach()
{
    server_->budget_.release(*this);
    server_ = nullptr;
}

// The body is freed at once, and not when the cancelled read is handled: in one turn of the loop many connections may
// be closed. That read refers to the buffer only.
void HttpConnection::closeForBudget()
{
    ++server_->counters_.closedForMemory;
    close();
    if (isParsing_)
        parser_.reset();
}

std::size_t HttpConnection::heldBytes() const
{
    std::size_t bytes = buffer_.capacity();
    if (parser_)
        bytes += headerMemory_ + parser_->get().body().capacity();
    if (response_)
        bytes += response_->body().size();
    return bytes;
}

// Returns false if the connection has to give back what it holds.
bool HttpConnection::account()
{
    if (!server_)
        return true;
    const std::size_t held = heldBytes();
    if (!isCounted() && held <= server_->budget_.freeBytesPerConnection())
        return true;
    return server_->budget_.update(*this, held, std::chrono::steady_clock::now());
}

void HttpConnection::releaseRequest()
{
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
}

void HttpConnection::refuseForMemory()
{
    ++server_->counters_.refusedForMemory;
    releaseRequest();
    HttpResponse response
        = makeResponse(503, "the request was not carried out: the requests being received take too much memory\n");
    response.set(http::field::retry_after, "1");
    response.keep_alive(false);
    write(std::move(response));
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
    waitsSince_ = std::chrono::steady_clock::now();
    if (buffer_.size() == 0) {
        readAhead();
        account();
        return;
    }
    isParsing_ = true;
    if (isReadingAhead_)
        return stopReadingAhead();
    beginRequest();
}

void HttpConnection::beginRequest()
{
    skipEmptyLines();
    if (emptyLines_ > server_->limits_.maximumEmptyLines) {
        isParsing_ = false;
        return rejectEmptyLines();
    }
    if (hasBegunRequest())
        return parseRequest();
    isParsing_ = false;
    readAhead();
    account();
}

// Some clients end a body with a line end that does not belong to it (RFC 9112, 2.2).
void HttpConnection::skipEmptyLines()
{
    while (buffer_.size() > 0 && emptyLines_ <= server_->limits_.maximumEmptyLines) {
        const auto* received = static_cast<const char*>(buffer_.data().data());
        const std::size_t lineEndBytes = *received == '\r' ? 2 : 1;
        if (buffer_.size() < lineEndBytes || received[lineEndBytes - 1] != '\n')
            return;
        buffer_.consume(lineEndBytes);
        ++emptyLines_;
    }
}

// Half of a line end may still become another empty line.
bool HttpConnection::hasBegunRequest() const
{
    const auto received = buffer_.cdata();
    return received.size() > 1 || (received.size() == 1 && *static_cast<const char*>(received.data()) != '\r');
}

void HttpConnection::rejectEmptyLines()
{
    ++server_->counters_.malformedRequests;
    writeRejection(
        400, "more than " + std::to_string(server_->limits_.maximumEmptyLines) + " empty lines before a request");
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
    parser_->eager(true);
    chunkExtensions_ = { 0, server_->limits_.maximumChunkExtensionBytes };
    parser_->on_chunk_header(chunkExtensions_);
    headerBytes_ = 0;
    headerMemory_ = 0;
    emptyLines_ = 0;
    waitsSince_ = std::chrono::steady_clock::now();
    stream_.expires_after(server_->limits_.requestTimeout);
    parseReceived();
}

void HttpConnection::ChunkExtensionCounter::operator()(
    std::uint64_t, beast::string_view extensions, beast::error_code& error)
{
    bytes += extensions.size();
    if (bytes > limit)
        error = http::error::header_limit;
}

void HttpConnection::parseReceived()
{
    beast::error_code error;
    const bool isInHeader = !parser_->is_header_done();
    const std::size_t parsedBytes = parser_->put(buffer_.data(), error);
    buffer_.consume(parsedBytes);
    countFields(isInHeader, parsedBytes);
    if (error == http::error::need_more)
        error = unparsedLimit();
    if (error || parser_->is_done())
        return endParsing(error);
    reserveChunkedBody();
    if (account())
        return readMore();
    isParsing_ = false;
    refuseForMemory();
}

// A string that grows by doubling would hold up to twice the largest body, and leave the smaller parts behind.
void HttpConnection::reserveChunkedBody()
{
    if (!parser_->is_header_done() || !parser_->chunked())
        return;
    auto& body = parser_->get().body();
    const std::size_t limit = server_->limits_.maximumBodyBytes;
    if (body.size() > limit / reservedBodyShare && body.capacity() < limit)
        body.reserve(limit);
}

// Until the header is complete its fields are not counted one by one, which would take a pass over them for each part.
void HttpConnection::countFields(bool wasInHeader, std::size_t parsedBytes)
{
    if (!parser_->is_header_done()) {
        headerBytes_ += parsedBytes;
        headerMemory_ = headerBytes_ * worstFieldExpansion;
    } else if (wasInHeader || parser_->is_done())
        headerMemory_ = memoryOfFields(parser_->get());
}

// The parser limits neither fields that arrive one at a time nor trailers and chunk headers, which it consumes only
// when they are complete.
beast::error_code HttpConnection::unparsedLimit() const
{
    const bool isHeaderDone = parser_->is_header_done();
    const std::size_t bytes = buffer_.size() + (isHeaderDone ? 0 : headerBytes_);
    const std::size_t limit = isHeaderDone ? server_->limits_.maximumTrailerBytes : server_->limits_.maximumHeaderBytes;
    return bytes >= limit ? make_error_code(http::error::header_limit) : beast::error_code();
}

void HttpConnection::readMore()
{
    stream_.async_read_some(buffer_.prepare(parsedReadBytes),
        [self = SelfPtr(this)](beast::error_code error, std::size_t bytes) { self->onReadMore(error, bytes); });
}

// A read may have been completed when the connection is closed in favour of another one, before its handler runs. What
// it has read must not be counted again.
void HttpConnection::onReadMore(beast::error_code error, std::size_t bytes)
{
    if (!server_)
        return;
    if (error)
        return endParsing(error);
    if (!isOpen())
        return;
    buffer_.commit(bytes);
    parseReceived();
}

void HttpConnection::endParsing(const beast::error_code& error)
{
    isParsing_ = false;
    onRequest(error);
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
    if (!account())
        return refuseForMemory();
    isAwaitingResponse_ = true;
    readAhead();
    try {
        server_->handler_.handle(this);
    } catch (...) {
        respond(makeResponse(500, "the request has failed; it is unknown whether it was carried out\n"));
        throw;
    }
}

void HttpConnection::rejectRequest(const beast::error_code& error)
{
    auto& counters = server_->counters_;
    if (error == beast::error::timeout) {
        ++counters.timedOut;
        return close();
    }
    if (error.category() != make_error_code(http::error::bad_method).category())
        return close();
    const bool isHeaderOversized = error == http::error::header_limit;
    const bool isBodyOversized = error == http::error::body_limit;
    ++(isHeaderOversized || isBodyOversized ? counters.oversizedRequests : counters.malformedRequests);
    const unsigned status = isBodyOversized ? 413 : isHeaderOversized ? 431 : 400;
    writeRejection(status, error.message());
}

void HttpConnection::writeRejection(unsigned status, const std::string& reason)
{
    releaseRequest();
    HttpResponse response = makeResponse(status, reason + "\n");
    response.keep_alive(false);
    write(std::move(response));
}

// Except while parsing, one read is always pending, so that a disconnect of the client is detected.
void HttpConnection::readAhead()
{
    if (isReadingAhead_ || buffer_.size() >= maximumReadAheadBytes)
        return;
    if (buffer_.size() == 0 && buffer_.capacity() > maximumReadAheadBytes)
        buffer_.shrink_to_fit();
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
    if (!isOpen() && !isAwaitingResponse_)
        return;
    buffer_.commit(bytes);
    hasReceived_ |= bytes > 0;
    if (isCancelled)
        return beginRequest();
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
    waitsSince_ = std::chrono::steady_clock::now();
    if (isCounted())
        server_->budget_.noteProgress(*this, waitsSince_);
    account(); // The response is sent in any case: its request has run, and nearly always the system takes it at once.
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
