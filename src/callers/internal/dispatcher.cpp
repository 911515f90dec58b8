#include "callers/dispatcher.h"

#include "callers/internal/serviceroute.h"

#include <algorithm>
#include <set>
#include <utility>

namespace turmericsill::callers {

using declarations::ObjectKind;
using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

    constexpr unsigned serviceUnavailable = 503;
    constexpr unsigned gatewayTimeout = 504;
    constexpr unsigned notFound = 404;
    constexpr unsigned firstServerError = 500;

    /// A late response counts as a failure of the endpoint if the attempt took longer than this.
    constexpr milliseconds lateResponseFailureThreshold { 1000 };

    milliseconds toMilliseconds(SteadyTime::duration duration)
    {
        return std::chrono::duration_cast<milliseconds>(duration);
    }

} // namespace

const char* outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

/// One attempt to run a request on an endpoint. It occupies a slot until the transport reports its end.
class Dispatcher::Attempt final : public IAttemptObserver {
public:
    Attempt(Dispatcher& owner, ServiceRoute& route, ServiceTargetPtr attemptTarget, CallerRequestPtr attemptRequest)
        : dispatcher(owner)
        , service(route.declared.name)
        , target(std::move(attemptTarget))
        , request(std::move(attemptRequest))
        , startedAt(owner.clock_.now())
        , startedWallTime(owner.clock_.wallNow())
    {
    }

    bool onBeforeSend() override
    {
        // Last check before the first byte: the request may be done by now, and the fleet state may be stale.
        if (request->stateMachine.isDone() || !dispatcher.canStart()
            || dispatcher.clock_.now() >= request->sendDeadline)
            return false;
        request->stateMachine.onFirstByteSent();
        return true;
    }

    void onResponse(httpserver::HttpResponse response) override
    {
        const unsigned status = response.result_int();
        const bool isLate = request->stateMachine.isDone();
        const bool isRefused = response["Turmericsill-Outcome"] == "not-run";
        dispatcher.counters_.lateResponses += isLate;
        recordSpan(isLate ? "late answer" : std::to_string(status));
        const CallerRequestPtr heldRequest = request;
        const bool isSlow = isLate && dispatcher.clock_.now() - startedAt > lateResponseFailureThreshold;
        const bool isFaulty = status >= firstServerError || isSlow;
        dispatcher.onAttemptEnded(*this,
            isFaulty     ? HealthSignal::Failure
                : isLate ? HealthSignal::Neutral
                         : HealthSignal::Success);
        if (isLate)
            return;
        if (isRefused) {
            heldRequest->stateMachine.onRefused(dispatcher.canRetry(*heldRequest));
            return dispatcher.retryOrFinish(heldRequest, "refused by " + target->endpoint->instance);
        }
        heldRequest->stateMachine.onResponse();
        CallerReply reply;
        reply.response = std::move(response);
        dispatcher.finish(heldRequest, std::move(reply));
    }

    void onFailure(const foundation::Error& error) override
    {
        recordSpan(error.message());
        const CallerRequestPtr heldRequest = request;
        // Conflict means that this entry stopped the attempt itself, which tells nothing about the endpoint.
        dispatcher.onAttemptEnded(
            *this, error.code == foundation::Errc::Conflict ? HealthSignal::Neutral : HealthSignal::Failure);
        if (heldRequest->stateMachine.isDone())
            return;
        if (heldRequest->stateMachine.state() == RequestStateMachine::State::Connecting)
            heldRequest->stateMachine.onFailedBeforeSend(dispatcher.canRetry(*heldRequest));
        else
            heldRequest->stateMachine.onFailedAfterSend(heldRequest->idempotent && dispatcher.canRetry(*heldRequest));
        dispatcher.retryOrFinish(heldRequest, error.message());
    }

    void recordSpan(const std::string& result) const
    {
        if (!dispatcher.tracer_.isEnabled())
            return;
        telemetry::Span span;
        span.context = context;
        span.parentSpanId = request->trace.spanId;
        span.name = "endpoint.attempt";
        span.start = startedWallTime;
        span.duration = toMilliseconds(dispatcher.clock_.now() - startedAt);
        span.attributes = { { "service", service }, { "instance", target->endpoint->instance }, { "result", result } };
        dispatcher.tracer_.record(span);
    }

