#pragma once

#include "fleetlog/snapshotloader.h"
#include "fleetlog/types/stateupdate.h"
#include "fleetstate/fleetstatemachine.h"
#include "foundation/itimerqueue.h"
#include "platform/ilogclient.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericsill::fleetlog {

/// Reads the fleet log continuously, applies its records and publishes each new state.
class LogFollower {
public:
    using UpdateCallback = std::function<void(const StateUpdate&)>;

    /// Called for each applied record in the order of the log, after the state that contains it was published.
    using RecordAppliedCallback = std::function<void(const fleetstate::ApplyResult&)>;

    LogFollower(platform::ILogClient& log, foundation::ITimerQueue& timers, const foundation::IClock& clock,
        std::string stream);

    void onUpdate(UpdateCallback callback) { updateCallback_ = std::move(callback); }
    void onRecordApplied(RecordAppliedCallback callback) { recordAppliedCallback_ = std::move(callback); }

    /// Sets the callback for a snapshot that the state was restored from.
    void onSnapshot(std::function<void(std::uint64_t nextOffset)> callback) { snapshotCallback_ = std::move(callback); }

    /// Restores the newest snapshot, if there is one, and follows the log from there; otherwise from its first record.
    void start();

    /// Name of the stream that holds the snapshots of `stream`.
    static std::string snapshotStream(const std::string& stream) { return stream + ".snapshots"; }

    const fleetstate::FleetStateMachine& stateMachine() const { return stateMachine_; }

private:
    void loadSnapshot();
    void onSnapshotLoaded(const foundation::Result<std::optional<AssembledSnapshot>>& snapshot);
    void read();
    void onPage(foundation::SteadyTime requestedAt, const foundation::Result<platform::LogPage>& page);
    bool applyPage(const platform::LogPage& page);
    void reportApplyResults();
    void halt(const std::string& reason);
    void retryLater(std::function<void()> step);
    void publish();

    platform::ILogClient& log_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    std::string stream_;
    SnapshotLoader snapshotLoader_;
    std::function<void(std::uint64_t)> snapshotCallback_;
    fleetstate::FleetStateMachine stateMachine_;
    StateUpdate update_;
    std::vector<fleetstate::ApplyResult> pageResults_; ///< Results of the last page that are not reported yet.
    foundation::milliseconds retryDelay_;
    bool hasRetentionPassed_ = false; ///< The log has dropped the next record to apply.
    UpdateCallback updateCallback_;
    RecordAppliedCallback recordAppliedCallback_;
};

} // namespace turmericsill::fleetlog
