#include "scheduling/instanceindex.h"

#include <algorithm>
#include <utility>

namespace turmericsill::scheduling {

bool InstanceIndex::ByFreeCores::operator()(const IndexedInstance* one, const IndexedInstance* other) const
{
    if (one->view.free.milliCores != other->view.free.milliCores)
        return one->view.free.milliCores < other->view.free.milliCores;
    return one->name < other->name;
}

void InstanceIndex::update(InstanceView view)
{
    const fleet::InstanceReport& report = *view.report;
    auto& entry = byName_[report.incarnation.instance];
    const bool hasSameLabels = entry
        && std::is_permutation(entry->labels.begin(), entry->labels.end(), report.labels.begin(), report.labels.end());
    if (hasSameLabels && entry->view.free.milliCores == view.free.milliCores) {
        entry->view = std::move(view); // Its place in the orders stays the same.
        return;
    }
    if (entry)
        unlink(*entry);
    else
        entry = std::make_unique<IndexedInstance>();
    entry->name = report.incarnation.instance;
    entry->labels = report.labels;
    std::sort(entry->labels.begin(), entry->labels.end());
    entry->labels.erase(std::unique(entry->labels.begin(), entry->labels.end()), entry->labels.end());
    entry->view = std::move(view);
    link(*entry);
}

void InstanceIndex::remove(const std::string& name)
{
    const auto found = byName_.find(name);
    if (found == byName_.end())
        return;
    unlink(*found->second);
    byName_.erase(found);
}

const InstanceIndex::Order& InstanceIndex::instances(const std::string& label) const
{
    static const Order none;
    if (label.empty())
        return all_;
    const auto found = byLabel_.find(label);
    return found == byLabel_.end() ? none : found->second;
}

InstanceIndex::Order::const_iterator InstanceIndex::firstWithFreeCores(const Order& order, std::int64_t milliCores)
{
    IndexedInstance bound;
    bound.view.free.milliCores = milliCores;
    return order.lower_bound(&bound);
}

void InstanceIndex::link(IndexedInstance& instance)
{
    all_.insert(&instance);
    for (const auto& label : instance.labels)
        byLabel_[label].insert(&instance);
    freeMilliCores_ += std::max(std::int64_t(0), instance.view.free.milliCores);
}

void InstanceIndex::unlink(IndexedInstance& instance)
{
    all_.erase(&instance);
    for (const auto& label : instance.labels) {
        const auto order = byLabel_.find(label);
        order->second.erase(&instance);
        if (order->second.empty())
            byLabel_.erase(order);
    }
    freeMilliCores_ -= std::max(std::int64_t(0), instance.view.free.milliCores);
}

void InstanceIndex::addTask(IndexedInstance& instance, const StepId& id, const jobs::StepSpec& step)
{
    unlink(instance);
    instance.view.free -= resourceRequest(step);
    ++instance.view.tasksByStep[id];
    countTask(instance.view, step);
    link(instance);
}

void InstanceIndex::removeTask(IndexedInstance& instance, const StepId& id, const jobs::StepSpec& step)
{
    unlink(instance);
    instance.view.free += resourceRequest(step);
    const auto count = instance.view.tasksByStep.find(id);
    if (--count->second == 0)
        instance.view.tasksByStep.erase(count);
    instance.view.longRunningTasks -= step.isLongRunning;
    instance.view.latencySensitiveTasks -= step.latencyTarget.count() > 0;
    instance.view.bestEffortTasks -= step.isBestEffort;
    link(instance);
}

void countTask(InstanceView& instance, const jobs::StepSpec& step)
{
    instance.longRunningTasks += step.isLongRunning;
    instance.latencySensitiveTasks += step.latencyTarget.count() > 0;
    instance.bestEffortTasks += step.isBestEffort;
}

jobs::Resources resourceRequest(const jobs::StepSpec& step)
{
    jobs::Resources need = step.resourcesPerTask;
    if (step.isBestEffort)
        need.milliCores = 0;
    return need;
}

} // namespace turmericsill::scheduling