    Dispatcher& dispatcher;
    std::string service;
    ServiceTargetPtr target;
    CallerRequestPtr request;
    SteadyTime startedAt;
    foundation::WallTime startedWallTime;
    telemetry::TraceContext context;
};

Dispatcher::Dispatcher(IEndpointTransport& transport, const ISlotShares& shares, foundation::ITimerQueue& timers,
    const foundation::IClock& clock, telemetry::ITracer& tracer, const DispatcherOptions& options, std::uint64_t seed)
    : transport_(transport)
    , shares_(shares)
    , timers_(timers)
    , clock_(clock)
    , tracer_(tracer)
    , options_(options)
    , random_(seed)
    , activeTargets_(std::make_unique<ActiveTargets>())
    , pauseDetector_(clock.now())
{
}

Dispatcher::~Dispatcher()
{
    activeTargets_->clear();
    for (auto& [name, route] : routes_) {
        while (!route->queue.empty())
            removeFromQueue(route->queue.front());
    }
}

// States share their unchanged parts, so comparing pointers finds what differs from the previous state.
void Dispatcher::applyState(const fleetstate::FleetStatePtr& state)
{
    const fleetstate::FleetStatePtr previous = std::exchange(state_, state);
    if (previous == state)
        return;
    std::set<std::string> changedPools;
    for (const auto& [name, pool] : state->pools) {
        if (previous && previous->findPool(name) == pool)
            continue;
        changedPools.insert(name);
        applyPool(*pool);
    }
    applyServices(previous.get());
    const bool rosterChanged = !previous || previous->rosterVersion != state->rosterVersion;
    const bool servicesChanged
        = !previous || previous->objectTable(ObjectKind::Service) != state->objectTable(ObjectKind::Service);
    for (const auto& [name, route] : routes_) {
        const std::string& poolName = route->declared.pool;
        if (!rosterChanged && !servicesChanged && changedPools.count(poolName) == 0)
            continue;
        const fleetstate::PoolPtr pool = state->findService(name) ? state->findPool(poolName) : nullptr;
        updateRoute(*route, pool.get());
    }
    startAllQueued();
}

void Dispatcher::applyServices(const fleetstate::FleetState* previous)
{
    const auto& table = state_->objectTable(ObjectKind::Service);
    if (!table || (previous && previous->objectTable(ObjectKind::Service) == table))
        return;
    for (const auto& [name, declaration] : table->objects) {
        auto& route = routes_[name];
        if (!route)
            route = std::make_unique<ServiceRoute>();
        route->declared = std::get<declarations::Service>(declaration->object);
    }
}

void Dispatcher::applyPool(const fleetstate::PoolState& pool)
{
    for (const auto& [name, instance] : pool.instances) {
        Endpoint& endpoint = endpointFor(*instance);
        const bool isServing = instance->lifecycle == fleetstate::Lifecycle::Serving;
        if (endpoint.accepting && !isServing)
            transport_.closeIdleConnections(name);
        endpoint.accepting = isServing;
    }
}

Endpoint& Dispatcher::endpointFor(const fleetstate::InstanceState& instance)
{
    EndpointPtr& endpoint = endpoints_[instance.declared.name];
    if (!endpoint) {
        endpoint = new Endpoint();
        endpoint->instance = instance.declared.name;
        if (auto address = foundation::parseAddress(instance.declared.address))
            endpoint->address = *address;
    }
    return *endpoint;
}

void Dispatcher::updateRoute(ServiceRoute& route, const fleetstate::PoolState* pool)
{
    auto& targets = route.targetsByInstance;
    for (auto target = targets.begin(); target != targets.end();) {
        const bool isInPool = pool && pool->instances.count(target->first) != 0;
        if (!isInPool && !state_->findInstance(target->first))
            endpoints_.erase(target->first);
        target = isInPool ? std::next(target) : targets.erase(target);
    }
    if (pool) {
        for (const auto& [name, instance] : pool->instances) {
            ServiceTargetPtr& target = targets[name];
            if (!target)
                target = new ServiceTarget();
            target->endpoint = &endpointFor(*instance);
            target->slots = shares_.slots(route.declared, name);
            target->connections = shares_.connections(route.declared, name);
        }
    }
    route.rebuildTargets();
}

