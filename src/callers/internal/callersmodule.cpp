#include "callers/callersmodule.h"

#include "callers/callerhandler.h"
#include "callers/httpendpointtransport.h"
#include "callers/rostershares.h"
#include "fleetlog/types/stateupdate.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/eventloopthread.h"
#include "foundation/feed.h"
#include "foundation/systemclock.h"
#include "httpclient/types/responselimits.h"
#include "httpserver/httpserver.h"
#include "membership/types/messages.h"
#include "telemetry/readiness.h"

#include <boost/asio/post.hpp>
#include <future>
#include <random>

namespace turmericsill::callers {

using foundation::milliseconds;
using membership::CallerReport;
using membership::ServingLimits;

namespace {

    constexpr milliseconds reportInterval { 50 }; ///< Interval of reports to other modules and of metrics updates.
    constexpr std::size_t maximumResponseBytes = 16u << 20;

    httpserver::ServerLimits serverLimits(const settings::DaemonSettings& settings)
    {
        httpserver::ServerLimits limits;
        limits.maximumConnections = settings.maximumConnections;
        limits.maximumBodyBytes = settings.maximumBodyBytes;
        limits.requestTimeout = settings.headerTimeout;
        limits.idleTimeout = settings.idleTimeout;
        return limits;
    }

    DispatcherOptions dispatcherOptions(const settings::DaemonSettings& settings)
    {
        DispatcherOptions options;
        options.maximumQueuedRequests = settings.maximumQueuedRequests;
        return options;
    }

} // namespace

/// The components of the module, which run on its thread.
class CallersModule::Impl {
public:
    explicit Impl(const settings::DaemonSettings& daemonSettings)
        : settings(daemonSettings)
        , thread("callers")
        , timers(thread.context())
        , transport(thread.context(), maximumResponseBytes)
        , shares(daemonSettings.entry)
        , reportFeed(std::make_shared<foundation::Feed<CallerReport>>())
        , counterFeed(std::make_shared<foundation::Feed<DispatcherCounters>>())
        , readBudget(httpserver::readBudgetLimitsWithin(settings::requestMemory(daemonSettings).callers))
    {
        httpclient::setResponseLimits(
            thread.context(), httpclient::responseLimitsWithin(settings::responseMemory(settings).callers));
    }

    void createComponents(foundation::ModuleRegistry& registry)
    {
        auto metrics = registry.resolve<telemetry::MetricsRegistry>();
        tracer = registry.resolve<telemetry::ITracer>();
        readiness = registry.resolve<telemetry::Readiness>();
        readiness->setReason("shares", "this entry has no share of the endpoints' slots yet");
        std::random_device randomDevice;
        dispatcher = std::make_unique<Dispatcher>(
            transport, shares, timers, clock, *tracer, dispatcherOptions(settings), randomDevice());
        deduplicator = std::make_unique<RequestDeduplicator>(settings.entry, *dispatcher, transport, timers, clock);
        handler = std::make_unique<CallerHandler>(
            *dispatcher, *deduplicator, clock, *tracer, *metrics, settings.defaultTimeout, randomDevice());
        server
            = std::make_unique<httpserver::HttpServer>(thread.context(), *handler, serverLimits(settings), &readBudget);
        queuedGauge = &metrics->gauge("caller_queued", "Requests that wait for a slot");
        inProgressGauge = &metrics->gauge("caller_in_progress", "Attempts in progress on endpoints");
        ejectedGauge = &metrics->gauge("endpoints_ejected", "Endpoints ejected for failures");
        connectionsGauge = &metrics->gauge("caller_connections", "Open connections of callers");
        attemptsGauge = &metrics->gauge("endpoint_attempts_total", "Attempts made on endpoints");
        retriesGauge = &metrics->gauge("endpoint_retries_total", "Attempts made after a failed one");
        shedGauge = &metrics->gauge("caller_shed_total", "Requests refused because of overload");
        malformedGauge = &metrics->gauge("caller_malformed_total", "Malformed or oversized requests refused");
        abandonedGauge = &metrics->gauge("caller_abandoned_total", "Callers that left before their reply");
        lateGauge = &metrics->gauge("endpoint_late_answers_total", "Answers that came after the caller's timeout");
    }

    void onState(const fleetlog::StateUpdate& update)
    {
        if (!update.state)
            return;
        shares.addRoster(update.state->rosterVersion, update.state->admittedEntries());
        if (update.caughtUp)
            deduplicator->onState(*update.state);
        dispatcher->applyState(update.state);
        dispatcher->onLogRead(update.requestedAt);
        publishReport();
    }

    void onServingLimits(const ServingLimits& limits)
    {
        servingLimits = limits;
        dispatcher->setServingUntil(limits.servingUntil);
        deduplicator->setLeaseExpiry(limits.leaseExpiry);
        deduplicator->onRosterSettled(limits.settledRosterVersion);
        if (shares.onRosterSettled(limits.settledRosterVersion))
            dispatcher->refreshShares();
        updateReadiness();
    }

