#pragma once

#include "foundation/address.h"
#include "foundation/asiotimerqueue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace turmericsill::standins {

/// Parameters of a run of the load generator.
struct LoadPlan {
    std::vector<foundation::Address> entries; ///< Caller addresses of the entries; only ready ones get requests.
    /// Telemetry addresses in the same order, for health checks; empty: none.
    std::vector<foundation::Address> telemetryAddresses;
    std::vector<std::string> services;
    double requestsPerSecond = 200; ///< Mean rate over all services.
    foundation::milliseconds duration { 10000 }; ///< Time during which requests are sent.
    foundation::milliseconds work { 20 }; ///< Work that a request asks of its endpoint.
    foundation::milliseconds timeout { 5000 }; ///< Timeout that a request states.
    double nonIdempotentRatio = 0.3; ///< Fraction of requests that must not run twice.
    double surgeFactor = 5; ///< Rate of the surging service relative to the others; services surge in turn.
    foundation::milliseconds surgeDuration { 0 }; ///< Time for which each service surges in turn; 0: no surges.
    std::uint64_t seed = 1;
};

/// Numbers of requests by the outcome that callers saw.
struct LoadResult {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0; ///< Requests that surely did not run.
    std::uint64_t unknown = 0; ///< Requests that may have run.
    std::uint64_t lost = 0; ///< Requests without an outcome, for example because no entry was ready.
    std::uint64_t mismatched = 0; ///< Answers that are incomplete or belong to another request.
    std::vector<double> latenciesMs;

    nlohmann::json toJson() const;
};

/// Callers behind a load balancer. Sends requests in an open loop over persistent connections and checks each answer.
class LoadGenerator {
public:
    LoadGenerator(boost::asio::io_context& context, const LoadPlan& plan);

    void start();
    const LoadResult& result() const { return result_; }

private:
    class CallerConnection;

    void scheduleNext();
    void sendRequest();
    double surgeWeight(const std::string& service) const;
    void probeReadiness();
    std::shared_ptr<CallerConnection> acquireConnection();

    boost::asio::io_context& context_;
    LoadPlan plan_;
    foundation::AsioTimerQueue timers_;
    std::mt19937_64 random_;
    LoadResult result_;
    std::vector<bool> isEntryReady_;
    std::vector<std::vector<std::shared_ptr<CallerConnection>>> idleConnections_;
    foundation::SteadyTime startedAt_ {};
    foundation::SteadyTime nextAt_ {};
    std::uint64_t requestCount_ = 0;
    std::size_t nextEntry_ = 0;
};

} // namespace turmericsill::standins
