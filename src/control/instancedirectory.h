#pragma once

#include "fleet/ifleetsource.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "telemetry/ieventsink.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace turmericsill::control {

/// Lists the entries that instances publish and then watches them for changes. Lists them again when the store no
/// longer retains the changes to be read next.
class InstanceDirectory {
public:
    /// `onChange` is called for each entry that was listed or has changed; `onLoaded` is called after a full list, with
    /// the names of all listed instances.
    InstanceDirectory(fleet::IFleetSource& source, foundation::IClock& clock, foundation::ITimerQueue& timers,
        telemetry::IEventSink& events, std::function<void(const fleet::InstanceChange&)> onChange,
        std::function<void(const std::set<std::string>&)> onLoaded);
    ~InstanceDirectory() { *alive_ = false; }

    InstanceDirectory(const InstanceDirectory&) = delete;
    InstanceDirectory& operator=(const InstanceDirectory&) = delete;

    void start() { load(); }

    /// Whether the entries were read recently enough to start runs with the capacities that they state.
    bool isCurrent() const;

private:
    void load();
    void watch();
    void apply(const fleet::InstanceChanges& changes, foundation::SteadyTime asOf);
    template <typename Action> void scheduleAfter(foundation::milliseconds delay, Action action);

    fleet::IFleetSource& source_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    std::function<void(const fleet::InstanceChange&)> onChange_;
    std::function<void(const std::set<std::string>&)> onLoaded_;
    std::uint64_t nextOffset_ = 0; ///< Where the next watch begins.
    std::optional<foundation::SteadyTime> asOf_; ///< Time at which the latest answered call was sent.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
