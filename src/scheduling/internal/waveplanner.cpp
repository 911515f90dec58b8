#include "scheduling/waveplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace turmericsill::scheduling {

namespace {

    constexpr milliseconds maintenanceTimePerMachine { 9000 }; ///< Evacuation takes 1 to 7 s and maintenance 2 s.
    constexpr double usableTimeFraction = 0.7; ///< The rest is reserved for machines that take longer.

    /// Number of busy machines that must be in progress at a time to meet the deadline.
    std::uint32_t requiredConcurrency(const WaveView& wave)
    {
        const double usable = std::max(1.0, usableTimeFraction * static_cast<double>(wave.timeLeft.count()));
        const double work
            = static_cast<double>(wave.waiting.size()) * static_cast<double>(maintenanceTimePerMachine.count());
        return static_cast<std::uint32_t>(std::ceil(work / usable));
    }

} // namespace

std::vector<std::string> planMaintenance(
    const WaveView& wave, const std::function<bool(const MaintenanceCandidate&)>& canEvacuate)
{
    std::vector<MaintenanceCandidate> order = wave.waiting;
    std::sort(order.begin(), order.end(), [](const MaintenanceCandidate& a, const MaintenanceCandidate& b) {
        return std::tuple(!a.isStandby, a.longRunningTasks, a.runs, a.machine)
            < std::tuple(!b.isStandby, b.longRunningTasks, b.runs, b.machine);
    });
    std::vector<std::string> chosen;
    const std::uint32_t required = requiredConcurrency(wave);
    for (const auto& candidate : order) {
        const auto inProgress = wave.inProgress + static_cast<std::uint32_t>(chosen.size());
        const bool isIdle = candidate.runs == 0;
        if (inProgress >= wave.maximumDown || (!isIdle && inProgress >= required))
            break;
        if (canEvacuate(candidate))
            chosen.push_back(candidate.machine);
    }
    return chosen;
}

} // namespace turmericsill::scheduling
