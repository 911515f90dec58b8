#pragma once

#include "callers/httpendpointtransport.h"
#include "foundation/tcpstream.h"
#include "httpclient/responsereader.h"

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
    void connect(const foundation::Address& address);
    void send();
    void receive();
    void read();
    void parse();
    void failReceive(const boost::beast::error_code& error);
    void onResponse();
    bool isInformational();
    bool hasExplicitLength();
    void fail(foundation::Errc code, const std::string& step, const std::string& detail);

    HttpEndpointTransport& transport_;
    std::shared_ptr<bool> transportAlive_;
    HttpEndpointTransport::PoolKey key_;
    std::string peer_;
    std::size_t maximumResponseBytes_;
    foundation::TcpStream stream_;
    httpclient::ResponseReader reader_;
    const httpserver::HttpRequest* request_ = nullptr;
    AttemptObserverPtr observer_;
    foundation::SteadyTime deadline_ {};
    foundation::SteadyTime abortAt_ {};
    foundation::SteadyTime idleSince_ {};
    bool isConnected_ = false;
};

} // namespace turmericsill::callers
