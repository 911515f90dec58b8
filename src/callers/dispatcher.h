#pragma once

#include "callers/iendpointtransport.h"
#include "callers/islotshares.h"
#include "callers/pausedetector.h"
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

/// Dispatches requests to the endpoints of their service's pool within this entry's share of the endpoints' slots.
/// Queues requests while no slot is free, sheds those that would wait too long, and retries where that is safe.
class Dispatcher {
public:
    Dispatcher(IEndpointTransport& transport, const ISlotShares& shares, foundation::ITimerQueue& timers,
        const foundation::IClock& clock, telemetry::ITracer& tracer, const DispatcherOptions& options,
        std::uint64_t seed);
    ~Dispatcher();

    /// Applies a new fleet state: services, endpoints and shares.
    void applyState(const fleetstate::FleetStatePtr& state);

    /// Reads the shares again after they changed.
    void refreshShares();

    /// Sets the time from which no attempt is started any more and new requests are refused as not run.
    void setServingUntil(foundation::SteadyTime until) { servingUntil_ = until; }

    /// Called by a periodic timer of the module, so that pauses of the process are detected.
    void onTick() { pauseDetector_.onTick(clock_.now()); }

    /// Called when a log read that was sent at `requestedAt` has ended and its state has been applied.
    void onLogRead(foundation::SteadyTime requestedAt);

    /// Handles a request; the reply is sent by the request's deadline at the latest.
    void submit(const CallerRequestPtr& request);

    /// First half of submit(): counts the request as received.
    void countReceived(const CallerRequestPtr& request);

    /// Second half of submit(): starts an attempt, or queues or sheds the request.
    void dispatch(const CallerRequestPtr& request);

    /// Cancels the request at `when` unless it has ended by then. Replaces the request's earlier timeout.
    void scheduleTimeout(const CallerRequestPtr& request, foundation::SteadyTime when);

    /// Ends a request that is not done. The outcome depends on whether the request may have run.
    void cancel(const CallerRequestPtr& request, unsigned status, const std::string& reason);

    /// Sends the reply to a request whose state machine is done.
    void finish(const CallerRequestPtr& request, CallerReply reply);

    /// Called when the caller disconnects. A queued request is dropped; an attempt in progress continues, but its
    /// response is discarded.
    void onCallerDisconnected(const CallerRequestPtr& request);

    /// The declaration of a service; null if the service is unknown.
    const declarations::Service* findService(const std::string& name) const;

    /// Instances that are no longer serving but on which this entry still has requests in progress.
    std::vector<std::string> busyInstances() const;

    /// Whether no target has more requests in progress than this entry's share of its slots.
    bool isWithinShares() const;

    /// Log offset of the first record that is not contained in the applied state.
    std::uint64_t appliedOffset() const { return state_ ? state_->nextOffset : 0; }

    const DispatcherCounters& counters() const { return counters_; }

    bool isIdle() const { return counters_.queued == 0 && counters_.inProgress == 0; }

private:
    class Attempt;

    /// What an attempt's result means for the health of its endpoint.
    enum class HealthSignal { Success, Failure, Neutral };

    void applyServices(const fleetstate::FleetState* previous);
    void applyPool(const fleetstate::PoolState& pool);
    void updateRoute(ServiceRoute& route, const fleetstate::PoolState* pool);
    Endpoint& endpointFor(const fleetstate::InstanceState& instance);
    void enqueueOrShed(ServiceRoute& route, const CallerRequestPtr& request);
    bool tryStart(ServiceRoute& route, const CallerRequestPtr& request);
    void startAttempt(
        ServiceRoute& route, const boost::intrusive_ptr<ServiceTarget>& target, const CallerRequestPtr& request);
    void onAttemptEnded(Attempt& attempt, HealthSignal healthSignal);
    void startQueued(ServiceRoute& route);
    void startAllQueued();
    void retryOrFinish(const CallerRequestPtr& request, const std::string& reason);
    bool canStart() const;
    void onTimeout(const CallerRequestPtr& request);
    void removeFromQueue(CallerRequest& request);
    bool canRetry(const CallerRequest& request);

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
    PauseDetector pauseDetector_;
    foundation::SteadyTime servingUntil_ = foundation::SteadyTime::max();
};

} // namespace turmericsill::callers
