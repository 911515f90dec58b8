#include "jobs/occurrencebudget.h"

namespace turmericsill::jobs {

bool OccurrenceBudget::permitsOccurrence(const Job& job) const
{
    const std::uint64_t ofJob = openSteps_.ofJob(job.id);
    const std::uint64_t steps = ofJob + openSteps_.ofGroup(job.queue, job.team) + openSteps_.total();
    return ofJob == 0 || steps + job.spec.steps.size() <= maximumSteps;
}

void OccurrenceBudget::update(const Job& job)
{
    if (job.isScheduled())
        openSteps_.set(job, job.isFinal() ? 0 : job.openOccurrences() * job.spec.steps.size());
}

} // namespace turmericsill::jobs
