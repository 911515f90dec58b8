#pragma once

#include "callers/httpendpointtransport.h"
#include "foundation/tcpstream.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace turmericsill::callers {

/// One connection to an endpoint; carries one attempt at a time.
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection> {
public:
    EndpointConnection(HttpEndpointTransport& transport, HttpEndpointTransport::Key key, std::string peer);
    ~EndpointConnection();

    EndpointConnection(const EndpointConnection&) = delete;
    EndpointConnection& operator=(const EndpointConnection&) = delete;

    void start(const AttemptTarget& target, const httpserver::HttpRequest& request, foundation::SteadyTime deadline,
        foundation::SteadyTime limit, AttemptObserverPtr observer);

    /// Whether the endpoint has neither closed the idle connection nor sent anything on it.
    bool isQuiet();

    void close();

    const HttpEndpointTransport::Key& key() const { return key_; }
    foundation::SteadyTime idleSince() const { return idleSince_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect(const foundation::Address& address);
    void send();
    void receive();
    void onHeader(boost::beast::error_code error);
    void onReceived(boost::beast::error_code error);
    void failReceiving(const boost::beast::error_code& error);
    bool statesLength() const;
    void fail(foundation::Errc code, const std::string& step, const std::string& detail);

    HttpEndpointTransport& transport_;
    std::shared_ptr<bool> transportAlive_;
    HttpEndpointTransport::Key key_;
    std::string peer_;
    std::size_t maximumAnswerBytes_;
    foundation::TcpStream stream_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    const httpserver::HttpRequest* request_ = nullptr;
    AttemptObserverPtr observer_;
    foundation::SteadyTime deadline_ {};
    foundation::SteadyTime limit_ {};
    foundation::SteadyTime idleSince_ {};
    bool connected_ = false;
};

} // namespace turmericsill::callers
