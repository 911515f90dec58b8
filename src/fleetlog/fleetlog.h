#pragma once

#include "fleetlog/ifleetlog.h"
#include "fleetlog/logfollower.h"

namespace turmericsill::fleetlog {

/// Follower and writer of the fleet log for one entry instance. Not thread-safe.
class FleetLog : public IFleetLog {
public:
    FleetLog(platform::ILogClient& log, foundation::ITimerQueue& timers, const foundation::IClock& clock,
        const std::string& stream, const std::string& entry, std::uint64_t incarnation,
        foundation::milliseconds appendInterval);

    void submit(fleetstate::RecordBody body, LogWriter::Callback done) override;
    void submitWithId(const std::string& id, fleetstate::RecordBody body, LogWriter::Callback done) override;

    LogFollower& follower() { return follower_; }
    const LogFollower& follower() const { return follower_; }
    const LogWriter& writer() const { return writer_; }

private:
    const foundation::IClock& clock_;
    std::string entry_;
    std::uint64_t incarnation_;
    std::uint64_t nextSequence_ = 1;
    LogFollower follower_;
    LogWriter writer_;
};

} // namespace turmericsill::fleetlog
