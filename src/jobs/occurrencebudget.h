#pragma once

#include "jobs/groupedusage.h"
#include "jobs/types/job.h"

#include <cstdint>

namespace turmericsill::jobs {

/// Limits the occurrences of all scheduled jobs that are under way: each takes memory for every step, whether or not
/// there is room for its tasks. A job may start a further occurrence while the steps under way in the job, in all jobs
/// of its queue and team, and in all jobs, taken together with the new ones, are within the limit. So jobs that wait
/// share what is left, one queue or team alone gets at most half of it, and some is always left for others. One
/// occurrence of each job may always be under way.
class OccurrenceBudget {
public:
    /// A step under way takes up to 250 bytes on a controller.
    static constexpr std::uint64_t maximumSteps = 100000;

    /// Whether a job may start a further occurrence.
    bool permitsOccurrence(const Job& job) const;

    /// Counts the occurrences that are under way in a scheduled job; none once it is final.
    void update(const Job& job);
    void remove(const Job& job) { openSteps_.set(job, 0); }

private:
    GroupedUsage openSteps_;
};

} // namespace turmericsill::jobs
