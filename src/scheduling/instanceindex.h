#pragma once

#include "scheduling/types/poolview.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::scheduling {

/// An instance in an InstanceIndex. Name and labels are copies, so that the order of the index does not depend on the
/// lifetime of the report.
struct IndexedInstance {
    std::string name;
    std::vector<std::string> labels; ///< Each label once.
    InstanceView view;
};

/// Instances of a pool that accept tasks, ordered by free processor time, so that the best fit for a task is found
/// without looking at every instance.
class InstanceIndex {
public:
    /// Orders by free processor time, then by name.
    struct ByFreeCores {
        bool operator()(const IndexedInstance* one, const IndexedInstance* other) const;
    };
    using Order = std::set<IndexedInstance*, ByFreeCores>;

    InstanceIndex() = default;
    InstanceIndex(const InstanceIndex&) = delete;
    InstanceIndex& operator=(const InstanceIndex&) = delete;

    /// Adds an instance or replaces its view.
    void update(InstanceView view);
    void remove(const std::string& name);

    /// All instances.
    const Order& instances() const { return all_; }

    /// Instances with a label; all instances for an empty label.
    const Order& instances(const std::string& label) const;

    /// First instance of an order with at least this much free processor time.
    static Order::const_iterator firstWithFreeCores(const Order& order, std::int64_t milliCores);

    /// Adds a task of a step to an instance, or removes it.
    void addTask(IndexedInstance& instance, const StepId& id, const jobs::StepSpec& step);
    void removeTask(IndexedInstance& instance, const StepId& id, const jobs::StepSpec& step);

    /// Free processor time of all instances, in thousandths of a core. Overcommitted instances have none.
    std::int64_t freeMilliCores() const { return freeMilliCores_; }

private:
    void link(IndexedInstance& instance);
    void unlink(IndexedInstance& instance);

    std::map<std::string, std::unique_ptr<IndexedInstance>> byName_;
    Order all_;
    std::map<std::string, Order> byLabel_;
    std::int64_t freeMilliCores_ = 0;
};

/// Adds a task of the step to the task counts of the instance.
void countTask(InstanceView& instance, const jobs::StepSpec& step);

/// Resources that a task of the step reserves on an instance. Best-effort tasks (StepSpec::isBestEffort) reserve no
/// processor time.
jobs::Resources resourceRequest(const jobs::StepSpec& step);

} // namespace turmericsill::scheduling