void Dispatcher::refreshShares()
{
    for (const auto& [name, route] : routes_) {
        for (const auto& [instance, target] : route->targetsByInstance) {
            target->slots = shares_.slots(route->declared, instance);
            target->connections = shares_.connections(route->declared, instance);
        }
    }
    startAllQueued();
}

const declarations::Service* Dispatcher::findService(const std::string& name) const
{
    return state_ ? state_->findService(name) : nullptr;
}

void Dispatcher::submit(const CallerRequestPtr& request)
{
    countReceived(request);
    dispatch(request);
}

void Dispatcher::countReceived(const CallerRequestPtr&) { ++counters_.received; }

void Dispatcher::dispatch(const CallerRequestPtr& request)
{
    auto found = routes_.find(request->service);
    if (found == routes_.end() || !findService(request->service))
        return cancel(request, notFound, "no service \"" + request->service + "\"");
    retryBudget_.onFirstAttempt();
    ServiceRoute& route = *found->second;
    if (!route.queue.empty() || !tryStart(route, request))
        enqueueOrShed(route, request);
}

// A request that would wait too long is refused immediately, so that the caller can still use another entry.
void Dispatcher::enqueueOrShed(ServiceRoute& route, const CallerRequestPtr& request)
{
    if (request->stateMachine.isDone())
        return;
    const SteadyTime now = clock_.now();
    if (now >= servingUntil_)
        return cancel(request, serviceUnavailable, "this entry cannot confirm that its fleet state is current");
    const milliseconds maximumWait = std::min(options_.maximumQueueDelay, toMilliseconds(request->deadline - now));
    const milliseconds wait = route.estimatedWait();
    const bool waitsTooLong
        = wait != milliseconds::max() && wait + route.serviceTime() > std::max(maximumWait, milliseconds(1));
    if (waitsTooLong || counters_.queued >= options_.maximumQueuedRequests) {
        ++counters_.shed;
        return cancel(request, serviceUnavailable, "overload");
    }
    request->queued = true;
    ++counters_.queued;
    intrusive_ptr_add_ref(request.get());
    route.queue.push_back(*request);
    scheduleTimeout(request, std::min(request->deadline, now + options_.maximumQueueDelay));
}

void Dispatcher::removeFromQueue(CallerRequest& request)
{
    auto found = routes_.find(request.service);
    if (!request.queued || found == routes_.end())
        return;
    request.queued = false;
    --counters_.queued;
    found->second->queue.erase(ServiceRoute::Queue::s_iterator_to(request));
    intrusive_ptr_release(&request);
}

bool Dispatcher::canStart() const
{
    const SteadyTime now = clock_.now();
    return now < servingUntil_ && !pauseDetector_.isStateUnconfirmed(now);
}

void Dispatcher::onLogRead(SteadyTime requestedAt)
{
    if (pauseDetector_.onLogRead(requestedAt))
        startAllQueued();
}

bool Dispatcher::tryStart(ServiceRoute& route, const CallerRequestPtr& request)
{
    ServiceTargetPtr target = canStart() ? route.selectTarget(clock_.now(), random_) : nullptr;
    if (!target)
        return false;
    startAttempt(route, target, request);
    return true;
}

void Dispatcher::startAttempt(ServiceRoute& route, const ServiceTargetPtr& target, const CallerRequestPtr& request)
{
    request->stateMachine.onAttemptStarted();
    ++request->attempts;
    ++counters_.attempts;
    ++counters_.inProgress;
    if (target->inProgress++ == 0)
        activeTargets_->push_back(*target);
    ++target->endpoint->inProgress;
    if (target->endpoint->health.isEjected())
        target->endpoint->health.onTrialStarted();
    scheduleTimeout(request, request->deadline);
    boost::intrusive_ptr<Attempt> attempt = new Attempt(*this, route, target, request);
    attempt->context = request->trace.child(random_);
    request->message.set("traceparent", attempt->context.header());
    AttemptTarget destination { request->service, target->endpoint->instance, target->endpoint->address,
        target->connections, !request->idempotent };
    transport_.start(
        destination, request->message, request->deadline, request->deadline + options_.lateResponseTimeout, attempt);
}

