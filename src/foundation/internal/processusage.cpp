#include "foundation/processusage.h"

#include "foundation/controltraffic.h"

#include <ctime>
#include <sys/resource.h>

namespace turmericsill::foundation {

ProcessUsage currentUsage()
{
    constexpr std::int64_t microsecondsPerTick = std::micro::den / CLOCKS_PER_SEC;
    const ControlTraffic& traffic = ControlTraffic::processTotals();
    return { std::chrono::microseconds(std::clock() * microsecondsPerTick), traffic.sent, traffic.received };
}

std::optional<std::size_t> descriptorLimit()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::nullopt;
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace turmericsill::foundation
