// turmericsill-entry: an entry instance, which accepts jobs and runs them on the fleet.

#include "entryd/entryprocess.h"
#include "foundation/heaplimits.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <glog/logging.h>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, check, false, "check the settings file, print every fault and exit");

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("turmericsill-entry --settings FILE [--check]");
    absl::ParseCommandLine(argc, argv);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    turmericsill::foundation::setHeapLimits();
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << "turmericsill-entry: --settings FILE is required\n";
        return exitUsage;
    }
    turmericsill::jsonsource::Faults faults;
    auto settings = turmericsill::settings::loadEntrySettings(path, faults);
    for (const auto& fault : faults)
        std::cerr << fault.text() << "\n";
    if (!settings)
        return exitFailure;
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": no faults\n";
        return 0;
    }
    turmericsill::entryd::EntryProcess process(std::move(*settings), path);
    if (auto ended = process.run(); !ended) {
        LOG(ERROR) << ended.error().message();
        return exitFailure;
    }
    return 0;
}
