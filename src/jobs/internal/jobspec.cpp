#include "jobs/types/jobspec.h"

#include <numeric>

namespace turmericsill::jobs {

Resources& Resources::operator+=(const Resources& other)
{
    milliCores += other.milliCores;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other) { return *this += other * -1; }

Resources Resources::operator*(std::int64_t factor) const
{
    return { milliCores * factor, memoryMb * factor, accelerators * factor };
}

bool Resources::fitsInto(const Resources& free) const
{
    return milliCores <= free.milliCores && memoryMb <= free.memoryMb && accelerators <= free.accelerators;
}

bool Resources::operator==(const Resources& other) const
{
    return milliCores == other.milliCores && memoryMb == other.memoryMb && accelerators == other.accelerators;
}

std::uint64_t JobSpec::taskCount() const
{
    return std::accumulate(steps.begin(), steps.end(), std::uint64_t(0),
        [](std::uint64_t sum, const StepSpec& step) { return sum + step.taskCount; });
}

} // namespace turmericsill::jobs
