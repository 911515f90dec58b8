#include "scheduling/jobobjective.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace turmericsill::scheduling {

namespace {

    constexpr milliseconds assumedTaskDuration { 1000 }; ///< Duration assumed for tasks without an estimate.

    template <typename IsDone> milliseconds longestPath(const jobs::JobSpec& spec, IsDone isDone)
    {
        std::vector<milliseconds> ends;
        ends.reserve(spec.steps.size());
        for (const jobs::StepSpec& step : spec.steps) {
            milliseconds begin { 0 };
            for (const std::uint32_t dependency : step.dependsOn) {
                if (dependency < ends.size())
                    begin = std::max(begin, ends[dependency]);
            }
            ends.push_back(isDone(ends.size()) ? begin : begin + taskDuration(step));
        }
        return ends.empty() ? milliseconds(0) : *std::max_element(ends.begin(), ends.end());
    }

} // namespace

milliseconds taskDuration(const jobs::StepSpec& step)
{
    return step.estimatedDuration.count() > 0 ? step.estimatedDuration : assumedTaskDuration;
}

milliseconds criticalPath(const jobs::JobSpec& spec)
{
    return longestPath(spec, [](std::size_t) { return false; });
}

milliseconds remainingCriticalPath(const jobs::Job& job)
{
    const auto occurrence = job.occurrences.find(0);
    if (occurrence == job.occurrences.end())
        return criticalPath(job.spec);
    return longestPath(job.spec, [&](std::size_t step) { return occurrence->second.steps[step].isDone(); });
}

milliseconds completionObjective(const fleet::Queue& queue, const jobs::JobSpec& spec)
{
    const std::chrono::duration<double, std::milli> path = criticalPath(spec);
    return std::chrono::round<milliseconds>(path * queue.criticalPathFactor) + queue.objectiveMargin;
}

} // namespace turmericsill::scheduling
