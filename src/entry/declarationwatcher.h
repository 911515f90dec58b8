#pragma once

#include "fleet/ifleetsource.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "telemetry/ieventsink.h"

#include <functional>
#include <optional>

namespace turmericsill::entry {

using foundation::milliseconds;

/// Watches the declarations of operators and reports each change. A configuration that is no newer than the one in
/// force is ignored.
class DeclarationWatcher {
public:
    DeclarationWatcher(fleet::IFleetSource& source, foundation::IClock& clock, foundation::ITimerQueue& timers,
        telemetry::IEventSink& events);

    DeclarationWatcher(const DeclarationWatcher&) = delete;
    DeclarationWatcher& operator=(const DeclarationWatcher&) = delete;

    void start();

    /// Sets the callback for configurations that come into force; must be called before start().
    void onConfiguration(std::function<void(const fleet::FleetConfiguration&)> callback);

    /// Sets the callback for maintenance waves, each of which may be reported several times.
    void onWave(std::function<void(const fleet::MaintenanceWave&)> callback) { waveCallback_ = std::move(callback); }

    /// Version of the configuration in force; 0 before the first one was read.
    std::uint64_t version() const { return version_; }

    /// Age of what is known of the declarations: every change that was confirmed longer ago has been read. The longest
    /// duration before the first read.
    milliseconds age() const;

private:
    void load();
    void watch();
    void applyChanges(const fleet::OperatorChanges& changes, foundation::SteadyTime asOf);
    void scheduleRetry(std::function<void()> action);

    fleet::IFleetSource& source_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    std::function<void(const fleet::FleetConfiguration&)> configurationCallback_;
    std::function<void(const fleet::MaintenanceWave&)> waveCallback_;
    std::uint64_t version_ = 0;
    std::uint64_t nextOffset_ = 0; ///< Offset at which the next watch begins.
    std::optional<foundation::SteadyTime> asOf_; ///< Time up to which every change has been read.
    bool isSourceLost_ = false; ///< Whether the latest watch failed.
};

} // namespace turmericsill::entry
