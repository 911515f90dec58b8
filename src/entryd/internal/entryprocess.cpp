#include "entryd/entryprocess.h"

#include "foundation/eventloopthread.h"
#include "httpclient/types/responselimits.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace turmericsill::entryd {

using foundation::milliseconds;
using foundation::Result;

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusServiceUnavailable = 503;
    constexpr unsigned statusGatewayTimeout = 504;
    constexpr std::size_t declarationConnections = 8; ///< Enough for a watch and the reads beside an overdue one.
    constexpr std::size_t storeReadConnections = 12; ///< Two for long polls, the others for callers' reads.
    /// Enough for 100 appends a second, a third of which get no response and occupy a connection for 2.5 s.
    constexpr std::size_t storeWriteConnections = 100;
    /// A surge moves hundreds of machines at once; the platform takes an order in about 15 ms.
    constexpr std::size_t machineControlConnections = 12;
    constexpr milliseconds balancerDetectionDelay { 2300 }; ///< Two health checks of the load balancer, one per second.
    constexpr milliseconds statusRetentionMargin { 10000 }; ///< Added to the required retention of final states.
    constexpr milliseconds shutdownMargin { 1500 }; ///< Part of the grace period that is left unused.
    constexpr milliseconds stopCheckInterval { 50 };
    constexpr milliseconds readinessCheckInterval { 100 };
    constexpr milliseconds eventFlushInterval { 200 };
    constexpr milliseconds loadReportInterval { 1000 };
    constexpr milliseconds maximumUnconfirmedTime { 1800 }; ///< Enough for four attempts to join the group.

    std::uint64_t processStartMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
    }

    /// Checks of the balancer have no body.
    httpserver::ServerLimits healthLimits()
    {
        httpserver::ServerLimits limits;
        limits.maximumBodyBytes = 4 << 10;
        return limits;
    }

    /// Other entries hand over as many records in one call as an append takes.
    httpserver::ServerLimits peerLimits(const jobs::RecordLimits& records)
    {
        httpserver::ServerLimits limits;
        limits.maximumBodyBytes = std::max(limits.maximumBodyBytes, 2 * records.appendBytes);
        return limits;
    }

} // namespace

PeerCallHandler::PeerCallHandler(control::ControllerElection& control, telemetry::TelemetryHandler& telemetry)
    : control_(control)
    , telemetry_(telemetry)
{
}

void PeerCallHandler::handle(const httpserver::HttpExchangePtr& exchange)
{
    const auto target = exchange->request().target();
    if (target == control::recordsPath)
        return storeRecords(exchange);
    if (target != control::controlStatePath)
        return telemetry_.handle(exchange);
    exchange->respond(
        httpserver::makeResponse(statusOk, control::encodeControlState(control_.state()), "application/json"));
}

void PeerCallHandler::storeRecords(const httpserver::HttpExchangePtr& exchange)
{
    const auto records = control::decodeRecords(exchange->request().body());
    if (!records)
        return exchange->respond(httpserver::makeResponse(statusBadRequest, records.error().message()));
    const bool acceptsRejections = exchange->request()[control::acceptsRejectionsHeader] == "1";
    control_.store(*records, acceptsRejections, [exchange](const Result<eventlog::StoreReceipt>& stored) {
        if (stored)
            return exchange->respond(
                httpserver::makeResponse(statusOk, control::encodeReceipt(*stored), "application/json"));
        const bool isDefinitelyNotStored = stored.error().code == foundation::Errc::Unavailable;
        exchange->respond(httpserver::makeResponse(
            isDefinitelyNotStored ? statusServiceUnavailable : statusGatewayTimeout, stored.error().message()));
    });
}

