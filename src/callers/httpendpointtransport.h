#pragma once

#include "callers/iendpointtransport.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace turmericsill::callers {

class EndpointConnection;

/// Sends requests over pooled HTTP/1.1 connections, with one connection pool per instance and service.
class HttpEndpointTransport : public IEndpointTransport {
public:
    HttpEndpointTransport(boost::asio::io_context& context, std::size_t maximumResponseBytes);
    ~HttpEndpointTransport() override;

    void start(const AttemptTarget& target, const httpserver::HttpRequest& request, foundation::SteadyTime deadline,
        foundation::SteadyTime abortAt, AttemptObserverPtr observer) override;
    void closeIdleConnections(const std::string& instance) override;

private:
    friend class EndpointConnection;
    using PoolKey = std::pair<std::string, std::string>; ///< Names of the instance and the service.

    struct ConnectionPool {
        std::deque<std::shared_ptr<EndpointConnection>> idle; ///< Idle connections, most recently used last.
        std::size_t open = 0; ///< Open connections, idle ones included.
    };

    std::shared_ptr<EndpointConnection> takeIdleConnection(ConnectionPool& pool, bool requiresRecent);
    void onIdle(const std::shared_ptr<EndpointConnection>& connection);
    void onClosed(const PoolKey& key);

    boost::asio::io_context& context_;
    std::size_t maximumResponseBytes_;
    std::map<PoolKey, ConnectionPool> pools_;
    /// Set to false by the destructor; shared with connections, which may outlive the transport.
    std::shared_ptr<bool> alive_;
};

} // namespace turmericsill::callers
