#pragma once

#include "foundation/asiotimerqueue.h"
#include "httpserver/httpserver.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace turmericsill::standins {

/// Counts of one endpoint instance, by which a run is judged.
struct EndpointCounts {
    std::uint64_t runs = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t maximumInProgress = 0;
    std::uint64_t maximumConnections = 0;
    std::uint64_t cutOff = 0; ///< Requests that a reboot ended.
};

/// Runs of each idempotency key, shared by all endpoints of the process.
using RunsByKey = std::map<std::string, std::uint64_t>;

/// One endpoint instance: works for as long as a request asks and answers with what it ran.
class EndpointService : public httpserver::IHttpHandler {
public:
    EndpointService(
        boost::asio::io_context& context, std::string name, const foundation::Address& address, RunsByKey& runsByKey);

    foundation::Result<void> start();
    void handle(const httpserver::HttpExchangePtr& exchange) override;

    /// Ends every request in progress, refuses connections for `duration`, then listens again.
    void reboot(foundation::milliseconds duration);

    EndpointCounts counts() const;

private:
    void finish(const httpserver::HttpExchangePtr& exchange, std::uint64_t generation);

    boost::asio::io_context& context_;
    foundation::AsioTimerQueue timers_;
    std::string name_;
    foundation::Address address_;
    RunsByKey& runsByKey_;
    EndpointCounts counts_;
    std::uint64_t generation_ = 0; ///< Rises with each reboot.
    std::unique_ptr<httpserver::HttpServer> server_;
};

} // namespace turmericsill::standins
