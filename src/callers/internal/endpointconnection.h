#pragma once

#include "callers/httpendpointtransport.h"
#include "foundation/tcpstream.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace turmericsill::callers {

/// Connection to an endpoint, used by one attempt at a time.
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection> {
public:
    EndpointConnection(HttpEndpointTransport& transport, HttpEndpointTransport::PoolKey key, std::string peer);
    ~EndpointConnection();

    EndpointConnection(const EndpointConnection&) = delete;
    EndpointConnection& operator=(const EndpointConnection&) = delete;

    void start(const AttemptTarget& target, const httpserver::HttpRequest& request, foundation::SteadyTime deadline,
        foundation::SteadyTime abortAt, AttemptObserverPtr observer);

    /// Whether the endpoint has neither closed the idle connection nor sent unexpected data on it.
    bool isStillIdle();

    void close();

    const HttpEndpointTransport::PoolKey& key() const { return key_; }
    foundation::SteadyTime idleSince() const { return idleSince_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect(const foundation::Address& address);
    void send();
    void receive();
    void onHeaderRead(boost::beast::error_code error);
    void onBodyRead(boost::beast::error_code error);
    void failReceive(const boost::beast::error_code& error);
    bool hasExplicitLength() const;
    void fail(foundation::Errc code, const std::string& step, const std::string& detail);

    HttpEndpointTransport& transport_;
    std::shared_ptr<bool> transportAlive_;
    HttpEndpointTransport::PoolKey key_;
    std::string peer_;
    std::size_t maximumResponseBytes_;
    foundation::TcpStream stream_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    const httpserver::HttpRequest* request_ = nullptr;
    AttemptObserverPtr observer_;
    foundation::SteadyTime deadline_ {};
    foundation::SteadyTime abortAt_ {};
    foundation::SteadyTime idleSince_ {};
    bool isConnected_ = false;
};

} // namespace turmericsill::callers