EntryProcess::EntryProcess(settings::EntrySettings settings, std::string settingsPath)
    : settings_(std::move(settings))
    , settingsPath_(std::move(settingsPath))
    , timers_(context_)
    , eventSink_(settings_.entry, clock_)
    , teamMetrics_(metrics_, eventSink_)
    , maintenanceMetrics_(metrics_, teamMetrics_)
    , events_(metrics_, maintenanceMetrics_)
    , configurationAge_(metrics_.gauge("configuration_age_seconds",
          "Time since when changes of the configuration that were confirmed may be missing"))
    , declarationClient_(context_, settings_.storeAddress, declarationConnections)
    , storeReadClient_(context_, settings_.storeAddress, storeReadConnections)
    , storeWriteClient_(context_, settings_.storeAddress, storeWriteConnections)
    , machineControlClient_(context_, settings_.machineControlAddress, machineControlConnections)
    , jobLog_(storeReadClient_, storeWriteClient_,
          { settings_.entry, settings::processorMillicores(settings_), settings_.telemetryAddress.toString() },
          { settings_.logRecordBytes, settings_.logAppendBytes })
    , fleetSource_(declarationClient_, storeReadClient_,
          [this](const foundation::Error& error) {
              events_.write("entry.foreign", { { "reason", error.message() } });
          })
    , instanceControl_(context_)
    , machineControl_(machineControlClient_, settings_.entry)
    , advice_(context_, settings_.adviceAddress)
    , jobFollower_(jobLog_, jobLog_, clock_, timers_, eventlog::FollowerOptions())
    , peerControl_(context_)
    , controlContext_ { jobLog_, jobLog_, jobFollower_, fleetSource_, instanceControl_, advice_, clock_, timers_,
        events_, peerControl_ }
    , control_(controlContext_, jobLog_, machineControl_, controlSettings(),
          { settings_.entry, settings::processorMillicores(settings_), processStartMs(),
              settings_.telemetryAddress.toString() })
    , submissionRouter_(control_, controlContext_, settings_.entry)
    , jobSubmitter_(submissionRouter_, clock_, timers_)
    , jobService_(jobFollower_, jobSubmitter_, clock_, timers_, events_)
    , declarationWatcher_(fleetSource_, clock_, timers_, events_)
    , teamKeys_(
          keyAgeLimits(), [this] { return declarationWatcher_.age(); }, events_)
    , jobHandler_(jobService_, teamKeys_, clock_)
    , readinessHandler_(readiness_)
    , telemetryHandler_(metrics_, readiness_)
    , peerHandler_(control_, telemetryHandler_)
    , readBudget_(readBudgetLimits())
    , refusals_(events_, metrics_, readBudget_)
    , callerServer_(context_, jobHandler_, callerLimits(), &readBudget_)
    , healthServer_(context_, readinessHandler_, healthLimits(), &readBudget_)
    , telemetryServer_(context_, peerHandler_, peerLimits(jobLog_.recordLimits()), &readBudget_)
    , signals_(context_, SIGTERM, SIGINT, SIGHUP)
{
    httpclient::setResponseLimits(context_, httpclient::responseLimitsWithin(settings::responseMemoryBytes(settings_)));
}

httpserver::ReadBudgetLimits EntryProcess::readBudgetLimits() const
{
    httpserver::ReadBudgetLimits result;
    result.bytes = settings::requestMemoryBytes(settings_);
    result.descriptors = settings_.descriptorLimit;
    return result;
}

httpserver::ServerLimits EntryProcess::callerLimits() const
{
    httpserver::ServerLimits result;
    result.maximumConnections = settings::maximumCallerConnections(settings_);
    result.maximumBodyBytes = settings_.requestBodyBytes;
    return result;
}

control::ControlSettings EntryProcess::controlSettings() const
{
    control::ControlSettings result;
    result.lease.maximumLease = settings_.maximumLease;
    result.lease.duration = std::min(result.lease.duration, settings_.maximumLease);
    result.holderInterval = settings_.holderInterval;
    result.teamBurstJobs = settings_.teamBurstJobs;
    result.jobMemoryLimit = settings::jobMemoryBytes(settings_);
    result.batchesRunRecords = settings_.batchesRunRecords;
    result.compressesRecords = settings_.compressesRecords;
    result.remoteSlowdown = settings_.remoteSlowdown;
    result.statusRetention = settings_.statusRetention + statusRetentionMargin;
    constexpr int snapshotsPerRetention = 5;
    result.snapshotInterval = settings_.logRetention / snapshotsPerRetention;
    return result;
}

identity::KeyAgeLimits EntryProcess::keyAgeLimits() const
{
    identity::KeyAgeLimits result;
    result.newKeys = settings_.configurationBound;
    if (settings_.keyRevocationBound)
        result.removedKeys = identity::maximumAgeForKeys(*settings_.keyRevocationBound);
    return result;
}

void EntryProcess::connectComponents()
{
    jobService_.setControlStateChecks(
        [this] { return control_.isController(); }, [this](jobs::JobId job) { return control_.isStored(job); });
    jobService_.setConfigurationAge([this] { return declarationWatcher_.age(); }, settings_.configurationBound);
    jobSubmitter_.setStoreAvailabilityCheck([this] { return control_.isStoreAnswering(); });
    declarationWatcher_.onConfiguration([this](const fleet::FleetConfiguration& configuration) {
        teamKeys_.setConfiguration(configuration);
        jobService_.setConfiguration(configuration);
        control_.setConfiguration(configuration);
    });
    declarationWatcher_.onWave([this](const fleet::MaintenanceWave& wave) { control_.addWave(wave); });
    jobFollower_.onChange([this] {
        jobSubmitter_.onLogRead();
        control_.onTableChanged();
        jobService_.onJobsChanged();
    });
    jobFollower_.onOwnRecordsConfirmed([this] { jobService_.onJobsChanged(); });
}

