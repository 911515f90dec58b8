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

/// Carries requests over HTTP/1.1 connections that are kept for reuse, apart by service and instance.
class HttpEndpointTransport : public IEndpointTransport {
public:
    HttpEndpointTransport(boost::asio::io_context& context, std::size_t maximumAnswerBytes);
    ~HttpEndpointTransport() override;

    void start(const AttemptTarget& target, const httpserver::HttpRequest& request, foundation::SteadyTime deadline,
        foundation::SteadyTime limit, AttemptObserverPtr observer) override;
    void closeIdle(const std::string& instance) override;

private:
    friend class EndpointConnection;
    using Key = std::pair<std::string, std::string>; ///< Instance and service.

    struct Pool {
        std::deque<std::shared_ptr<EndpointConnection>> idle; ///< Most recently used last.
        std::size_t open = 0;
    };

    std::shared_ptr<EndpointConnection> takeIdle(Pool& pool, bool requiresFresh);
    void onReusable(const std::shared_ptr<EndpointConnection>& connection);
    void onClosed(const Key& key);

    boost::asio::io_context& context_;
    std::size_t maximumAnswerBytes_;
    std::map<Key, Pool> pools_;
    std::shared_ptr<bool> alive_; ///< Expires with the transport, for connections that outlive it.
};

} // namespace turmericsill::callers
