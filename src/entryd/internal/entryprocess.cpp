#include "entryd/entryprocess.h"

#include <csignal>
#include <utility>

namespace turmericsill::entryd {

using foundation::milliseconds;
using foundation::Result;

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusInvalid = 400;
    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned statusUnknown = 504;
    constexpr std::size_t readConnections = 12; ///< Three long reads, and reads for callers.
    /// A hundred appends a second, of which a third lose their answers and wait 2.5 s for them.
    constexpr std::size_t writeConnections = 100;
    constexpr std::size_t machineControlConnections = 4;
    constexpr milliseconds balancerNotice { 2300 }; ///< Two of the balancer's checks, one a second.
    constexpr milliseconds statusReserve { 10000 }; ///< Beyond the time for which final jobs must be reported.
    constexpr milliseconds stopReserve { 1500 }; ///< Of the grace period, left unused.
    constexpr milliseconds stopCheckInterval { 50 };
    constexpr milliseconds readinessInterval { 100 };
    constexpr milliseconds longestUnconfirmed { 1800 }; ///< Without an answer of the store: four joins.

    std::uint64_t startOfProcess()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
    }

    httpserver::ServerLimits callerLimits()
    {
        httpserver::ServerLimits limits;
        limits.maximumConnections = 3000; // Of 4,100 descriptors, the rest for files, instances and the store.
        return limits;
    }

} // namespace

PeerCallHandler::PeerCallHandler(control::ControlDuty& control, telemetry::TelemetryHandler& telemetry)
    : control_(control)
    , telemetry_(telemetry)
{
}

void PeerCallHandler::handle(const httpserver::HttpExchangePtr& exchange)
{
    const auto target = exchange->request().target();
    if (target == control::recordsPath)
        return store(exchange);
    if (target != control::controlStatePath)
        return telemetry_.handle(exchange);
    exchange->respond(
        httpserver::makeResponse(statusOk, control::encodeControlState(control_.state()), "application/json"));
}

void PeerCallHandler::store(const httpserver::HttpExchangePtr& exchange)
{
    const auto records = control::decodeRecords(exchange->request().body());
    if (!records)
        return exchange->respond(httpserver::makeResponse(statusInvalid, records.error().message()));
    control_.store(*records, [exchange](const Result<void>& stored) {
        if (stored)
            return exchange->respond(httpserver::makeResponse(statusOk, ""));
        const bool isSurelyNotStored = stored.error().code == foundation::Errc::Unavailable;
        exchange->respond(
            httpserver::makeResponse(isSurelyNotStored ? statusUnavailable : statusUnknown, stored.error().message()));
    });
}

EntryProcess::EntryProcess(settings::EntrySettings settings, std::string settingsPath)
    : settings_(std::move(settings))
    , settingsPath_(std::move(settingsPath))
    , timers_(context_)
    , eventLog_(settings_.entry, clock_)
    , events_(metrics_, eventLog_)
    , storeReads_(context_, settings_.storeAddress, readConnections)
    , storeWrites_(context_, settings_.storeAddress, writeConnections)
    , machineControl_(context_, settings_.machineControlAddress, machineControlConnections)
    , log_(storeReads_, storeWrites_, { settings_.entry, settings::processorMilliShare(settings_) })
    , fleetSource_(storeReads_,
          [this](const foundation::Error& error) {
              events_.write("entry.foreign", { { "reason", error.message() } });
          })
    , instances_(context_)
    , machines_(machineControl_, settings_.entry)
    , advice_(context_, settings_.adviceAddress)
    , follower_(log_, log_, clock_, timers_, eventlog::FollowerOptions())
    , peers_(context_)
    , controlContext_ { log_, log_, follower_, fleetSource_, instances_, advice_, clock_, timers_, events_, peers_ }
    , control_(controlContext_, log_, machines_, controlSettings(),
          { settings_.entry, settings::processorMilliShare(settings_), startOfProcess(),
              settings_.telemetryAddress.text() })
    , router_(control_, controlContext_, settings_.entry)
    , submitter_(router_, clock_, timers_)
    , service_(follower_, submitter_, clock_, events_)
    , declarations_(fleetSource_, clock_, timers_, events_)
    , jobFront_(service_, clock_)
    , readyFront_(readiness_)
    , telemetryHandler_(metrics_, readiness_)
    , peerHandler_(control_, telemetryHandler_)
    , callerServer_(context_, jobFront_, callerLimits())
    , readyServer_(context_, readyFront_, httpserver::ServerLimits())
    , telemetryServer_(context_, peerHandler_, httpserver::ServerLimits())
    , signals_(context_, SIGTERM, SIGINT, SIGHUP)
{
}

