#pragma once

#include "foundation/tcpstream.h"
#include "httpserver/httpserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace turmericsill::httpserver {

/// One client connection; serves as the exchange of the request in progress.
/// It lives while an asynchronous operation or a handler refers to it.
class HttpConnection final : public HttpExchange, public ConnectionHook {
public:
    HttpConnection(foundation::TcpSocket socket, HttpServer& server);
    ~HttpConnection() override;

    void start() { readRequest(); }
    void close();

    HttpRequest& request() override { return parser_->get(); }
    void respond(HttpResponse response) override;

    /// Closes the connection now when it has no request in progress.
    void closeIfIdle();

    /// Whether the connection waits for the first byte of a request, and since when.
    bool isIdle() const { return !awaitingAnswer_ && !writing_ && !parsing_; }
    foundation::SteadyTime idleSince() const { return idleSince_; }

    /// Forgets the server, which is being destroyed.
    void detach() { server_ = nullptr; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void readRequest();
    void parseRequest();
    void onRequest(boost::beast::error_code error);
    void refuse(const boost::beast::error_code& error);
    void watchClient();
    void onClientActivity(boost::beast::error_code error, std::size_t bytes);
    void onClientGone();
    void write(HttpResponse response);
    void onWritten(boost::beast::error_code error, bool closes);

    foundation::TcpStream stream_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<HttpResponse> response_;
    HttpServer* server_;
    foundation::SteadyTime idleSince_ {};
    bool keepAlive_ = false; ///< Of the request in progress, which the handler may have taken.
    bool isHead_ = false;
    unsigned version_ = 11;
    bool awaitingAnswer_ = false;
    bool watching_ = false;
    bool parsing_ = false;
    bool clientGone_ = false;
    bool writing_ = false;
};

} // namespace turmericsill::httpserver
