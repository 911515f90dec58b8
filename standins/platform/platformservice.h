#pragma once

#include "foundation/asiotimerqueue.h"
#include "httpserver/ihttphandler.h"
#include "platform/httpclient.h"
#include "standins/platform/faults.h"
#include "standins/platform/logstore.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

namespace turmericsill::standins {

/// The platform's HTTP interface as docs/PLATFORM.md specifies it: log, instance list and reboots.
class PlatformService : public httpserver::IHttpHandler {
public:
    PlatformService(boost::asio::io_context& context, std::uint64_t seed);

    void handle(const httpserver::HttpExchangePtr& exchange) override;

private:
    struct Query;

    /// Instance that is registered with the platform.
    struct Instance {
        foundation::Address probeAddress; ///< The instance counts as gone when nothing accepts connections here.
        foundation::Address controlAddress; ///< Empty for an instance that cannot be rebooted.
        bool isLive = true;
        bool isLeaving = false;
        int failedProbes = 0;
        std::uint64_t epoch = 0; ///< Highest epoch of a reboot request; lower ones are fenced.
    };

    /// Read that waits for records.
    struct PendingRead {
        std::string stream;
        std::uint64_t from;
        std::size_t maximumRecords;
        httpserver::HttpExchangePtr exchange;
        foundation::TimerId timer;
    };

    using Handler = std::function<void(const httpserver::HttpExchangePtr&, const Query&)>;

    void route(const httpserver::HttpExchangePtr& exchange);
    void append(const httpserver::HttpExchangePtr& exchange, const std::string& stream);
    void read(const httpserver::HttpExchangePtr& exchange, const std::string& stream, const Query& query);
    void answerRead(const httpserver::HttpExchangePtr& exchange, const std::string& stream, std::uint64_t from,
        std::size_t maximumRecords);
    void answerPendingReads(const std::string& stream);
    void registerInstance(const httpserver::HttpExchangePtr& exchange);
    void listInstances(const httpserver::HttpExchangePtr& exchange, const Query& query);
    void reboot(const httpserver::HttpExchangePtr& exchange, const std::string& name);
    platform::HttpClient& clientFor(const foundation::Address& server);
    void startReboot(const std::string& name, const std::string& operation);
    void pollReboot(const std::string& name, const std::string& operation, int remaining);
    void answerOperation(const httpserver::HttpExchangePtr& exchange, const std::string& operation);
    void answerStats(const httpserver::HttpExchangePtr& exchange);
    void probeInstances();
    void probe(const std::string& name);
    void onProbed(const std::string& name, bool reachable);
    void publishInstances();
    void answer(const httpserver::HttpExchangePtr& exchange, unsigned status, const nlohmann::json& body);
    void answerOrTimeOut(const httpserver::HttpExchangePtr& exchange, unsigned status, const nlohmann::json& body);
    void countAppend();

    boost::asio::io_context& context_;
    foundation::AsioTimerQueue timers_;
    std::mt19937_64 random_;
    Faults faults_;
    LogStore log_;
    std::map<std::uint64_t, PendingRead> pendingReads_;
    std::uint64_t nextPendingRead_ = 1;
    std::map<std::string, Instance> instances_;
    std::map<foundation::Address, platform::HttpClient> clients_;
    nlohmann::json publishedInstances_ = nlohmann::json::array(); ///< Instance list as clients see it.
    std::map<std::string, std::string> operations_; ///< State of each reboot, by operation id.
    std::uint64_t appends_ = 0;
    std::uint64_t appendedRecords_ = 0;
    std::uint64_t appendsThisSecond_ = 0;
    std::uint64_t maximumAppendsPerSecond_ = 0;
    foundation::SteadyTime secondStart_ {};
    std::uint64_t reboots_ = 0;
};

} // namespace turmericsill::standins