control::ControlSettings EntryProcess::controlSettings() const
{
    control::ControlSettings result;
    result.lease.longestLease = settings_.longestLease;
    result.lease.length = std::min(result.lease.length, settings_.longestLease);
    result.holderInterval = settings_.holderInterval;
    result.statusRetention = settings_.statusRetention + statusReserve;
    constexpr int snapshotsPerRetention = 5;
    result.snapshotInterval = settings_.logRetention / snapshotsPerRetention;
    return result;
}

void EntryProcess::connectDuties()
{
    service_.setControlProbe(
        [this] { return control_.isController(); }, [this](jobs::JobId job) { return control_.isStored(job); });
    submitter_.setStoreProbe([this] { return control_.isStoreAnswering(); });
    declarations_.onConfiguration([this](const fleet::FleetConfiguration& configuration) {
        service_.setConfiguration(configuration);
        control_.setConfiguration(configuration);
    });
    declarations_.onWave([this](const fleet::UpkeepWave& wave) { control_.addWave(wave); });
    follower_.onChange([this] {
        submitter_.noteRead();
        control_.onTableChanged();
    });
}

Result<void> EntryProcess::listen()
{
    if (auto listening = readyServer_.listen(settings_.healthAddress); !listening)
        return listening;
    if (auto listening = telemetryServer_.listen(settings_.telemetryAddress); !listening)
        return listening;
    return callerServer_.listen(settings_.callerAddress);
}

Result<void> EntryProcess::run()
{
    readiness_.setReason("starting", "the declarations and the job log were not read yet");
    connectDuties();
    if (auto listening = listen(); !listening)
        return listening;
    events_.write("process.start", { { "caller_address", settings_.callerAddress.text() } });
    watchSignals();
    follower_.start();
    declarations_.start();
    control_.start();
    watchReadiness();
    context_.run();
    events_.write("process.stop", { { "offset", follower_.offset() } });
    return {};
}

void EntryProcess::watchReadiness()
{
    if (declarations_.version() > 0 && follower_.hasCaughtUp())
        readiness_.clearReason("starting");
    if (clock_.now() - control_.confirmedAt() > longestUnconfirmed)
        readiness_.setReason("store", "the platform's store does not answer this entry");
    else
        readiness_.clearReason("store");
    timers_.schedule(clock_.now() + readinessInterval, [this] { watchReadiness(); });
}

void EntryProcess::watchSignals()
{
    signals_.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        onSignal(signal);
        watchSignals();
    });
}

void EntryProcess::onSignal(int signal)
{
    if (signal == SIGHUP)
        return reload();
    if (!std::exchange(isStopping_, true))
        beginStop();
}

// Addresses cannot change while the process runs; the bounds are taken when control next begins.
void EntryProcess::reload()
{
    jsonsource::Faults faults;
    auto settings = settings::loadEntrySettings(settingsPath_, faults);
    for (const auto& fault : faults)
        events_.write("settings.fault", { { "fault", fault.text() } });
    if (settings) {
        settings_.shutdownGrace = settings->shutdownGrace;
        events_.write("process.reload", { { "settings", settingsPath_ } });
    }
}

// The balancer needs two checks to notice; until then this entry serves as before.
void EntryProcess::beginStop()
{
    events_.write("process.stopping", { { "grace_ms", std::int64_t(settings_.shutdownGrace.count()) } });
    readiness_.setReason("stopping", "this entry was told to stop");
    stopDeadline_ = clock_.now() + settings_.shutdownGrace - stopReserve;
    control_.stop([this] { hasLeft_ = true; });
    timers_.schedule(clock_.now() + balancerNotice, [this] {
        callerServer_.beginShutdown();
        finishStop();
    });
}

void EntryProcess::finishStop()
{
    const bool isDone = hasLeft_ && callerServer_.counters().open == 0;
    if (isDone || clock_.now() >= stopDeadline_)
        return context_.stop();
    timers_.schedule(clock_.now() + stopCheckInterval, [this] { finishStop(); });
}

} // namespace turmericsill::entryd
