#pragma once

#include "foundation/tcpstream.h"
#include "httpserver/httpserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace turmericsill::httpserver {

/// A client connection; also the exchange of its request in progress.
/// Asynchronous operations and handlers that refer to it keep it alive.
class HttpConnection final : public HttpExchange, public ConnectionHook, private BudgetHolder {
public:
    HttpConnection(foundation::TcpSocket socket, HttpServer& server);
    ~HttpConnection() override;

    void start() { readRequest(); }
    void close();

    HttpRequest& request() override { return parser_->get(); }
    void respond(HttpResponse response) override;

    /// Closes the connection if it has no request in progress.
    void closeIfIdle();

    /// Whether the connection is waiting for the first byte of a request.
    bool isIdle() const { return !isAwaitingResponse_ && !isWriting_ && !isParsing_; }

    bool isOpen() const { return stream_.socket().is_open(); }

    /// Whether the client has ever sent anything.
    bool hasReceived() const { return hasReceived_; }

    /// Whether the connection is waiting for the rest of a request or for its client to take a response.
    bool isInTransfer() const { return isParsing_ || isWriting_; }

    /// When the connection last began to wait for a request, for the rest of one, or for its client to take a response.
    foundation::SteadyTime waitsSince() const { return waitsSince_; }

    /// Clears the pointer to the server, which is being destroyed.
    void detach();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Counts the extensions of the chunks of a body and rejects those beyond the limit.
    struct ChunkExtensionCounter {
        void operator()(std::uint64_t size, boost::beast::string_view extensions, boost::beast::error_code& error);

        std::size_t bytes = 0;
        std::size_t limit = 0;
    };

    /// A connection that was closed is counted until its handler has let go of the request.
    bool isExpendable() const override { return !isAwaitingResponse_ && isOpen(); }
    void closeForBudget() override;
    std::size_t heldBytes() const;
    bool account();
    void releaseRequest();
    void refuseForMemory();
    void readRequest();
    void beginRequest();
    void skipEmptyLines();
    bool hasBegunRequest() const;
    void rejectEmptyLines();
    void parseRequest();
    void parseReceived();
    boost::beast::error_code unparsedLimit() const;
    void countFields(bool wasInHeader, std::size_t parsedBytes);
    void reserveChunkedBody();
    void readMore();
    void onReadMore(boost::beast::error_code error, std::size_t bytes);
    void endParsing(const boost::beast::error_code& error);
    void stopReadingAhead();
    void onRequest(boost::beast::error_code error);
    void rejectRequest(const boost::beast::error_code& error);
    void writeRejection(unsigned status, const std::string& reason);
    void readAhead();
    void onReadAhead(boost::beast::error_code error, std::size_t bytes);
    void onClientDisconnected();
    void write(HttpResponse response);
    void onWritten(boost::beast::error_code error, bool closes);

    foundation::TcpStream stream_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    ChunkExtensionCounter chunkExtensions_;
    std::size_t emptyLines_ = 0; ///< Skipped before the next request.
    std::size_t headerBytes_ = 0; ///< Consumed by the parser while the header is incomplete.
    std::size_t headerMemory_ = 0; ///< Memory of the fields of the request, trailers included.
    std::optional<HttpResponse> response_;
    HttpServer* server_;
    foundation::SteadyTime waitsSince_ {};
    bool keepAlive_ = false; ///< Copy from the request in progress, which the handler may have moved.
    bool isHeadRequest_ = false;
    unsigned version_ = 11;
    bool hasReceived_ = false;
    bool isAwaitingResponse_ = false;
    bool isReadingAhead_ = false;
    bool isParsing_ = false;
    bool isReadAheadCancelled_ = false; ///< Whether the pending read was cancelled in order to parse a request.
    bool isClientDisconnected_ = false;
    bool isWriting_ = false;
};

} // namespace turmericsill::httpserver
