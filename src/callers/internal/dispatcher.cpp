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
    constexpr milliseconds slowAnswer { 1000 }; ///< A late answer after this counts against its endpoint.

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

/// One try of a request on one endpoint. It holds its slot until the transport ends it.
class Dispatcher::Attempt final : public IAttemptObserver {
public:
    Attempt(Dispatcher& owner, ServiceRoute& route, ServiceTargetPtr attemptTarget, CallerRequestPtr attemptRequest)
        : dispatcher(owner)
        , service(route.declared.name)
        , target(std::move(attemptTarget))
        , request(std::move(attemptRequest))
        , startedAt(owner.clock_.now())
        , startedWall(owner.clock_.wallNow())
    {
    }

    bool onSending() override
    {
        // The last check before anything leaves: the request may be done and the state may be stale.
        if (request->machine.isDone() || !dispatcher.mayStart() || dispatcher.clock_.now() >= request->notAfter)
            return false;
        request->machine.onSent();
        return true;
    }

    void onAnswer(httpserver::HttpResponse answer) override
    {
        const unsigned status = answer.result_int();
        const bool late = request->machine.isDone();
        const bool refused = answer["Turmericsill-Outcome"] == "not-run";
        dispatcher.counters_.lateAnswers += late;
        record(late ? "late answer" : std::to_string(status));
        const CallerRequestPtr kept = request;
        const bool slow = late && dispatcher.clock_.now() - startedAt > slowAnswer;
        const bool faulty = status >= firstServerError || slow;
        dispatcher.onAttemptEnded(*this, faulty ? Verdict::Faulty : late ? Verdict::Neutral : Verdict::Healthy);
        if (late)
            return;
        if (refused) {
            kept->machine.onRefused(dispatcher.mayRetry(*kept));
            return dispatcher.resume(kept, "refused by " + target->endpoint->instance);
        }
        kept->machine.onAnswer();
        CallerReply reply;
        reply.answer = std::move(answer);
        dispatcher.finish(kept, std::move(reply));
    }

    void onFailure(const foundation::Error& error) override
    {
        record(error.message());
        const CallerRequestPtr kept = request;
        // An attempt that was stopped here says nothing about the endpoint.
        dispatcher.onAttemptEnded(*this, error.code == foundation::Errc::Conflict ? Verdict::Neutral : Verdict::Faulty);
        if (kept->machine.isDone())
            return;
        if (kept->machine.phase() == OutcomeMachine::Phase::Connecting)
            kept->machine.onNotSent(dispatcher.mayRetry(*kept));
        else
            kept->machine.onBroken(kept->idempotent && dispatcher.mayRetry(*kept));
        dispatcher.resume(kept, error.message());
    }

    void record(const std::string& result) const
    {
        if (!dispatcher.tracer_.isEnabled())
            return;
        telemetry::Span span;
        span.context = context;
        span.parentSpanId = request->trace.spanId;
        span.name = "endpoint.attempt";
        span.start = startedWall;
        span.duration = toMilliseconds(dispatcher.clock_.now() - startedAt);
        span.attributes = { { "service", service }, { "instance", target->endpoint->instance }, { "result", result } };
        dispatcher.tracer_.record(span);
    }

