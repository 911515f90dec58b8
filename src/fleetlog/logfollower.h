#pragma once

#include "fleetlog/snapshotloader.h"
#include "fleetlog/types/stateupdate.h"
#include "fleetstate/fold.h"
#include "foundation/itimerqueue.h"
#include "platform/ilogclient.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericsill::fleetlog {

/// Reads the system's stream, folds it and publishes each new state.
class LogFollower {
public:
    using UpdateCallback = std::function<void(const StateUpdate&)>;
    /// Called for each folded record, in the order of the log.
    using VerdictCallback = std::function<void(const fleetstate::Verdict&)>;

    LogFollower(platform::ILogClient& log, foundation::ITimerQueue& timers, const foundation::IClock& clock,
        std::string stream);

    void onUpdate(UpdateCallback callback) { updateCallback_ = std::move(callback); }
    void onVerdict(VerdictCallback callback) { verdictCallback_ = std::move(callback); }

    /// Called when a snapshot was found in its stream.
    void onSnapshot(std::function<void(std::uint64_t nextOffset)> callback) { snapshotCallback_ = std::move(callback); }

    /// Starts from the newest snapshot, or from the stream's first record, and goes on from there.
    void start();

    /// Stream that holds the snapshots of a stream.
    static std::string snapshotStream(const std::string& stream) { return stream + ".snapshots"; }

    const fleetstate::Fold& fold() const { return fold_; }

private:
    void loadSnapshot();
    void onSnapshotLoaded(const foundation::Result<std::optional<AssembledSnapshot>>& snapshot);
    void read();
    void onPage(foundation::SteadyTime requestedAt, const foundation::Result<platform::LogPage>& page);
    bool foldPage(const platform::LogPage& page);
    void reportVerdicts();
    void halt(const std::string& reason);
    void retryLater(std::function<void()> step);
    void publish();

    platform::ILogClient& log_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    std::string stream_;
    SnapshotLoader snapshots_;
    std::function<void(std::uint64_t)> snapshotCallback_;
    fleetstate::Fold fold_;
    StateUpdate update_;
    std::vector<fleetstate::Verdict> verdicts_; ///< Of the page that was folded last.
    foundation::milliseconds backoff_;
    bool retentionPassed_ = false;
    UpdateCallback updateCallback_;
    VerdictCallback verdictCallback_;
};

} // namespace turmericsill::fleetlog
