#pragma once

#include "callers/iendpointtransport.h"
#include "callers/islotshares.h"
#include "callers/pauseguard.h"
#include "callers/retrybudget.h"
#include "callers/types/callerrequest.h"
#include "callers/types/dispatcheroptions.h"
#include "fleetstate/types/fleetstate.h"
#include "telemetry/itracer.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace turmericsill::callers {

class ActiveTargets;
class ServiceRoute;
struct Endpoint;
struct ServiceTarget;

/// Takes requests to endpoints of the right pool within this entry's share of their limits,
/// queues what does not fit, sheds what would wait too long, and retries where that is safe.
class Dispatcher {
public:
    Dispatcher(IEndpointTransport& transport, const ISlotShares& shares, foundation::ITimerQueue& timers,
        const foundation::IClock& clock, telemetry::ITracer& tracer, const DispatcherOptions& options,
        std::uint64_t seed);
    ~Dispatcher();

    /// Takes over a new state of the fleet.
    void applyState(const fleetstate::FleetStatePtr& state);

    /// Takes over changed shares.
    void refreshShares();

    /// Requests are started only before this time; afterwards they are refused as not run.
    void setServingLimit(foundation::SteadyTime until) { servingUntil_ = until; }

    /// Called regularly by the duty's timer, so that a pause of the process shows.
    void noteAlive() { pauseGuard_.noteAlive(clock_.now()); }

    /// A read of the log that was sent at `requestedAt` has ended and its state was applied.
    void onLogRead(foundation::SteadyTime requestedAt);

    /// Takes a request; its reply comes at its deadline at the latest.
    void submit(const CallerRequestPtr& request);

    /// The two halves of submit(): counts a request, and takes it to an endpoint.
    void accept(const CallerRequestPtr& request);
    void dispatch(const CallerRequestPtr& request);

    /// Gives a request up at `when`, unless it has ended before; replaces an earlier time.
    void armTimer(const CallerRequestPtr& request, foundation::SteadyTime when);

    /// Ends a request that has not ended, with the outcome that its machine then shows.
    void giveUp(const CallerRequestPtr& request, unsigned status, const std::string& reason);

    /// Replies to a request whose machine has ended.
    void finish(const CallerRequestPtr& request, CallerReply reply);

    /// The caller left: a request that was not started is dropped, one in progress goes on unseen.
    void abandon(const CallerRequestPtr& request);

    /// The service's timeout for requests that state none; nothing for an unknown service.
    const declarations::Service* findService(const std::string& name) const;

    /// Instances that do not serve any more but still have requests of this entry in progress.
    std::vector<std::string> busyInstances() const;

    /// Whether no target has more requests in progress than this entry's share.
    bool keepsToShares() const;

    /// First offset that the state in use does not contain.
    std::uint64_t appliedOffset() const { return state_ ? state_->nextOffset : 0; }

    const DispatcherCounters& counters() const { return counters_; }

    bool isIdle() const { return counters_.queued == 0 && counters_.inProgress == 0; }

private:
    class Attempt;

    /// How an attempt speaks for its endpoint.
    enum class Verdict { Healthy, Faulty, Neutral };

    void applyServices(const fleetstate::FleetState* before);
    void applyPool(const fleetstate::PoolState& pool);
    void updateRoute(ServiceRoute& route, const fleetstate::PoolState* pool);
    Endpoint& endpointFor(const fleetstate::InstanceState& instance);
    void enqueueOrShed(ServiceRoute& route, const CallerRequestPtr& request);
    bool tryStart(ServiceRoute& route, const CallerRequestPtr& request);
    void startAttempt(
        ServiceRoute& route, const boost::intrusive_ptr<ServiceTarget>& target, const CallerRequestPtr& request);
    void onAttemptEnded(Attempt& attempt, Verdict verdict);
    void drainQueue(ServiceRoute& route);
    void drainQueues();
    void resume(const CallerRequestPtr& request, const std::string& reason);
    bool mayStart() const;
    void onTimer(const CallerRequestPtr& request);
    void removeFromQueue(CallerRequest& request);
    bool mayRetry(const CallerRequest& request);

    IEndpointTransport& transport_;
    const ISlotShares& shares_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    telemetry::ITracer& tracer_;
    DispatcherOptions options_;
    std::mt19937_64 random_;
    fleetstate::FleetStatePtr state_;
    std::map<std::string, boost::intrusive_ptr<Endpoint>> endpoints_;
    std::map<std::string, std::unique_ptr<ServiceRoute>> routes_;
    std::unique_ptr<ActiveTargets> activeTargets_;
    RetryBudget retryBudget_;
    DispatcherCounters counters_;
    PauseGuard pauseGuard_;
    foundation::SteadyTime servingUntil_ = foundation::SteadyTime::max();
};

} // namespace turmericsill::callers