Result<void> EntryProcess::listen()
{
    if (auto listening = healthServer_.listen(settings_.healthAddress); !listening)
        return listening;
    if (auto listening = telemetryServer_.listen(settings_.telemetryAddress); !listening)
        return listening;
    return callerServer_.listen(settings_.callerAddress);
}

Result<void> EntryProcess::run()
{
    readiness_.setReason("starting", "the declarations and the job log have not been read yet");
    connectComponents();
    if (auto listening = listen(); !listening)
        return listening;
    events_.write("process.start", { { "caller_address", settings_.callerAddress.toString() } });
    watchSignals();
    jobFollower_.start();
    declarationWatcher_.start();
    control_.start();
    updateReadiness();
    flushEvents();
    reportLoad(clock_.now());
    foundation::runUntilStopped(context_, [this](const std::exception& error) {
        events_.write("process.exception", { { "reason", std::string(error.what()) } });
    });
    events_.write("process.stop", { { "offset", jobFollower_.offset() } });
    return {};
}

void EntryProcess::updateReadiness()
{
    if (declarationWatcher_.version() > 0 && jobFollower_.hasCaughtUp())
        readiness_.clearReason("starting");
    if (clock_.now() - control_.membershipConfirmedAt() > maximumUnconfirmedTime)
        readiness_.setReason("store", "the platform's store does not respond to this entry");
    else
        readiness_.clearReason("store");
    if (declarationWatcher_.version() > 0)
        configurationAge_.Set(std::chrono::duration<double>(declarationWatcher_.age()).count());
    timers_.schedule(clock_.now() + readinessCheckInterval, [this] { updateReadiness(); });
}

void EntryProcess::flushEvents()
{
    eventSink_.flush();
    timers_.schedule(clock_.now() + eventFlushInterval, [this] { flushEvents(); });
}

// An entry that answers late has read late, waited for the store, or was late itself.
void EntryProcess::reportLoad(foundation::SteadyTime dueAt)
{
    const auto now = clock_.now();
    const auto toMs
        = [](auto duration) { return std::int64_t(std::chrono::duration_cast<milliseconds>(duration).count()); };
    const eventlog::ReadingLoad reading = jobFollower_.takeLoad();
    const entry::StatusLoad status = jobService_.takeStatusLoad();
    events_.write("entry.load",
        { { "reads", reading.reads }, { "records", reading.records }, { "bytes", reading.bytes },
            { "read_ms", toMs(reading.longestRead) }, { "apply_ms", toMs(reading.applyTime) },
            { "age_ms", jobFollower_.hasCaughtUp() ? toMs(now - jobFollower_.coveredAsOf()) : -1 },
            { "offset", jobFollower_.offset() }, { "states", status.answers }, { "states_read", status.reads },
            { "state_ms", toMs(status.longestWait) }, { "state_sum_ms", toMs(status.totalWait) },
            { "lag_ms", toMs(now - dueAt) } });
    refusals_.report("caller", callerServer_.counters());
    refusals_.report("health", healthServer_.counters());
    refusals_.report("telemetry", telemetryServer_.counters());
    const auto next = now + loadReportInterval;
    timers_.schedule(next, [this, next] { reportLoad(next); });
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

// Only shutdown_grace_ms is applied; addresses cannot change while the process runs.
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

// The load balancer needs two health checks to notice that this entry is not ready; until then it serves as before.
void EntryProcess::beginStop()
{
    events_.write("process.stopping", { { "grace_ms", std::int64_t(settings_.shutdownGrace.count()) } });
    readiness_.setReason("stopping", "this entry is shutting down");
    stopDeadline_ = clock_.now() + settings_.shutdownGrace - shutdownMargin;
    control_.stop([this] { hasLeftGroup_ = true; });
    timers_.schedule(clock_.now() + balancerDetectionDelay, [this] {
        callerServer_.beginShutdown();
        stopWhenIdle();
    });
}

// Called repeatedly until the entry has left the group and no caller is connected, or until the deadline.
void EntryProcess::stopWhenIdle()
{
    const bool isDone = hasLeftGroup_ && callerServer_.counters().open == 0;
    if (isDone || clock_.now() >= stopDeadline_)
        return context_.stop();
    timers_.schedule(clock_.now() + stopCheckInterval, [this] { stopWhenIdle(); });
}

} // namespace turmericsill::entryd
