// Soak test: sends callers' requests to the entries that scripts/soak.sh has started, and injects faults.

#include "soak/soak.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random schedule");
ABSL_FLAG(int, seconds, 15, "seconds during which faults begin");
ABSL_FLAG(std::string, platform, "127.0.0.1:7700", "IP:PORT of the platform stand-in");
ABSL_FLAG(std::vector<std::string>, callers, {}, "IP:PORT of each entry's caller address");
ABSL_FLAG(std::vector<std::string>, proxies, {}, "IP:PORT at which each entry reaches the store");
ABSL_FLAG(std::vector<std::string>, crowd_ports, {}, "loopback ports that clients without limits press");
ABSL_FLAG(std::size_t, crowd, 0, "number of clients without limits on each of these ports");
ABSL_FLAG(std::size_t, memory_limit_mb, 0, "most memory of an entry; 0: not checked");
ABSL_FLAG(std::vector<std::string>, pid_files, {}, "file with the process id of each entry");

namespace {

using turmericsill::foundation::Address;

bool readAddresses(const std::vector<std::string>& texts, std::vector<Address>& addresses)
{
    for (const auto& text : texts) {
        const auto address = turmericsill::foundation::parseAddress(text);
        if (!address)
            return false;
        addresses.push_back(*address);
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    turmericsill::soak::SoakPlan plan;
    plan.seed = absl::GetFlag(FLAGS_seed);
    plan.faultPhase = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    plan.pidFiles = absl::GetFlag(FLAGS_pid_files);
    for (const auto& port : absl::GetFlag(FLAGS_crowd_ports))
        plan.crowdPorts.push_back(static_cast<std::uint16_t>(std::stoul(port)));
    plan.crowdPerPort = absl::GetFlag(FLAGS_crowd);
    plan.memoryLimitKb = absl::GetFlag(FLAGS_memory_limit_mb) << 10;
    std::vector<Address> platform;
    const bool isValid = readAddresses({ absl::GetFlag(FLAGS_platform) }, platform)
        && readAddresses(absl::GetFlag(FLAGS_callers), plan.callerAddresses)
        && readAddresses(absl::GetFlag(FLAGS_proxies), plan.proxyAddresses);
    if (!isValid || plan.callerAddresses.empty() || plan.callerAddresses.size() != plan.proxyAddresses.size()
        || plan.callerAddresses.size() != plan.pidFiles.size()) {
        std::cerr << "turmericsill_soak: addresses must be IP:PORT, and --callers, --proxies and --pid_files of equal "
                     "number\n";
        return 2;
    }
    plan.platform = platform.front();
    boost::asio::io_context context(1);
    turmericsill::soak::Soak soak(context, plan);
    const bool isPassed = soak.run();
    std::cout << soak.summary() << std::endl;
    return isPassed ? 0 : 1;
}
