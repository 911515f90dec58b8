// Stand-in for endpoint instances: one process serves all instances of a declarations folder.

#include "declarations/folderloader.h"
#include "foundation/address.h"
#include "httpserver/httpserver.h"
#include "platform/httpclient.h"
#include "standins/endpoint/endpointservice.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <iostream>

ABSL_FLAG(std::string, declarations, "", "folder with the declarations of the instances to serve");
ABSL_FLAG(std::string, control, "127.0.0.1:20001", "IP:PORT of the control interface");
ABSL_FLAG(std::string, platform, "127.0.0.1:20000", "IP:PORT of the platform at which the instances are registered");
ABSL_FLAG(uint32_t, reboot_ms, 500, "milliseconds that a reboot takes");

namespace turmericsill::standins {

namespace {

    /// Control interface: reboots instances on request of the platform and reports counters.
    class ControlHandler : public httpserver::IHttpHandler {
    public:
        explicit ControlHandler(foundation::milliseconds rebootDuration)
            : rebootDuration_(rebootDuration)
        {
        }

        void addInstance(const std::string& name, std::unique_ptr<EndpointService> service)
        {
            services_.emplace(name, std::move(service));
        }

        RunCountByKey& runCountByKey() { return runCountByKey_; }

        void handle(const httpserver::HttpExchangePtr& exchange) override
        {
            const std::string target(exchange->request().target());
            const std::string rebootPrefix = "/reboot?instance=";
            if (target == "/stats") {
                exchange->respond(httpserver::makeResponse(200, stats().dump(), "application/json"));
                return;
            }
            auto found = services_.end();
            if (target.rfind(rebootPrefix, 0) == 0)
                found = services_.find(target.substr(rebootPrefix.size()));
            if (found == services_.end()) {
                exchange->respond(httpserver::makeResponse(404, "{}", "application/json"));
                return;
            }
            found->second->reboot(rebootDuration_);
            exchange->respond(httpserver::makeResponse(200, "{}", "application/json"));
        }

    private:
        nlohmann::json stats() const
        {
            EndpointCounts total;
            for (const auto& [name, service] : services_) {
                const EndpointCounts counts = service->counts();
                total.runs += counts.runs;
                total.inProgress += counts.inProgress;
                total.interrupted += counts.interrupted;
                total.maximumInProgress = std::max(total.maximumInProgress, counts.maximumInProgress);
                total.maximumConnections = std::max(total.maximumConnections, counts.maximumConnections);
            }
            std::uint64_t duplicateRuns = 0;
            for (const auto& [key, runs] : runCountByKey_)
                duplicateRuns += runs > 1 ? runs - 1 : 0;
            return { { "runs", total.runs }, { "in_progress", total.inProgress }, { "cut_off", total.interrupted },
                { "maximum_in_progress", total.maximumInProgress }, { "maximum_connections", total.maximumConnections },
                { "doubled", duplicateRuns } };
        }

        foundation::milliseconds rebootDuration_;
        std::map<std::string, std::unique_ptr<EndpointService>> services_;
        RunCountByKey runCountByKey_;
    };

    int run()
    {
        jsonsource::Faults faults;
        auto declared = declarations::loadFolder(absl::GetFlag(FLAGS_declarations), faults);
        auto control = foundation::parseAddress(absl::GetFlag(FLAGS_control));
        auto platformAddress = foundation::parseAddress(absl::GetFlag(FLAGS_platform));
        for (const auto& fault : faults)
            std::cerr << fault.text() << "\n";
        if (!declared || !control || !platformAddress)
            return 2;
        boost::asio::io_context context(1);
        ControlHandler handler(foundation::milliseconds(absl::GetFlag(FLAGS_reboot_ms)));
        httpserver::HttpServer controlServer(context, handler, {});
        if (auto listening = controlServer.listen(*control); !listening) {
            std::cerr << listening.error().message() << "\n";
            return 1;
        }
        platform::HttpClient platformClient(context, *platformAddress);
        for (const auto& [key, object] : *declared) {
            const auto* instance = std::get_if<declarations::Instance>(&object);
            if (!instance)
                continue;
            auto service = std::make_unique<EndpointService>(
                context, key.name, foundation::parseAddress(instance->address).value(), handler.runCountByKey());
            if (auto started = service->start(); !started) {
                std::cerr << started.error().message() << "\n";
                return 1;
            }
            handler.addInstance(key.name, std::move(service));
            const nlohmann::json body { { "name", key.name }, { "probe", instance->address },
                { "control", control->toString() } };
            platformClient.send(boost::beast::http::verb::post, "/instances", body.dump(), std::chrono::seconds(5),
                "standin.register", [](const foundation::Result<platform::HttpAnswer>& answer) {
                    if (!answer)
                        std::cerr << answer.error().message() << "\n";
                });
        }
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
        context.run();
        return 0;
    }

} // namespace

} // namespace turmericsill::standins

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    return turmericsill::standins::run();
}
