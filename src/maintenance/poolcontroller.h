#pragma once

#include "fleetlog/ifleetlog.h"
#include "fleetlog/types/stateupdate.h"
#include "foundation/itimerqueue.h"
#include "maintenance/drainstatemachine.h"
#include "maintenance/types/drainreport.h"
#include "membership/types/messages.h"
#include "platform/iinstancemanager.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace turmericsill::maintenance {

/// Controller of the pools whose claims this entry holds. Claims pools without a holder, and runs drains and moves.
/// It acts only on state that it has read back from the log, and only while no other entry can have taken its claims.
/// Must be used by one thread only.
class PoolController {
public:
    struct Counters {
        std::uint64_t claims = 0;
        std::uint64_t stops = 0;
        std::uint64_t reboots = 0;
        std::uint64_t returns = 0;
        std::uint64_t moves = 0;
        std::uint64_t rejected = 0;
    };

    PoolController(std::string entry, platform::IInstanceManager& instanceManager, fleetlog::IFleetLog& log,
        foundation::ITimerQueue& timers, const foundation::IClock& clock);

    void start();

    void onState(const fleetlog::StateUpdate& update);
    void onMembershipView(const membership::MembershipView& view);

    DrainReports reports() const;
    const Counters& counters() const { return counters_; }

private:
    struct Drain {
        Drain(fleetstate::Lifecycle lifecycle, std::uint64_t instanceVersion, std::uint64_t claimEpoch,
            foundation::SteadyTime now)
            : machine(lifecycle)
            , version(instanceVersion)
            , epoch(claimEpoch)
            , firstSeenAt(now)
        {
        }

        DrainStateMachine machine;
        std::uint64_t version;
        std::uint64_t epoch;
        foundation::SteadyTime firstSeenAt;
        foundation::SteadyTime nextStepAt {};
        bool busy = false; ///< Whether an append or a platform call is in progress.
        bool isOverdueLogged = false;
        std::string pool;
        std::string waitingFor;
    };

    using DrainPtr = std::shared_ptr<Drain>;

    void tick();
    void step();
    void claimPools();
    bool isHolderOf(const fleetstate::Claim& claim) const;
    void updateDrains(const std::string& poolName, const fleetstate::PoolState& pool);
    void stepDrain(
        const std::string& name, const fleetstate::PoolState& pool, const fleetstate::InstanceState& instance);
    std::string findBlocker(const fleetstate::InstanceState& instance) const;
    void runAction(const std::string& name, const fleetstate::InstanceState& instance, const DrainPtr& drain);
    void appendTransition(const std::string& name, const fleetstate::InstanceState& instance, const DrainPtr& drain,
        fleetstate::Lifecycle to);
    void startReboot(const std::string& name, const DrainPtr& drain);
    void queryReboot(const std::string& name, const DrainPtr& drain);
    void reportOverdue(const std::string& name, const fleetstate::PoolState& pool, Drain& drain);
    static std::string operationId(const std::string& name, std::uint64_t version);

    std::string entry_;
    platform::IInstanceManager& instanceManager_;
    fleetlog::IFleetLog& log_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    fleetlog::StateUpdate update_;
    membership::MembershipView membershipView_;
    std::map<std::string, DrainPtr> drains_;
    std::map<std::string, foundation::SteadyTime> lastClaimAttempts_;
    Counters counters_;
    bool isStepping_ = false;
};

} // namespace turmericsill::maintenance
