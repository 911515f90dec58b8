#pragma once

#include "emulator/emulatedlog.h"
#include "emulator/emulatedplatform.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/systemclock.h"
#include "httpserver/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace turmericsill::standins {

/// The platform's store, machine list and instances over the published HTTP protocol, with the emulator's state behind
/// it. Each instance listens on a loopback address of its own; a request names its instance in X-Expect-Instance.
/// POST /turmericsill/faults takes a JSON object with "store_down" (boolean) and "restart_instance" (name of an
/// instance). GET /turmericsill/figures reports the stored jobs, the intended runs and the violated invariants.
class PlatformStandin : public httpserver::IHttpHandler {
public:
    /// `declaresTeams`: whether callers need a key of one of two teams, "steady-key" or "hot-key".
    PlatformStandin(boost::asio::io_context& context, const foundation::Address& address, std::size_t instances,
        bool declaresTeams);

    foundation::Result<void> listen();

    void handle(const httpserver::HttpExchangePtr& exchange) override;

private:
    using Query = std::map<std::string, std::string>;

    void publishDeclarations();
    void publishInstances();
    void advance();
    void serveStore(const httpserver::HttpExchangePtr& exchange, const std::string& call, const Query& query);
    void append(const httpserver::HttpExchangePtr& exchange, const Query& query);
    void appendKeyed(const std::string& topic, const std::vector<std::string>& records);
    void read(const httpserver::HttpExchangePtr& exchange, const Query& query, foundation::SteadyTime deadline);
    void readNewest(const httpserver::HttpExchangePtr& exchange, const Query& query);
    void join(const httpserver::HttpExchangePtr& exchange);
    void serveInstance(const httpserver::HttpExchangePtr& exchange, const std::string& call);
    void renew(const httpserver::HttpExchangePtr& exchange, const std::string& instance,
        const fleet::RenewRequest& request, std::uint64_t token, foundation::SteadyTime deadline);
    void listMachines(const httpserver::HttpExchangePtr& exchange);
    void serveFigures(const httpserver::HttpExchangePtr& exchange);
    void trackRecord(const std::string& record);

    /// Topic of keyed records, with the newest value of each key.
    struct KeyedTopic {
        std::vector<std::string> records;
        std::map<std::string, std::string> newestValues;
    };

    boost::asio::io_context& context_;
    foundation::Address address_;
    foundation::SystemClock clock_;
    foundation::AsioTimerQueue timers_;
    emulator::EmulatedPlatform platform_;
    std::map<std::string, KeyedTopic> keyedTopics_;
    std::map<std::string, foundation::Address> instanceAddresses_;
    bool declaresTeams_;
    std::uint64_t intendedRuns_ = 0;
    httpserver::HttpServer server_;
    std::vector<std::unique_ptr<httpserver::HttpServer>> instanceServers_; ///< One server for each instance's address.
};

} // namespace turmericsill::standins
