#pragma once

#include "fleet/ifleetsource.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "telemetry/ieventsink.h"

#include <functional>

namespace turmericsill::entry {

/// Follows what operators declare. A configuration older than the one in force is left out.
class DeclarationWatcher {
public:
    DeclarationWatcher(fleet::IFleetSource& source, foundation::IClock& clock, foundation::ITimerQueue& timers,
        telemetry::IEventSink& events);

    DeclarationWatcher(const DeclarationWatcher&) = delete;
    DeclarationWatcher& operator=(const DeclarationWatcher&) = delete;

    void start();

    void onConfiguration(std::function<void(const fleet::FleetConfiguration&)> callback);
    void onWave(std::function<void(const fleet::UpkeepWave&)> callback) { waveCallback_ = std::move(callback); }

    /// Version in force; 0 before the first was read.
    std::uint64_t version() const { return version_; }

private:
    void load();
    void watch();
    void take(const fleet::OperatorChanges& changes);
    void retry(std::function<void()> action);

    fleet::IFleetSource& source_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    std::function<void(const fleet::FleetConfiguration&)> configurationCallback_;
    std::function<void(const fleet::UpkeepWave&)> waveCallback_;
    std::uint64_t version_ = 0;
    std::uint64_t next_ = 0;
    bool isLosing_ = false; ///< The last read had no answer.
};

} // namespace turmericsill::entry
