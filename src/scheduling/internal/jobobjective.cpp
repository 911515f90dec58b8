#include "scheduling/jobobjective.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace turmericsill::scheduling {

namespace {

    constexpr milliseconds assumedTaskDuration { 1000 }; ///< Duration assumed for tasks without an estimate.

} // namespace

milliseconds taskDuration(const jobs::StepSpec& step)
{
    return step.estimatedDuration.count() > 0 ? step.estimatedDuration : assumedTaskDuration;
}

milliseconds criticalPath(const jobs::JobSpec& spec)
{
    std::vector<milliseconds> ends;
    ends.reserve(spec.steps.size());
    for (const jobs::StepSpec& step : spec.steps) {
        milliseconds begin { 0 };
        for (const std::uint32_t dependency : step.dependsOn) {
            if (dependency < ends.size())
                begin = std::max(begin, ends[dependency]);
        }
        ends.push_back(begin + taskDuration(step));
    }
    return ends.empty() ? milliseconds(0) : *std::max_element(ends.begin(), ends.end());
}

milliseconds completionObjective(const fleet::Queue& queue, const jobs::JobSpec& spec)
{
    const std::chrono::duration<double, std::milli> path = criticalPath(spec);
    return std::chrono::round<milliseconds>(path * queue.criticalPathFactor) + queue.objectiveMargin;
}

} // namespace turmericsill::scheduling