    void updateReadiness()
    {
        if (shares.hasShare())
            readiness->clearReason("shares");
        else
            readiness->setReason("shares", "this entry has no share of the endpoints' slots");
        if (clock.now() < servingLimits.servingUntil)
            readiness->clearReason("fence");
        else
            readiness->setReason("fence", "this entry cannot confirm that its fleet state is current");
    }

    // A roster is acknowledged only when no target has more requests in progress than its shares allow.
    void publishReport()
    {
        if (dispatcher->isWithinShares())
            acknowledgedRosterVersion = shares.newestRosterVersion();
        reportFeed->publish({ dispatcher->appliedOffset(), acknowledgedRosterVersion, dispatcher->busyInstances() });
    }

    void publishPeriodically()
    {
        dispatcher->onTick();
        publishReport();
        const DispatcherCounters current = dispatcher->counters();
        counterFeed->publish(current);
        queuedGauge->Set(static_cast<double>(current.queued));
        inProgressGauge->Set(static_cast<double>(current.inProgress));
        ejectedGauge->Set(static_cast<double>(current.ejected));
        attemptsGauge->Set(static_cast<double>(current.attempts));
        retriesGauge->Set(static_cast<double>(current.retries));
        shedGauge->Set(static_cast<double>(current.shed));
        lateGauge->Set(static_cast<double>(current.lateResponses));
        const auto& http = server->counters();
        connectionsGauge->Set(static_cast<double>(http.open));
        malformedGauge->Set(static_cast<double>(http.malformedRequests + http.oversizedRequests));
        abandonedGauge->Set(static_cast<double>(http.abandonedRequests));
        updateReadiness();
        timers.schedule(clock.now() + reportInterval, [this] { publishPeriodically(); });
    }

    void notifyWhenIdle(const std::shared_ptr<std::promise<void>>& idle)
    {
        if (dispatcher->isIdle() && server->counters().open == 0)
            return idle->set_value();
        server->beginShutdown();
        timers.schedule(clock.now() + reportInterval, [this, idle] { notifyWhenIdle(idle); });
    }

    settings::DaemonSettings settings;
    foundation::SystemClock clock;
    foundation::EventLoopThread thread;
    foundation::AsioTimerQueue timers;
    HttpEndpointTransport transport;
    RosterShares shares;
    std::shared_ptr<foundation::Feed<CallerReport>> reportFeed;
    std::shared_ptr<foundation::Feed<DispatcherCounters>> counterFeed;
    std::shared_ptr<telemetry::ITracer> tracer;
    std::shared_ptr<telemetry::Readiness> readiness;
    std::unique_ptr<Dispatcher> dispatcher;
    std::unique_ptr<RequestDeduplicator> deduplicator;
    std::unique_ptr<CallerHandler> handler;
    httpserver::ReadBudget readBudget;
    std::unique_ptr<httpserver::HttpServer> server;
    ServingLimits servingLimits;
    std::uint64_t acknowledgedRosterVersion = 0;
    prometheus::Gauge* queuedGauge = nullptr;
    prometheus::Gauge* inProgressGauge = nullptr;
    prometheus::Gauge* ejectedGauge = nullptr;
    prometheus::Gauge* connectionsGauge = nullptr;
    prometheus::Gauge* attemptsGauge = nullptr;
    prometheus::Gauge* retriesGauge = nullptr;
    prometheus::Gauge* shedGauge = nullptr;
    prometheus::Gauge* malformedGauge = nullptr;
    prometheus::Gauge* abandonedGauge = nullptr;
    prometheus::Gauge* lateGauge = nullptr;
};

CallersModule::CallersModule(const settings::DaemonSettings& settings)
    : impl_(std::make_unique<Impl>(settings))
{
}

CallersModule::~CallersModule() = default;

void CallersModule::registerExports(foundation::ModuleRegistry& registry)
{
    registry.provide(impl_->reportFeed);
    registry.provide(impl_->counterFeed);
}

void CallersModule::resolveImports(foundation::ModuleRegistry& registry)
{
    impl_->createComponents(registry);
    registry.resolve<foundation::Feed<fleetlog::StateUpdate>>()->subscribe(
        impl_->thread.context(), [impl = impl_.get()](const fleetlog::StateUpdate& update) { impl->onState(update); });
    registry.resolve<foundation::Feed<ServingLimits>>()->subscribe(
        impl_->thread.context(), [impl = impl_.get()](const ServingLimits& limits) { impl->onServingLimits(limits); });
}

foundation::Result<void> CallersModule::start()
{
    auto listening = impl_->server->listen(impl_->settings.callerAddress);
    if (!listening)
        return listening;
    boost::asio::post(impl_->thread.context(), [impl = impl_.get()] { impl->publishPeriodically(); });
    impl_->thread.start();
    return {};
}

void CallersModule::drain(milliseconds timeout)
{
    auto idle = std::make_shared<std::promise<void>>();
    auto idleFuture = idle->get_future();
    boost::asio::post(impl_->thread.context(), [impl = impl_.get(), idle] { impl->notifyWhenIdle(idle); });
    idleFuture.wait_for(timeout);
}

void CallersModule::stop() { impl_->thread.stop(); }

} // namespace turmericsill::callers
