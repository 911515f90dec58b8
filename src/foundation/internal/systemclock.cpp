#include "foundation/systemclock.h"

#include <ctime>

namespace turmericsill::foundation {

SteadyTime SystemClock::now() const
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return SteadyTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace turmericsill::foundation
