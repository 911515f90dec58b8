// turmericsilld: the daemon that runs one entry instance.

#include "daemon/daemon.h"
#include "foundation/heaplimits.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <glog/logging.h>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "path of the settings file, in JSON with comments");
ABSL_FLAG(bool, check, false, "check the settings file, print all errors and exit");

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

/// Blocks SIGINT and SIGTERM in this thread and in all threads started later, so that sigwait() can receive them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int run(const turmericsill::settings::DaemonSettings& settings)
{
    using namespace turmericsill;
    sigset_t signals = blockStopSignals();
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto incarnation = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    daemon::Daemon daemon(settings, static_cast<std::uint64_t>(incarnation));
    if (auto started = daemon.start(); !started) {
        LOG(ERROR) << started.error().message();
        return exitFailure;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    daemon.stopGracefully();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("turmericsilld --settings FILE [--check]");
    absl::ParseCommandLine(argc, argv);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    turmericsill::foundation::setHeapLimits();
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << "turmericsilld: --settings FILE is required\n";
        return exitUsage;
    }
    turmericsill::jsonsource::Faults faults;
    auto settings = turmericsill::settings::loadDaemonSettings(path, faults);
    for (const auto& fault : faults)
        std::cerr << fault.text() << "\n";
    if (!settings)
        return exitFailure;
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": no faults\n";
        return 0;
    }
    return run(*settings);
}
