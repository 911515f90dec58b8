#include "jobs/types/steplist.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace turmericsill::jobs {

namespace {

    /// Number of the latest distinct steps that a new one is compared with.
    constexpr std::ptrdiff_t comparedSteps = 8;

    constexpr std::size_t inlineTextBytes = 15; ///< Longer texts take memory beside their objects.

    std::size_t heapBytes(const std::string& text) { return text.size() <= inlineTextBytes ? 0 : text.size(); }

} // namespace

bool StepSpec::operator==(const StepSpec& other) const
{
    const auto fields = [](const StepSpec& step) {
        return std::tie(step.taskCount, step.resourcesPerTask, step.estimatedDuration, step.dependsOn,
            step.resumesFromCheckpoint, step.isGang, step.prefersOneRack, step.allowsSpeculation, step.isLongRunning,
            step.isBestEffort, step.requiredLabel, step.dataRack, step.maximumPerInstance, step.image,
            step.latencyTarget, step.disruptionBudget, step.hasDisruptionBudget);
    };
    return fields(*this) == fields(other);
}

StepList::StepList(std::initializer_list<StepSpec> steps)
{
    for (const StepSpec& step : steps)
        add(step);
}

StepList::StepList(std::vector<StepSpec> steps)
{
    for (StepSpec& step : steps)
        add(std::move(step));
}

void StepList::add(StepSpec step)
{
    const auto end = distinct_.rend();
    const auto last
        = distinct_.rbegin() + std::min<std::ptrdiff_t>(comparedSteps, std::distance(distinct_.rbegin(), end));
    const auto equal = std::find(distinct_.rbegin(), last, step);
    if (equal == last)
        distinct_.push_back(std::move(step));
    const auto position
        = equal == last ? distinct_.size() - 1 : static_cast<std::size_t>(std::distance(equal, end)) - 1;
    indexes_.push_back(static_cast<std::uint32_t>(position));
}

StepSpec& StepList::edit(std::size_t index)
{
    distinct_.push_back(distinct_[indexes_[index]]);
    indexes_[index] = static_cast<std::uint32_t>(distinct_.size() - 1);
    return distinct_.back();
}

std::size_t StepList::memory() const
{
    std::size_t bytes = indexes_.capacity() * sizeof(indexes_.front()) + distinct_.capacity() * sizeof(StepSpec);
    for (const StepSpec& step : distinct_) {
        bytes += step.dependsOn.size() * sizeof(step.dependsOn.front()) + heapBytes(step.requiredLabel)
            + heapBytes(step.dataRack) + heapBytes(step.image);
    }
    return bytes;
}

} // namespace turmericsill::jobs
