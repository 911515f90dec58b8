#pragma once

#include "fleet/ifleetsource.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace turmericsill::control {

/// Follows the entries that instances publish. Loads them anew when the store no longer holds what is to be read next.
class InstanceDirectory {
public:
    /// `loaded` is told the names of all instances that are listed, after their entries.
    InstanceDirectory(fleet::IFleetSource& source, foundation::IClock& clock, foundation::ITimerQueue& timers,
        std::function<void(const fleet::InstanceChange&)> changed,
        std::function<void(const std::set<std::string>&)> loaded);
    ~InstanceDirectory() { *alive_ = false; }

    InstanceDirectory(const InstanceDirectory&) = delete;
    InstanceDirectory& operator=(const InstanceDirectory&) = delete;

    void start() { load(); }

    /// Whether all entries were read once.
    bool isLoaded() const { return isLoaded_; }

private:
    void load();
    void watch();
    template <typename Action> void later(foundation::milliseconds delay, Action action);

    fleet::IFleetSource& source_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    std::function<void(const fleet::InstanceChange&)> changed_;
    std::function<void(const std::set<std::string>&)> loaded_;
    std::uint64_t next_ = 0;
    bool isLoaded_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
