#pragma once

#include "foundation/asiotimerqueue.h"
#include "httpserver/httpserver.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace turmericsill::standins {

/// Counters of one endpoint instance. GET /stats of the control interface reports them over all instances.
struct EndpointCounts {
    std::uint64_t runs = 0; ///< Requests received.
    std::uint64_t inProgress = 0;
    std::uint64_t maximumInProgress = 0;
    std::uint64_t maximumConnections = 0;
    std::uint64_t interrupted = 0; ///< Requests that were interrupted by a reboot.
};

/// Number of runs for each idempotency key, shared by all endpoints of the process.
using RunCountByKey = std::map<std::string, std::uint64_t>;

/// One endpoint instance. Answers a request after the work time that it asks for, with data of the request.
class EndpointService : public httpserver::IHttpHandler {
public:
    EndpointService(boost::asio::io_context& context, std::string name, const foundation::Address& address,
        RunCountByKey& runCountByKey);

    foundation::Result<void> start();
    void handle(const httpserver::HttpExchangePtr& exchange) override;

    /// Drops all requests in progress, refuses connections for `duration` and then listens again.
    void reboot(foundation::milliseconds duration);

    EndpointCounts counts() const;

private:
    void finish(const httpserver::HttpExchangePtr& exchange, std::uint64_t rebootCount);

    boost::asio::io_context& context_;
    foundation::AsioTimerQueue timers_;
    std::string name_;
    foundation::Address address_;
    RunCountByKey& runCountByKey_;
    EndpointCounts counts_;
    std::uint64_t rebootCount_ = 0; ///< Requests of an earlier count are not answered any more.
    std::unique_ptr<httpserver::HttpServer> server_;
};

} // namespace turmericsill::standins
