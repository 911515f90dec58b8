// Stand-in for the platform's store, machines and instances, for demos and tests.

#include "standins/jobs/platformstandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1:7600", "IP:PORT to listen on");
ABSL_FLAG(bool, teams, false, "whether callers need a key of a team");
ABSL_FLAG(int, instances, 8, "number of instances, each of 64 cores");

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    const auto address = turmericsill::foundation::parseAddress(absl::GetFlag(FLAGS_address));
    if (!address) {
        std::cerr << "standin_jobplatform: invalid --address, expected IP:PORT\n";
        return 2;
    }
    boost::asio::io_context context(1);
    turmericsill::standins::PlatformStandin standin(
        context, *address, static_cast<std::size_t>(absl::GetFlag(FLAGS_instances)), absl::GetFlag(FLAGS_teams));
    if (auto listening = standin.listen(); !listening) {
        std::cerr << listening.error().message() << "\n";
        return 1;
    }
    context.run();
    return 0;
}