void Dispatcher::onAttemptEnded(Attempt& attempt, HealthSignal healthSignal)
{
    --counters_.inProgress;
    if (--attempt.target->inProgress == 0)
        activeTargets_->erase(ActiveTargets::s_iterator_to(*attempt.target));
    --attempt.target->endpoint->inProgress;
    auto& health = attempt.target->endpoint->health;
    counters_.ejected -= health.isEjected();
    if (healthSignal == HealthSignal::Success)
        health.onSuccess();
    else if (healthSignal == HealthSignal::Failure)
        health.onFailure(clock_.now());
    else
        health.onTrialEnded();
    counters_.ejected += health.isEjected();
    auto found = routes_.find(attempt.service);
    if (found == routes_.end())
        return;
    if (healthSignal == HealthSignal::Success)
        found->second->recordServiceTime(toMilliseconds(clock_.now() - attempt.startedAt));
    startQueued(*found->second);
}

void Dispatcher::startQueued(ServiceRoute& route)
{
    while (!route.queue.empty()) {
        CallerRequestPtr request(&route.queue.front());
        ServiceTargetPtr target = canStart() ? route.selectTarget(clock_.now(), random_) : nullptr;
        if (!target)
            return;
        removeFromQueue(*request);
        startAttempt(route, target, request);
    }
}

void Dispatcher::startAllQueued()
{
    for (const auto& [name, route] : routes_)
        startQueued(*route);
}

// Called after an attempt that did not answer the request. The state machine has decided whether to retry.
void Dispatcher::retryOrFinish(const CallerRequestPtr& request, const std::string& reason)
{
    if (request->stateMachine.isDone()) {
        CallerReply reply;
        reply.reason = reason;
        return finish(request, std::move(reply));
    }
    ++counters_.retries;
    ServiceRoute& route = *routes_.at(request->service);
    if (!tryStart(route, request))
        enqueueOrShed(route, request);
}

bool Dispatcher::canRetry(const CallerRequest& request)
{
    return request.attempts < options_.maximumAttempts && clock_.now() < request.deadline && retryBudget_.tryAcquire();
}

void Dispatcher::scheduleTimeout(const CallerRequestPtr& request, SteadyTime when)
{
    if (request->timer != 0)
        timers_.cancel(request->timer);
    request->timer = timers_.schedule(when, [this, request] { onTimeout(request); });
}

void Dispatcher::onTimeout(const CallerRequestPtr& request)
{
    request->timer = 0;
    const bool timedOut = clock_.now() >= request->deadline;
    cancel(request, serviceUnavailable, timedOut ? "the request timed out" : "overload");
}

void Dispatcher::onCallerDisconnected(const CallerRequestPtr& request)
{
    cancel(request, serviceUnavailable, "the caller disconnected");
}

void Dispatcher::cancel(const CallerRequestPtr& request, unsigned status, const std::string& reason)
{
    if (request->stateMachine.isDone())
        return;
    removeFromQueue(*request);
    request->stateMachine.onCancelled();
    CallerReply reply;
    reply.status = status;
    reply.reason = reason;
    finish(request, std::move(reply));
}

void Dispatcher::finish(const CallerRequestPtr& request, CallerReply reply)
{
    if (request->timer != 0)
        timers_.cancel(std::exchange(request->timer, 0));
    reply.outcome = request->stateMachine.outcome();
    if (reply.outcome == Outcome::Unknown)
        reply.status = gatewayTimeout;
    counters_.answered += reply.outcome == Outcome::Answered;
    counters_.notRun += reply.outcome == Outcome::NotRun;
    counters_.unknown += reply.outcome == Outcome::Unknown;
    auto callback = std::move(request->onReply);
    request->onReply = nullptr;
    if (callback)
        callback(std::move(reply));
}

bool Dispatcher::isWithinShares() const
{
    return std::none_of(activeTargets_->begin(), activeTargets_->end(),
        [](const ServiceTarget& target) { return target.inProgress > target.slots; });
}

std::vector<std::string> Dispatcher::busyInstances() const
{
    std::set<std::string> instances;
    for (const ServiceTarget& target : *activeTargets_) {
        if (!target.endpoint->accepting)
            instances.insert(target.endpoint->instance);
    }
    return { instances.begin(), instances.end() };
}

} // namespace turmericsill::callers