    Dispatcher& dispatcher;
    std::string service;
    ServiceTargetPtr target;
    CallerRequestPtr request;
    SteadyTime startedAt;
    foundation::WallTime startedWall;
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
    , pauseGuard_(clock.now())
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

// Only what differs from the last state is visited; unchanged parts are shared between states.
void Dispatcher::applyState(const fleetstate::FleetStatePtr& state)
{
    const fleetstate::FleetStatePtr before = std::exchange(state_, state);
    if (before == state)
        return;
    std::set<std::string> changedPools;
    for (const auto& [name, pool] : state->pools) {
        if (before && before->findPool(name) == pool)
            continue;
        changedPools.insert(name);
        applyPool(*pool);
    }
    applyServices(before.get());
    const bool rosterChanged = !before || before->rosterVersion != state->rosterVersion;
    const bool servicesChanged = !before || before->tableOf(ObjectKind::Service) != state->tableOf(ObjectKind::Service);
    for (const auto& [name, route] : routes_) {
        const std::string& poolName = route->declared.pool;
        if (!rosterChanged && !servicesChanged && changedPools.count(poolName) == 0)
            continue;
        const fleetstate::PoolPtr pool = state->findService(name) ? state->findPool(poolName) : nullptr;
        updateRoute(*route, pool.get());
    }
    drainQueues();
}

void Dispatcher::applyServices(const fleetstate::FleetState* before)
{
    const auto& table = state_->tableOf(ObjectKind::Service);
    if (!table || (before && before->tableOf(ObjectKind::Service) == table))
        return;
    for (const auto& [name, holder] : table->objects) {
        auto& route = routes_[name];
        if (!route)
            route = std::make_unique<ServiceRoute>();
        route->declared = std::get<declarations::Service>(holder->object);
    }
}

void Dispatcher::applyPool(const fleetstate::PoolState& pool)
{
    for (const auto& [name, instance] : pool.instances) {
        Endpoint& endpoint = endpointFor(*instance);
        const bool accepts = instance->lifecycle == fleetstate::Lifecycle::Serving;
        if (endpoint.accepting && !accepts)
            transport_.closeIdle(name);
        endpoint.accepting = accepts;
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
        const bool stays = pool && pool->instances.count(target->first) != 0;
        if (!stays && !state_->findInstance(target->first))
            endpoints_.erase(target->first);
        target = stays ? std::next(target) : targets.erase(target);
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
    route.refreshTargets();
}

void Dispatcher::refreshShares()
{
    for (const auto& [name, route] : routes_) {
        for (const auto& [instance, target] : route->targetsByInstance) {
            target->slots = shares_.slots(route->declared, instance);
            target->connections = shares_.connections(route->declared, instance);
        }
    }
    drainQueues();
}

const declarations::Service* Dispatcher::findService(const std::string& name) const
{
    return state_ ? state_->findService(name) : nullptr;
}

void Dispatcher::submit(const CallerRequestPtr& request)
{
    accept(request);
    dispatch(request);
}

void Dispatcher::accept(const CallerRequestPtr&) { ++counters_.received; }

void Dispatcher::dispatch(const CallerRequestPtr& request)
{
    auto found = routes_.find(request->service);
    if (found == routes_.end() || !findService(request->service))
        return giveUp(request, notFound, "no service \"" + request->service + "\"");
    retryBudget_.onFirstAttempt();
    ServiceRoute& route = *found->second;
    if (!route.queue.empty() || !tryStart(route, request))
        enqueueOrShed(route, request);
}

// A request that would wait longer than it may is refused at once, while the caller can still go elsewhere.
void Dispatcher::enqueueOrShed(ServiceRoute& route, const CallerRequestPtr& request)
{
    if (request->machine.isDone())
        return;
    const SteadyTime now = clock_.now();
    if (now >= servingUntil_)
        return giveUp(request, serviceUnavailable, "this entry cannot confirm that its state is current");
    const milliseconds patience = std::min(options_.maximumQueueDelay, toMilliseconds(request->deadline - now));
    const milliseconds wait = route.expectedWait();
    const bool waitsTooLong
        = wait != milliseconds::max() && wait + route.serviceTime() > std::max(patience, milliseconds(1));
    if (waitsTooLong || counters_.queued >= options_.maximumQueued) {
        ++counters_.shed;
        return giveUp(request, serviceUnavailable, "overload");
    }
    request->queued = true;
    ++counters_.queued;
    intrusive_ptr_add_ref(request.get());
    route.queue.push_back(*request);
    armTimer(request, std::min(request->deadline, now + options_.maximumQueueDelay));
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

bool Dispatcher::mayStart() const
{
    const SteadyTime now = clock_.now();
    return now < servingUntil_ && !pauseGuard_.isHolding(now);
}

void Dispatcher::onLogRead(SteadyTime requestedAt)
{
    if (pauseGuard_.onLogRead(requestedAt))
        drainQueues();
}

bool Dispatcher::tryStart(ServiceRoute& route, const CallerRequestPtr& request)
{
    ServiceTargetPtr target = mayStart() ? route.pick(clock_.now(), random_) : nullptr;
    if (!target)
        return false;
    startAttempt(route, target, request);
    return true;
}

void Dispatcher::startAttempt(ServiceRoute& route, const ServiceTargetPtr& target, const CallerRequestPtr& request)
{
    request->machine.onDispatched();
    ++request->attempts;
    ++counters_.attempts;
    ++counters_.inProgress;
    if (target->inProgress++ == 0)
        activeTargets_->push_back(*target);
    ++target->endpoint->inProgress;
    if (target->endpoint->health.isOnTrial())
        target->endpoint->health.onTrialStarted();
    armTimer(request, request->deadline);
    boost::intrusive_ptr<Attempt> attempt = new Attempt(*this, route, target, request);
    attempt->context = request->trace.child(random_);
    request->message.set("traceparent", attempt->context.header());
    AttemptTarget destination { request->service, target->endpoint->instance, target->endpoint->address,
        target->connections, !request->idempotent };
    transport_.start(
        destination, request->message, request->deadline, request->deadline + options_.lateAnswerLimit, attempt);
}

void Dispatcher::onAttemptEnded(Attempt& attempt, Verdict verdict)
{
    --counters_.inProgress;
    if (--attempt.target->inProgress == 0)
        activeTargets_->erase(ActiveTargets::s_iterator_to(*attempt.target));
    --attempt.target->endpoint->inProgress;
    auto& health = attempt.target->endpoint->health;
    counters_.ejected -= health.isOnTrial();
    if (verdict == Verdict::Healthy)
        health.onSuccess();
    else if (verdict == Verdict::Faulty)
        health.onFailure(clock_.now());
    else
        health.onTrialEnded();
    counters_.ejected += health.isOnTrial();
    auto found = routes_.find(attempt.service);
    if (found == routes_.end())
        return;
    if (verdict == Verdict::Healthy)
        found->second->learnServiceTime(toMilliseconds(clock_.now() - attempt.startedAt));
    drainQueue(*found->second);
}

void Dispatcher::drainQueue(ServiceRoute& route)
{
    while (!route.queue.empty()) {
        CallerRequestPtr request(&route.queue.front());
        ServiceTargetPtr target = mayStart() ? route.pick(clock_.now(), random_) : nullptr;
        if (!target)
            return;
        removeFromQueue(*request);
        startAttempt(route, target, request);
    }
}

void Dispatcher::drainQueues()
{
    for (const auto& [name, route] : routes_)
        drainQueue(*route);
}

// After an attempt ended without an answer, the machine says whether the request goes on.
void Dispatcher::resume(const CallerRequestPtr& request, const std::string& reason)
{
    if (request->machine.isDone()) {
        CallerReply reply;
        reply.reason = reason;
        return finish(request, std::move(reply));
    }
    ++counters_.retries;
    ServiceRoute& route = *routes_.at(request->service);
    if (!tryStart(route, request))
        enqueueOrShed(route, request);
}

bool Dispatcher::mayRetry(const CallerRequest& request)
{
    return request.attempts < options_.maximumAttempts && clock_.now() < request.deadline && retryBudget_.tryTake();
}

void Dispatcher::armTimer(const CallerRequestPtr& request, SteadyTime when)
{
    if (request->timer != 0)
        timers_.cancel(request->timer);
    request->timer = timers_.schedule(when, [this, request] { onTimer(request); });
}

void Dispatcher::onTimer(const CallerRequestPtr& request)
{
    request->timer = 0;
    const bool passed = clock_.now() >= request->deadline;
    giveUp(request, serviceUnavailable, passed ? "the timeout passed" : "overload");
}

void Dispatcher::abandon(const CallerRequestPtr& request) { giveUp(request, serviceUnavailable, "the caller left"); }

void Dispatcher::giveUp(const CallerRequestPtr& request, unsigned status, const std::string& reason)
{
    if (request->machine.isDone())
        return;
    removeFromQueue(*request);
    request->machine.onGivenUp();
    CallerReply reply;
    reply.status = status;
    reply.reason = reason;
    finish(request, std::move(reply));
}

void Dispatcher::finish(const CallerRequestPtr& request, CallerReply reply)
{
    if (request->timer != 0)
        timers_.cancel(std::exchange(request->timer, 0));
    reply.outcome = request->machine.outcome();
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

bool Dispatcher::keepsToShares() const
{
    return std::none_of(activeTargets_->begin(), activeTargets_->end(),
        [](const ServiceTarget& target) { return target.inProgress > target.slots; });
}

std::vector<std::string> Dispatcher::busyInstances() const
{
    std::set<std::string> busy;
    for (const ServiceTarget& target : *activeTargets_) {
        if (!target.endpoint->accepting)
            busy.insert(target.endpoint->instance);
    }
    return { busy.begin(), busy.end() };
}

} // namespace turmericsill::callers
