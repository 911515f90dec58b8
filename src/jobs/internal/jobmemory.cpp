#include "jobs/jobmemory.h"

namespace turmericsill::jobs {

namespace {

    /// Of the job itself and its entries in the tables of the controller.
    constexpr std::size_t bytesPerJob = 1200;
    /// Of a step that waits, in the backlog of its pool.
    constexpr std::size_t bytesPerWaitingStep = 112;
    constexpr std::size_t groupRatio = 4; ///< Memory of one group, as a multiple of what is left for others.

} // namespace

std::size_t estimatedMemory(const JobSpec& spec)
{
    return bytesPerJob + spec.payload.size() + spec.steps.memory()
        + spec.steps.size() * (sizeof(StepState) + bytesPerWaitingStep)
        + static_cast<std::size_t>(spec.taskCount()) * sizeof(Task);
}

bool JobMemory::hasRoomFor(
    const std::string& queue, const std::string& team, const JobSpec& spec, std::size_t limit) const
{
    const std::size_t added = estimatedMemory(spec);
    return bytes_.total() + added + (bytes_.ofGroup(queue, team) + added) / groupRatio <= limit;
}

} // namespace turmericsill::jobs
