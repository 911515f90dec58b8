#pragma once

#include "fleetlog/ifleetlog.h"
#include "fleetlog/types/stateupdate.h"
#include "foundation/itimerqueue.h"
#include "maintenance/drainmachine.h"
#include "maintenance/types/drainreport.h"
#include "membership/types/messages.h"
#include "platform/iinstanceplatform.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace turmericsill::maintenance {

/// Controls the pools whose claims this entry holds: claims pools without a holder and carries drains through.
/// It acts only on what it has read back, only while it is certain to hold its claims. Used by one thread.
class PoolController {
public:
    struct Counters {
        std::uint64_t claims = 0;
        std::uint64_t stops = 0;
        std::uint64_t reboots = 0;
        std::uint64_t returns = 0;
        std::uint64_t moves = 0;
        std::uint64_t refused = 0;
    };

    PoolController(std::string entry, platform::IInstancePlatform& platform, fleetlog::IFleetLog& log,
        foundation::ITimerQueue& timers, const foundation::IClock& clock);

    void start();

    void onState(const fleetlog::StateUpdate& update);
    void onPeers(const membership::PeersView& view);

    DrainReports reports() const;
    const Counters& counters() const { return counters_; }

private:
    struct Drain {
        Drain(fleetstate::Lifecycle lifecycle, std::uint64_t seenVersion, std::uint64_t claimEpoch,
            foundation::SteadyTime now)
            : machine(lifecycle)
            , version(seenVersion)
            , epoch(claimEpoch)
            , since(now)
        {
        }

        DrainMachine machine;
        std::uint64_t version;
        std::uint64_t epoch;
        foundation::SteadyTime since;
        foundation::SteadyTime nextStep {};
        bool busy = false; ///< A record or a call to the platform is under way.
        bool overdueLogged = false;
        std::string pool;
        std::string waitingFor;
    };

    using DrainPtr = std::shared_ptr<Drain>;

    void tick();
    void step();
    void claimPools();
    bool holds(const fleetstate::Claim& claim) const;
    void followInstances(const std::string& poolName, const fleetstate::PoolState& pool);
    void stepDrain(
        const std::string& name, const fleetstate::PoolState& pool, const fleetstate::InstanceState& instance);
    std::string waitingFor(const fleetstate::InstanceState& instance) const;
    void act(const std::string& name, const fleetstate::InstanceState& instance, const DrainPtr& drain);
    void record(const std::string& name, const fleetstate::InstanceState& instance, const DrainPtr& drain,
        fleetstate::Lifecycle to);
    void startReboot(const std::string& name, const DrainPtr& drain);
    void queryReboot(const std::string& name, const DrainPtr& drain);
    void reportOverdue(const std::string& name, const fleetstate::PoolState& pool, Drain& drain);
    static std::string operationId(const std::string& name, std::uint64_t version);

    std::string entry_;
    platform::IInstancePlatform& platform_;
    fleetlog::IFleetLog& log_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    fleetlog::StateUpdate update_;
    membership::PeersView peers_;
    std::map<std::string, DrainPtr> drains_;
    std::map<std::string, foundation::SteadyTime> claimAttempts_;
    Counters counters_;
    bool stepping_ = false;
};

} // namespace turmericsill::maintenance
