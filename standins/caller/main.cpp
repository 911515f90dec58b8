// Stand-in for callers behind the platform's load balancer: sends an open-loop load for a limited time and checks the
// answers.

#include "standins/caller/loadgenerator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, entries, {}, "IP:PORT addresses at which the entries accept callers");
ABSL_FLAG(std::vector<std::string>, readiness, {}, "IP:PORT telemetry addresses of the entries, in the same order");
ABSL_FLAG(std::vector<std::string>, services, {}, "services to call");
ABSL_FLAG(double, rate, 200, "mean number of requests per second over all services");
ABSL_FLAG(uint32_t, seconds, 10, "seconds during which requests are sent");
ABSL_FLAG(uint32_t, work_ms, 20, "milliseconds of work that each request asks of its endpoint");
ABSL_FLAG(uint32_t, timeout_ms, 5000, "timeout in milliseconds that each request states");
ABSL_FLAG(double, non_idempotent, 0.3, "fraction of requests that must not run twice");
ABSL_FLAG(double, surge_factor, 5, "rate of the surging service relative to the others");
ABSL_FLAG(uint32_t, surge_seconds, 0, "seconds for which each service surges in turn; 0: no surges");
ABSL_FLAG(uint64_t, seed, 1, "seed of the random numbers");

int main(int argc, char** argv)
{
    using namespace turmericsill;
    absl::ParseCommandLine(argc, argv);
    standins::LoadPlan plan;
    for (const auto& text : absl::GetFlag(FLAGS_entries))
        plan.entries.push_back(foundation::parseAddress(text).value());
    for (const auto& text : absl::GetFlag(FLAGS_readiness))
        plan.telemetryAddresses.push_back(foundation::parseAddress(text).value());
    plan.services = absl::GetFlag(FLAGS_services);
    if (plan.entries.empty() || plan.services.empty()) {
        std::cerr << "standin_caller: --entries and --services are required\n";
        return 2;
    }
    plan.requestsPerSecond = absl::GetFlag(FLAGS_rate);
    plan.duration = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    plan.work = foundation::milliseconds(absl::GetFlag(FLAGS_work_ms));
    plan.timeout = foundation::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    plan.nonIdempotentRatio = absl::GetFlag(FLAGS_non_idempotent);
    plan.surgeFactor = absl::GetFlag(FLAGS_surge_factor);
    plan.surgeDuration = std::chrono::seconds(absl::GetFlag(FLAGS_surge_seconds));
    plan.seed = absl::GetFlag(FLAGS_seed);
    boost::asio::io_context context(1);
    standins::LoadGenerator generator(context, plan);
    generator.start();
    context.run();
    std::cout << generator.result().toJson().dump() << std::endl;
    return 0;
}
