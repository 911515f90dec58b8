#include "callers/internal/serviceroute.h"

#include <algorithm>

namespace turmericsill::callers {

using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

    constexpr double serviceTimeSmoothing = 0.05; ///< Weight of a new sample in the moving average of service times.

    /// Ejections are ignored if less than this fraction of the accepting endpoints would remain.
    constexpr double minimumHealthyFraction = 0.5;

    bool hasFreeSlot(const ServiceTarget& target)
    {
        return target.endpoint->accepting && target.inProgress < target.slots;
    }

    bool isLessLoaded(const ServiceTarget& left, const ServiceTarget& right)
    {
        return left.inProgress * right.slots < right.inProgress * left.slots;
    }

} // namespace

void ServiceRoute::rebuildTargets()
{
    targets_.clear();
    for (const auto& item : targetsByInstance)
        targets_.push_back(item.second);
}

bool ServiceRoute::isBelowHealthyMinimum(SteadyTime now) const
{
    std::size_t accepting = 0;
    std::size_t healthy = 0;
    for (const auto& target : targets_) {
        accepting += target->endpoint->accepting;
        healthy += target->endpoint->accepting && target->endpoint->health.canReceive(now);
    }
    return static_cast<double>(healthy) < minimumHealthyFraction * static_cast<double>(accepting);
}

ServiceTargetPtr ServiceRoute::selectTarget(SteadyTime now, std::mt19937_64& random) const
{
    if (targets_.empty())
        return nullptr;
    const std::size_t start = random() % targets_.size();
    ServiceTargetPtr best;
    bool hasEjectedCandidate = false;
    for (std::size_t step = 0; step < targets_.size(); ++step) {
        const ServiceTargetPtr& target = targets_[(start + step) % targets_.size()];
        if (!hasFreeSlot(*target))
            continue;
        if (!target->endpoint->health.canReceive(now)) {
            hasEjectedCandidate = true;
            continue;
        }
        if (best)
            return isLessLoaded(*target, *best) ? target : best;
        best = target;
    }
    if (best || !hasEjectedCandidate || !isBelowHealthyMinimum(now))
        return best;
    auto found
        = std::find_if(targets_.begin(), targets_.end(), [](const auto& target) { return hasFreeSlot(*target); });
    return found == targets_.end() ? nullptr : *found;
}

std::uint32_t ServiceRoute::acceptingSlots() const
{
    std::uint32_t sum = 0;
    for (const auto& target : targets_)
        sum += target->endpoint->accepting ? target->slots : 0;
    return sum;
}

milliseconds ServiceRoute::estimatedWait() const
{
    const std::uint32_t slots = acceptingSlots();
    if (slots == 0)
        return milliseconds::max();
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(queue.size()) * serviceTimeMs_ / slots));
}

void ServiceRoute::recordServiceTime(milliseconds duration)
{
    serviceTimeMs_ += serviceTimeSmoothing * (static_cast<double>(duration.count()) - serviceTimeMs_);
}

} // namespace turmericsill::callers
