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

/// What a run of the load generator asks for.
struct LoadPlan {
    std::vector<foundation::Address> entries; ///< Behind the platform's balancer, which takes live ones only.
    std::vector<foundation::Address> readiness; ///< Telemetry address of each entry, in the same order.
    std::vector<std::string> services;
    double requestsPerSecond = 200;
    foundation::milliseconds duration { 10000 };
    foundation::milliseconds work { 20 };
    foundation::milliseconds timeout { 5000 };
    double nonIdempotentPart = 0.3;
    double surgeFactor = 5; ///< Applied to one service after the other.
    foundation::milliseconds surgeLength { 0 }; ///< 0: no surges.
    std::uint64_t seed = 1;
};

/// Outcomes as the callers saw them.
struct LoadResult {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0; ///< Connections that ended without any outcome.
    std::uint64_t mismatched = 0; ///< Answers to another request, or not whole.
    std::vector<double> latenciesMs;

    nlohmann::json toJson() const;
};

/// Callers behind a balancer: open-loop requests over kept connections, each judged by its answer.
class LoadGenerator {
public:
    LoadGenerator(boost::asio::io_context& context, const LoadPlan& plan);

    void start();
    const LoadResult& result() const { return result_; }

private:
    class Caller;

    void scheduleNext();
    void sendOne();
    double rateFactor(const std::string& service) const;
    void probeEntries();
    std::shared_ptr<Caller> takeCaller();

    boost::asio::io_context& context_;
    LoadPlan plan_;
    foundation::AsioTimerQueue timers_;
    std::mt19937_64 random_;
    LoadResult result_;
    std::vector<bool> ready_;
    std::vector<std::vector<std::shared_ptr<Caller>>> idle_;
    foundation::SteadyTime startedAt_ {};
    foundation::SteadyTime nextAt_ {};
    std::uint64_t sequence_ = 0;
    std::size_t nextEntry_ = 0;
};

} // namespace turmericsill::standins
