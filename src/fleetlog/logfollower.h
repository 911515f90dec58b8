#pragma once

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

    /// Continues from a restored fold; call before start().
    void restore(fleetstate::Fold fold) { fold_ = std::move(fold); }

    void start();

    const fleetstate::Fold& fold() const { return fold_; }

private:
    void read();
    void onPage(foundation::SteadyTime requestedAt, const foundation::Result<platform::LogPage>& page);
    bool foldPage(const platform::LogPage& page);
    void reportVerdicts();
    void halt(const std::string& reason);
    void retryLater();
    void publish();

    platform::ILogClient& log_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    std::string stream_;
    fleetstate::Fold fold_;
    StateUpdate update_;
    std::vector<fleetstate::Verdict> verdicts_; ///< Of the page that was folded last.
    foundation::milliseconds backoff_;
    UpdateCallback updateCallback_;
    VerdictCallback verdictCallback_;
};

} // namespace turmericsill::fleetlog
