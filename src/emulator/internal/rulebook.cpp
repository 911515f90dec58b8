#include "emulator/rulebook.h"

#include "scheduling/placementplanner.h"

namespace turmericsill::emulator {

using jobs::JobId;
using jobs::JobSpec;
using jobs::TaskId;

namespace {

    constexpr milliseconds cancelGrace { 3000 }; ///< After the acknowledgement until nothing of the job may start.

} // namespace

Rulebook::Rulebook(const Instances& instances, const foundation::IClock& clock)
    : instances_(instances)
    , clock_(clock)
{
}

void Rulebook::breaks(const std::string& rule, const std::string& what) { broken_.push_back(rule + ": " + what); }

const JobSpec* Rulebook::spec(JobId job) const
{
    const auto found = specs_.find(job);
    return found == specs_.end() ? nullptr : &found->second;
}

void Rulebook::submitted(JobId job, const JobSpec& spec) { specs_.emplace(job, spec); }

void Rulebook::cancelled(JobId job) { cancelledAt_.emplace(job, clock_.now()); }

void Rulebook::shownCompleted(JobId job)
{
    completed_.insert(job);
    const JobSpec* known = spec(job);
    if (!known)
        return breaks("a job that nobody submitted is shown", jobs::toText(job));
}

void Rulebook::acknowledged(const fleet::ObservedEnd& end)
{
    if (end.how == jobs::RunEnd::Done)
        done_.insert(end.task);
}

void Rulebook::started(const EmulatedInstance& instance, const TaskId& task)
{
    const std::string name = jobs::toText(task) + " on " + instance.report().life.instance;
    const JobSpec* known = spec(task.job);
    if (!known)
        return breaks("unasked start", name);
    if (refused_.count(task.job) && !accepted_.count(task.job) && !unknown_.count(task.job))
        breaks("start of a refused job", name);
    const auto cancelled = cancelledAt_.find(task.job);
    if (!isCarryingLate_ && cancelled != cancelledAt_.end() && clock_.now() > cancelled->second + cancelGrace)
        breaks("start of a cancelled job", name);
    for (const auto& [other, running] : instances_) {
        if (running.get() != &instance && running->isRunning(task))
            breaks("two runs at a time", name + " and " + other);
    }
    if (done_.count(task))
        breaks("start after an acknowledged end", name);
    if (completed_.count(task.job))
        breaks("start of a job shown as completed", name);
    checkRoom(instance, task);
    checkOrder(task, *known);
}

void Rulebook::checkRoom(const EmulatedInstance& instance, const TaskId& task)
{
    jobs::Resources taken;
    for (const auto& other : instance.running()) {
        if (const JobSpec* known = spec(other.job))
            taken += scheduling::reservedBy(known->steps[other.step]);
    }
    if (!taken.fitsInto(instance.report().capacity))
        breaks("instance over its capacity", jobs::toText(task) + " on " + instance.report().life.instance);
}

void Rulebook::checkOrder(const TaskId& task, const JobSpec& spec)
{
    for (const auto step : spec.steps[task.step].dependsOn) {
        for (std::uint32_t index = 0; index < spec.steps[step].count; ++index) {
            for (const auto& [name, running] : instances_) {
                if (running->isRunning({ task.job, task.occurrence, step, index }))
                    breaks("start before its dependency has ended", jobs::toText(task));
            }
        }
    }
}

} // namespace turmericsill::emulator
