// Stand-in for the platform: log, instance list and reboots, with faults that can be changed while it runs.

#include "foundation/address.h"
#include "httpserver/httpserver.h"
#include "standins/platform/platformservice.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1:20000", "IP:PORT to listen on");
ABSL_FLAG(uint64_t, seed, 1, "seed of the random numbers for faults");

int main(int argc, char** argv)
{
    using namespace turmericsill;
    absl::ParseCommandLine(argc, argv);
    auto address = foundation::parseAddress(absl::GetFlag(FLAGS_address));
    if (!address) {
        std::cerr << address.error().message() << "\n";
        return 2;
    }
    boost::asio::io_context context(1);
    standins::PlatformService service(context, absl::GetFlag(FLAGS_seed));
    httpserver::ServerLimits limits;
    limits.maximumBodyBytes = 256u << 20;
    httpserver::HttpServer server(context, service, limits);
    if (auto listening = server.listen(*address); !listening) {
        std::cerr << listening.error().message() << "\n";
        return 1;
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
}
