#include "foundation/processusage.h"

#include "foundation/controltraffic.h"

#include <ctime>

namespace turmericsill::foundation {

ProcessUsage currentUsage()
{
    constexpr std::int64_t microsecondsPerTick = std::micro::den / CLOCKS_PER_SEC;
    const ControlTraffic& traffic = ControlTraffic::processTotals();
    return { std::chrono::microseconds(std::clock() * microsecondsPerTick), traffic.sent, traffic.received };
}

} // namespace turmericsill::foundation
