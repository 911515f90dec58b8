#pragma once

#include "jobs/types/job.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace turmericsill::jobs {

/// Amount of something that jobs use: of each job, of all jobs of a queue and team, and in all.
class GroupedUsage {
public:
    /// Replaces what a job uses.
    void set(const Job& job, std::uint64_t amount);

    std::uint64_t ofJob(JobId job) const;
    std::uint64_t ofGroup(const std::string& queue, const std::string& team) const;
    std::uint64_t total() const { return total_; }

private:
    using Group = std::pair<std::string, std::string>; ///< Queue and team.

    std::uint64_t total_ = 0;
    std::map<Group, std::uint64_t> byGroup_;
    std::unordered_map<JobId, std::uint64_t> byJob_;
};

} // namespace turmericsill::jobs
