#pragma once

#include "fleet/iinstancecontrol.h"

#include <utility>

namespace turmericsill::control {

/// Numbers of calls to instances, by kind.
struct InstanceCallCounts {
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t renewals = 0;
};

/// Counts the calls to instances on their way to the instance control.
class MeteredInstanceControl : public fleet::IInstanceControl {
public:
    explicit MeteredInstanceControl(fleet::IInstanceControl& next)
        : next_(next)
    {
    }

    /// The calls since the latest call of this function.
    InstanceCallCounts takeCounts() { return std::exchange(counts_, {}); }

    void start(const fleet::InstanceHandle& instance, const fleet::StartOrder& order, StartCallback done) override
    {
        ++counts_.starts;
        next_.start(instance, order, std::move(done));
    }

    void stop(
        const fleet::InstanceHandle& instance, const jobs::TaskId& task, std::uint32_t run, StopCallback done) override
    {
        ++counts_.stops;
        next_.stop(instance, task, run, std::move(done));
    }

    void renew(const fleet::InstanceHandle& instance, const fleet::RenewRequest& request, RenewCallback done) override
    {
        ++counts_.renewals;
        next_.renew(instance, request, std::move(done));
    }

    void throttle(const fleet::InstanceHandle& instance, const jobs::TaskId& task, std::uint32_t run, int percent,
        StopCallback done) override
    {
        next_.throttle(instance, task, run, percent, std::move(done));
    }

    void dropConnections(const foundation::Address& address) override { next_.dropConnections(address); }

private:
    fleet::IInstanceControl& next_;
    InstanceCallCounts counts_;
};

} // namespace turmericsill::control
