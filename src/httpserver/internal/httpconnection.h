#pragma once

#include "foundation/tcpstream.h"
#include "httpserver/httpserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace turmericsill::httpserver {

/// A client connection; also the exchange of its request in progress.
/// Asynchronous operations and handlers that refer to it keep it alive.
class HttpConnection final : public HttpExchange, public ConnectionHook {
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

    /// When the connection last began to wait for a request.
    foundation::SteadyTime idleSince() const { return idleSince_; }

    /// Clears the pointer to the server, which is being destroyed.
    void detach() { server_ = nullptr; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void readRequest();
    void parseRequest();
    void stopReadingAhead();
    void onRequest(boost::beast::error_code error);
    void rejectRequest(const boost::beast::error_code& error);
    void readAhead();
    void onReadAhead(boost::beast::error_code error, std::size_t bytes);
    void onClientDisconnected();
    void write(HttpResponse response);
    void onWritten(boost::beast::error_code error, bool closes);

    foundation::TcpStream stream_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<HttpResponse> response_;
    HttpServer* server_;
    foundation::SteadyTime idleSince_ {};
    bool keepAlive_ = false; ///< Copy from the request in progress, which the handler may have moved.
    bool isHeadRequest_ = false;
    unsigned version_ = 11;
    bool isAwaitingResponse_ = false;
    bool isReadingAhead_ = false;
    bool isParsing_ = false;
    bool isReadAheadCancelled_ = false; ///< Whether the pending read was cancelled in order to parse a request.
    bool isClientDisconnected_ = false;
    bool isWriting_ = false;
};

} // namespace turmericsill::httpserver
