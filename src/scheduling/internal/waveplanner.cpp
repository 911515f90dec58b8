#include "scheduling/waveplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace turmericsill::scheduling {

namespace {

    constexpr milliseconds machineTime { 9000 }; ///< To empty a machine, 1 to 7 s, and maintain it, 2 s.
    constexpr double timeReserve = 0.7; ///< Of the time left, for machines that take longer.

    /// Busy machines that must be under way at once to end in time.
    std::uint32_t neededAtOnce(const WaveView& wave)
    {
        const double usable = std::max(1.0, timeReserve * static_cast<double>(wave.timeLeft.count()));
        const double work = static_cast<double>(wave.waiting.size()) * static_cast<double>(machineTime.count());
        return static_cast<std::uint32_t>(std::ceil(work / usable));
    }

} // namespace

std::vector<std::string> planUpkeep(const WaveView& wave)
{
    std::vector<UpkeepCandidate> order = wave.waiting;
    std::sort(order.begin(), order.end(), [](const UpkeepCandidate& a, const UpkeepCandidate& b) {
        return std::tuple(!a.isStandby, a.longRunningTasks, a.runs, a.machine)
            < std::tuple(!b.isStandby, b.longRunningTasks, b.runs, b.machine);
    });
    std::vector<std::string> chosen;
    const std::uint32_t needed = neededAtOnce(wave);
    for (const auto& candidate : order) {
        const auto underWay = wave.underWay + static_cast<std::uint32_t>(chosen.size());
        const bool isFree = candidate.runs == 0;
        if (underWay >= wave.maximumDown || (!isFree && underWay >= needed))
            break;
        chosen.push_back(candidate.machine);
    }
    return chosen;
}

} // namespace turmericsill::scheduling
