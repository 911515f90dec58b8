#include "jobs/groupedusage.h"

namespace turmericsill::jobs {

void GroupedUsage::set(const Job& job, std::uint64_t amount)
{
    const std::uint64_t former = ofJob(job.id);
    if (amount == former)
        return;
    total_ += amount - former;
    const auto group = byGroup_.try_emplace({ job.queue, job.team }, 0).first;
    group->second += amount - former;
    if (group->second == 0)
        byGroup_.erase(group);
    if (amount == 0)
        byJob_.erase(job.id);
    else
        byJob_[job.id] = amount;
}

std::uint64_t GroupedUsage::ofJob(JobId job) const
{
    const auto found = byJob_.find(job);
    return found == byJob_.end() ? 0 : found->second;
}

std::uint64_t GroupedUsage::ofGroup(const std::string& queue, const std::string& team) const
{
    const auto found = byGroup_.find({ queue, team });
    return found == byGroup_.end() ? 0 : found->second;
}

} // namespace turmericsill::jobs
