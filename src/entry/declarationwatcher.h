#pragma once

#include "fleet/ifleetsource.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "telemetry/ieventsink.h"

#include <functional>

namespace turmericsill::entry {

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

private:
    void load();
    void watch();
    void applyChanges(const fleet::OperatorChanges& changes);
    void scheduleRetry(std::function<void()> action);

    fleet::IFleetSource& source_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    std::function<void(const fleet::FleetConfiguration&)> configurationCallback_;
    std::function<void(const fleet::MaintenanceWave&)> waveCallback_;
    std::uint64_t version_ = 0;
    std::uint64_t nextOffset_ = 0; ///< Offset at which the next watch begins.
    bool isSourceLost_ = false; ///< Whether the latest watch failed.
};

} // namespace turmericsill::entry
