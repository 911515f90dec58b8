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
/// force is ignored. While a read is overdue, further ones are sent beside it, so that the age of what is known does
/// not depend on a single answer.
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
    using ReadCallback = std::function<void(bool isRead)>;

    void watch();
    void scheduleOverdueRead(std::uint64_t watch, milliseconds delay);
    void read(milliseconds wait, ReadCallback done);
    void onAnswer(const fleet::OperatorChanges& changes, foundation::SteadyTime sentAt, milliseconds wait);
    void onFailure(const foundation::Error& error);
    void applyChanges(const fleet::OperatorChanges& changes, foundation::SteadyTime asOf);
    void setSourceLost(bool isLost, const std::string& reason);

    fleet::IFleetSource& source_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    std::function<void(const fleet::FleetConfiguration&)> configurationCallback_;
    std::function<void(const fleet::MaintenanceWave&)> waveCallback_;
    std::uint64_t version_ = 0;
    std::uint64_t nextOffset_ = 0; ///< Offset at which the next watch begins.
    std::optional<foundation::SteadyTime> asOf_; ///< Time up to which every change has been read.
    bool mustLoad_ = true; ///< Whether the changes from nextOffset_ on cannot be read.
    std::uint64_t watch_ = 0; ///< Number of the latest watch.
    std::size_t overdueReads_ = 0; ///< Reads in progress beside an overdue watch.
    bool isSourceLost_ = false; ///< Whether the latest watch is overdue or has failed.
};

} // namespace turmericsill::entry
