#pragma once

#include "foundation/tcpstream.h"
#include "httpclient/httppeer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <optional>

namespace turmericsill::httpclient {

/// One connection of a peer; carries one call at a time. An asynchronous operation keeps it alive.
class PeerConnection : public boost::intrusive_ref_counter<PeerConnection, boost::thread_unsafe_counter> {
public:
    PeerConnection(boost::asio::io_context& context, HttpPeer& peer);

    void send(HttpCall call, HttpCallback done, foundation::SteadyTime deadline);

    /// Forgets the peer, which is being destroyed, and ends the call without an answer.
    void detach();

    /// Whether an idle connection can carry a call: the server has neither closed it nor sent anything unasked.
    bool isUsable();

private:
    void connect();
    void write();
    void onWritten(boost::beast::error_code error);
    void onRead(boost::beast::error_code error);
    void fail(foundation::Errc code, const boost::beast::error_code& error);
    void finish(foundation::Result<HttpAnswer> result, bool keepsConnection);

    foundation::TcpStream stream_;
    HttpPeer* peer_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    std::string step_;
    HttpCallback done_;
    bool connected_ = false;
    bool closes_ = false;
};

} // namespace turmericsill::httpclient
