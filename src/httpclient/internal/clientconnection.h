#pragma once

#include "foundation/tcpstream.h"
#include "httpclient/pooledhttpclient.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <optional>

namespace turmericsill::httpclient {

/// A connection of a PooledHttpClient; carries one call at a time. Asynchronous operations keep it alive.
class ClientConnection : public boost::intrusive_ref_counter<ClientConnection, boost::thread_unsafe_counter> {
public:
    ClientConnection(boost::asio::io_context& context, PooledHttpClient& client);

    void send(HttpCall call, HttpCallback done, foundation::SteadyTime deadline);

    /// Closes the connection and drops the call in progress without its callback, because the PooledHttpClient is being
    /// destroyed or discards the connection.
    void detach();

    /// Whether an idle connection can carry a call: the server has neither closed it nor sent unsolicited data.
    bool isUsable();

private:
    void connect();
    void write();
    void onWritten(boost::beast::error_code error);
    void onRead(boost::beast::error_code error);
    void fail(foundation::Errc code, const boost::beast::error_code& error);
    void finish(foundation::Result<HttpResponse> result, bool canReuseConnection);

    foundation::TcpStream stream_;
    PooledHttpClient* client_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    std::string operation_;
    HttpCallback done_;
    bool isConnected_ = false;
    bool closesConnection_ = false;
};

} // namespace turmericsill::httpclient
