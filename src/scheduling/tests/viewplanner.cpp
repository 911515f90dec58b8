#include "scheduling/tests/viewplanner.h"

#include "scheduling/placementplanner.h"

#include <map>

namespace turmericsill::scheduling::tests {

PoolPlan planView(const fleet::FleetConfiguration& configuration, ReferencePoolView& view)
{
    InstanceIndex index;
    for (const auto& instance : view.instances)
        index.update(instance);
    PoolBacklog backlog;
    std::map<jobs::JobId, const jobs::Job*> jobs;
    for (const jobs::Job* job : view.jobs) {
        jobs[job->id] = job;
        const auto submitted = view.submittedAt.find(job->id);
        backlog.update(*job, configuration.findQueue(job->queue),
            submitted == view.submittedAt.end() ? foundation::SteadyTime() : submitted->second);
    }
    backlog.demoteLateJobs(view.now);
    const PlacementPlanner planner([&](jobs::JobId id) { return jobs.at(id); });
    const PoolPlan plan = planner.plan(index, backlog, { view.blockedTasks, view.tickets });
    for (auto& instance : view.instances) {
        for (const IndexedInstance* indexed : index.instances()) {
            if (indexed->view.report == instance.report)
                instance = indexed->view;
        }
    }
    return plan;
}

} // namespace turmericsill::scheduling::tests
