#include "control/internal/instanceviews.h"

#include "scheduling/instanceindex.h"

namespace turmericsill::control {

namespace {

    /// Adds the expected end of a short run. The start of a run that a former controller has ordered is not known.
    void addRelease(scheduling::InstanceView& view, const TrackedRun& run, const jobs::StepSpec& spec, double slowdown)
    {
        const bool isStartKnown = run.orderedAt || isStartInProgress(run.state);
        if (!isStartKnown || spec.isLongRunning || spec.estimatedDuration.count() <= 0)
            return;
        const bool isRemote = !spec.dataRack.empty() && !view.report->hasLabel(spec.dataRack);
        const std::chrono::duration<double, std::milli> duration = spec.estimatedDuration;
        const auto expected = std::chrono::duration_cast<milliseconds>(duration * (isRemote ? slowdown : 1));
        view.releases.push_back({ run.orderedAt.value_or(run.trackedAt) + expected, run.resources });
    }

} // namespace

// The runs are in the order of their tasks, so those of a step follow each other.
scheduling::InstanceView viewInstance(
    const InstanceSession& session, const jobs::JobTable& table, double remoteSlowdown)
{
    scheduling::InstanceView view;
    view.report = &session.report();
    view.free = session.free();
    view.tasksByStep.reserve(session.runs().size());
    const jobs::StepSpec* spec = nullptr;
    for (const auto& [task, run] : session.runs()) {
        const scheduling::StepId step = scheduling::stepOf(task);
        if (view.tasksByStep.empty() || !(view.tasksByStep.rbegin()->first == step)) {
            const jobs::Job* job = table.find(task.job);
            spec = job && task.step < job->spec.steps.size() ? &job->spec.steps[task.step] : nullptr;
        }
        ++view.tasksByStep[step];
        if (!run.isLongRunning)
            view.shortTasks += run.resources;
        if (spec)
            scheduling::countTask(view, *spec);
        if (spec && remoteSlowdown > 1)
            addRelease(view, run, *spec, remoteSlowdown);
    }
    return view;
}

} // namespace turmericsill::control
