#include "control/controller.h"

#include "control/internal/controltext.h"
#include "control/internal/instanceviews.h"
#include "control/internal/storablecheckpoint.h"
#include "jobs/appendbuilder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmericsill::control {

using fleet::StartResult;
using foundation::Errc;
using foundation::Result;
using jobs::Job;
using jobs::RunEnded;
using jobs::RunIntended;
using jobs::RunOutcome;
using jobs::TaskId;
using jobs::TaskPhase;

namespace {

    constexpr milliseconds planBatchingDelay { 2 }; ///< Batches simultaneous changes into one plan and one append.
    /// Pause after a plan, as a multiple of its duration, so that answers and renewals are handled during a backlog.
    constexpr int planPauseFactor = 1;
    constexpr milliseconds maximumPlanDelay { 50 };
    constexpr milliseconds loadReportInterval { 1000 };
    constexpr milliseconds slowAppendThreshold { 500 }; ///< An append takes about 10 ms.
    constexpr milliseconds staleReadThreshold { 2000 }; ///< A read is answered within 1 s, with or without records.
    constexpr milliseconds rereadDelay { 100 }; ///< Delay after a failed read of the log.
    /// Time after the start of a suspect in which its instance starts nothing else. Exceeds the time within which a
    /// crash counts as caused by a start.
    constexpr milliseconds observationTime { 300 };
    constexpr milliseconds stopRepeatInterval { 500 }; ///< A run of a cancelled job may go on for seconds.
    constexpr milliseconds invalidBackoff { 1000 }; ///< Delay before a task that was refused as invalid is retried.

    milliseconds timeOfDay(const foundation::IClock& clock)
    {
        return std::chrono::duration_cast<milliseconds>(clock.wallNow().time_since_epoch());
    }

} // namespace

Controller::Controller(const ControllerContext& context, const ControlSettings& settings, std::uint64_t epoch,
    std::function<void(const std::string&)> onStepDown)
    : context_(context)
    , settings_(settings)
    , formerControllers_(context.peers, context.clock, context.timers, context.events, settings.lease)
    , leaseAuthority_(context.peers, context.follower, context.clock, context.events, settings.lease, epoch)
    , instanceControl_(context.instances)
    , sessionContext_ { instanceControl_, context.clock, *this, formerControllers_, leaseAuthority_, epoch,
        settings.lease }
    , onStepDown_(std::move(onStepDown))
    , writer_(context.log, context.clock, context.timers, context.events, epoch, 1,
          [this](const foundation::Error& error) {
              stepDown(error.code == Errc::Fenced ? "fenced by the log" : "the log rejects a record");
          })
    , records_(context.follower, writer_)
    , snapshotter_(context.snapshots, context.follower, context.clock, context.events, epoch,
          { settings.snapshotInterval, settings.snapshotGrowth })
    , directory_(
          context.fleetSource, context.clock, context.timers, context.events,
          [this](const fleet::InstanceChange& change) { onInstanceChange(change); },
          [this](const std::set<std::string>& present) { onInstancesLoaded(present); })
    , health_(context.clock, context.events)
    , adviceCache_(context.advice, context.clock, context.events, [this] { schedulePlan(); })
    , scheduler_(context.follower, context.clock, context.events, settings.remoteSlowdown)
    , submissionGate_(gateContext(), settings.teamBurstJobs, settings.jobMemoryLimit)
    , jobTimer_(context.clock, context.events)
    , planDelay_(planBatchingDelay)
{
    writer_.setBatchesRuns(settings.batchesRunRecords);
    writer_.setCompresses(settings.compressesRecords);
    writer_.onAcknowledged([this](const eventlog::AcknowledgedAppend& append) {
        leaseAuthority_.onAppendStored(append.sentAt);
        context_.follower.onOwnRecordsStored(append.offset, append.count, append.bytes);
    });
}

Controller::~Controller()
{
    *alive_ = false;
    writer_.stop();
    for (auto& [name, session] : sessions_)
        session->close();
}

template <typename Action> void Controller::scheduleAfter(milliseconds delay, Action action)
{
    context_.timers.schedule(context_.clock.now() + delay, [alive = alive_, action] {
        if (*alive)
            action();
    });
}

void Controller::start()
{
    context_.events.write("control.begins",
        { { "epoch", sessionContext_.epoch }, { "offset", context_.follower.offset() },
            { "unknown_records", context_.follower.unknownRecords() },
            { "open_jobs", static_cast<std::uint64_t>(context_.follower.table().openJobs().size()) } });
    load_.usageAtStart = foundation::currentUsage();
    formerControllers_.begin(context_.follower);
    inheritRuns();
    directory_.start();
}

void Controller::setConfiguration(const fleet::FleetConfiguration& configuration)
{
    configuration_ = configuration;
    std::vector<jobs::JobId> jobsWithFailures; // A job that fails leaves the list of open jobs.
    for (const Job& job : context_.follower.table().openJobs()) {
        if (job.failedRuns > 0)
            jobsWithFailures.push_back(job.id);
    }
    for (const jobs::JobId id : jobsWithFailures)
        failJobIfAttemptsExhausted(*context_.follower.table().find(id));
    scheduler_.setConfiguration(configuration);
    submissionGate_.setConfiguration(configuration);
    schedulePlan();
}

void Controller::setWitnesses(const std::vector<jobs::ControlWitness>& witnesses)
{
    if (hasSteppedDown_ || witnesses == leaseAuthority_.witnesses())
        return;
    leaseAuthority_.nameWitnesses(witnesses);
    records_.write(jobs::WitnessesChanged { sessionContext_.epoch, witnesses });
    writer_.whenStored([this, count = leaseAuthority_.namedSets()] { leaseAuthority_.onWitnessesStored(count); });
    writer_.flush();
}

void Controller::stepDown(const std::string& reason)
{
    if (std::exchange(hasSteppedDown_, true))
        return;
    onStepDown_(reason);
}

void Controller::inheritRuns()
{
    for (const Job& job : context_.follower.table().openJobs()) {
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& tasks = occurrence.steps[step].tasks.touched();
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (tasks[index].phase == TaskPhase::Active)
                        inheritRun({ job.id, number, step, index }, tasks[index], job.spec.steps[step]);
                }
            }
        }
    }
}

// A run whose instance has not been listed yet gets a session that knows the incarnation of the instance only.
void Controller::inheritRun(const TaskId& id, const jobs::Task& task, const jobs::StepSpec& spec)
{
    auto& session = sessions_[task.incarnation.instance];
    if (!session) {
        fleet::InstanceReport unlisted;
        unlisted.incarnation = task.incarnation;
        session = makeSession(unlisted);
        session->setListed(false);
        session->awaitReport();
    }
    session->track(id, task.lastRun, scheduling::resourceRequest(spec), spec.isLongRunning, true);
}

void Controller::onInstancesLoaded(const std::set<std::string>& present)
{
    for (auto& [name, session] : sessions_) {
        if (!present.count(name))
            session->setListed(false);
        if (!session->hasAddress())
            reportLost(*session, "not in the directory");
    }
    for (auto ended = endedIncarnations_.begin(); ended != endedIncarnations_.end();)
        ended = present.count(ended->first) ? std::next(ended) : endedIncarnations_.erase(ended);
    schedulePlan();
}

void Controller::onInstanceChange(const fleet::InstanceChange& change)
{
    const auto found = sessions_.find(change.instance);
    if (!change.report) {
        endedIncarnations_.erase(change.instance);
        if (found != sessions_.end())
            found->second->setListed(false);
        return schedulePlan();
    }
    const auto ended = endedIncarnations_.find(change.instance);
    if (ended != endedIncarnations_.end() && change.report->incarnation.startedAt <= ended->second)
        return;
    if (!change.report->machine.empty())
        instanceOnMachine_[change.report->machine] = change.instance;
    if (found == sessions_.end()) {
        openSession(*change.report);
        return schedulePlan();
    }
    const InstanceSessionPtr session = found->second;
    // The report is stale if an earlier incarnation of the instance published it.
    if (change.report->incarnation.startedAt < session->incarnation().startedAt)
        return;
    if (change.report->incarnation.startedAt > session->incarnation().startedAt
        && session->incarnation().startedAt != 0) {
        session->setListed(true);
        recordCrash(*session);
        return replaceSession(*session, makeSession(*change.report));
    }
    if (change.report->isDraining && !session->report().isDraining)
        context_.events.write("instance.drains", { { "instance", change.instance } });
    session->update(*change.report);
    schedulePlan();
}

InstanceSessionPtr Controller::makeSession(const fleet::InstanceReport& report)
{
    InstanceSessionPtr session(new InstanceSession(report, sessionContext_));
    session->allowForEarlierLeases(context_.follower.earlierLeasesExpiredAt(report.incarnation.instance));
    return session;
}

InstanceSessionPtr Controller::openSession(const fleet::InstanceReport& report)
{
    InstanceSessionPtr session = makeSession(report);
    sessions_[report.incarnation.instance] = session;
    onSessionChanged(*session);
    session->tick(controlStatus_);
    return session;
}

InstanceSessionPtr Controller::sessionOnMachine(const std::string& machine) const
{
    const auto instance = instanceOnMachine_.find(machine);
    if (instance == instanceOnMachine_.end())
        return nullptr;
    const auto session = sessions_.find(instance->second);
    const bool isOnMachine = session != sessions_.end() && session->second->report().machine == machine;
    return isOnMachine ? session->second : nullptr;
}

void Controller::setCordoned(std::set<std::string> instances)
{
    std::vector<std::string> changed;
    std::set_symmetric_difference(
        cordoned_.begin(), cordoned_.end(), instances.begin(), instances.end(), std::back_inserter(changed));
    cordoned_ = std::move(instances);
    for (const auto& name : changed) {
        if (const auto session = sessions_.find(name); session != sessions_.end())
            onSessionChanged(*session->second);
    }
    if (!changed.empty())
        schedulePlan();
}

void Controller::onTableChanged()
{
    if (context_.follower.table().latestClaim().epoch > sessionContext_.epoch)
        return stepDown("the log holds a later claim");
    if (!context_.follower.isInControl(sessionContext_.epoch))
        return stepDown("the log dropped records that were not read");
    writer_.onLogRead(context_.follower.ownRecordsRead());
    schedulePlan();
}

void Controller::tick(ControlStatus status, milliseconds lag)
{
    if (hasSteppedDown_)
        return;
    // Start orders rely on the capacities in the directory as well.
    controlStatus_ = directory_.isCurrent() ? status : std::min(status, ControlStatus::Unconfirmed);
    reportLoad(lag);
    submissionGate_.tick();
    leaseAuthority_.tick();
    std::vector<InstanceSessionPtr> sessions;
    sessions.reserve(sessions_.size());
    for (const auto& [name, session] : sessions_)
        sessions.push_back(session);
    for (const auto& session : sessions) {
        session->tick(controlStatus_);
        if (hasSteppedDown_)
            return;
        const bool isNeeded = session->isListed() || !session->runs().empty() || session->hasUnexpectedRuns()
            || session->awaitsCrashEvidence();
        if (!isNeeded)
            removeSession(session);
    }
    repeatStops();
    removeExpiredJobs();
    if (snapshotter_.isDue() && context_.follower.hasCaughtUp())
        snapshotter_.write(writer_.unstoredChanges());
    schedulePlan();
    writer_.flush();
}

// Connections to the address are kept if another instance uses it by now.
void Controller::removeSession(const InstanceSessionPtr& session)
{
    session->close();
    expectedDown_.erase(session->incarnation().instance);
    onSessionChanged(*session);
    const auto found = sessions_.find(session->incarnation().instance);
    if (found != sessions_.end() && found->second == session)
        sessions_.erase(found);
    const foundation::Address address = session->report().address;
    const bool isAddressInUse = std::any_of(sessions_.begin(), sessions_.end(),
        [&](const auto& other) { return other.second->report().address == address; });
    if (!isAddressInUse)
        context_.instances.dropConnections(address);
}

void Controller::store(
    std::vector<jobs::Record> records, bool acceptsRejections, eventlog::ISubmissionPath::StoreCallback done)
{
    if (hasSteppedDown_ || writer_.isStalled())
        return done(foundation::failure(Errc::Unavailable, "control.store", {}, "the log does not respond"));
    const bool mayReject = acceptsRejections && controlStatus_ == ControlStatus::Confirmed;
    records_.storeCallerRecords(std::move(records), submissionGate_, mayReject, std::move(done));
    schedulePlan();
}

void Controller::schedulePlan()
{
    if (std::exchange(isPlanScheduled_, true))
        return;
    scheduleAfter(planDelay_, [this] {
        isPlanScheduled_ = false;
        plan();
    });
}

void Controller::plan()
{
    if (hasSteppedDown_)
        return;
    const auto begunAt = context_.clock.now();
    context_.follower.startDueOccurrences(timeOfDay(context_.clock));
    applyJobChanges();
    applySessionChanges();
    const std::string_view obstacle = startObstacle();
    if (obstacle.empty()) {
        planPools();
    } else {
        ++load_.blockedPlans;
        load_.blockedBy = obstacle;
    }
    writer_.flush();
    const auto planTime = context_.clock.now() - begunAt;
    const auto took = std::chrono::ceil<milliseconds>(planTime);
    ++load_.plans;
    load_.planTime += planTime;
    planDelay_ = std::clamp(took * planPauseFactor, planBatchingDelay, maximumPlanDelay);
}

// Plans nothing while intents could not be appended; a later plan is made with newer information. Starts in progress
// are no obstacle for long: the next confirmation schedules a plan, as does every tick.
std::string_view Controller::startObstacle() const
{
    if (configuration_.version == 0)
        return "no configuration";
    if (!directory_.isCurrent())
        return "directory";
    if (writer_.isStalled())
        return "log";
    if (controlStatus_ != ControlStatus::Confirmed)
        return "control";
    return sessionContext_.startsInProgress >= startWindow_.size() ? "starts in progress" : "";
}

void Controller::planPools()
{
    const std::size_t startsInProgress = sessionContext_.startsInProgress;
    const scheduling::StepTickets tickets = adviceCache_.validTickets();
    std::set<jobs::JobId> observedJobs;
    for (const auto& [task, until] : observedUntil_)
        observedJobs.insert(task.job);
    scheduler_.planChangedPools({ &blockedTasks_, &tickets, &observedJobs, startWindow_.size() - startsInProgress },
        [this](const std::string& pool, const scheduling::PoolPlan& plan) { startPlacements(pool, plan); });
}

void Controller::reportLoad(milliseconds lag)
{
    load_.maximumLag = std::max(load_.maximumLag, lag);
    const auto now = context_.clock.now();
    if (now - load_.since < loadReportInterval)
        return;
    const auto planTime = std::chrono::duration_cast<milliseconds>(load_.planTime);
    const foundation::ProcessUsage usage = foundation::currentUsage();
    const foundation::ProcessUsage used = usage - load_.usageAtStart;
    const auto processorTime = std::chrono::duration_cast<milliseconds>(used.processorTime);
    const InstanceCallCounts calls = instanceControl_.takeCounts();
    context_.events.write("control.load",
        { { "plans", load_.plans }, { "plan_ms", std::int64_t(planTime.count()) }, { "placements", load_.placements },
            { "blocked", load_.blockedPlans }, { "blocked_by", load_.blockedBy },
            { "lag_ms", std::int64_t(load_.maximumLag.count()) },
            { "open_jobs", std::uint64_t(context_.follower.table().openJobs().size()) },
            { "job_bytes", std::uint64_t(context_.follower.table().memory().total()) },
            { "instances", std::uint64_t(sessions_.size()) }, { "starts", calls.starts }, { "stops", calls.stops },
            { "renewals", calls.renewals }, { "processor_ms", std::int64_t(processorTime.count()) },
            { "sent_bytes", used.bytesSent }, { "received_bytes", used.bytesReceived } });
    load_ = {};
    load_.since = now;
    load_.usageAtStart = usage;
}

void Controller::startPlacements(const std::string& pool, const scheduling::PoolPlan& plan)
{
    requestAdvice(plan.stepsAwaitingTickets, scheduler_.instancesOf(pool));
    if (plan.placements.empty())
        return;
    load_.placements += plan.placements.size();
    for (const auto& placement : plan.placements)
        recordIntent(placement);
    writer_.whenStored([this, plannedAt = context_.clock.now(), placements = plan.placements] {
        sendStartOrders(placements, plannedAt);
    });
}

void Controller::applyJobChanges()
{
    for (const jobs::JobId id : context_.follower.takeChangedJobs()) {
        const Job* job = context_.follower.table().find(id);
        if (job) {
            failJobIfCrashing(*job);
            failJobIfAttemptsExhausted(*job);
        }
        scheduler_.updateJob(id);
        if (job)
            jobTimer_.update(*job, configuration_.findQueue(job->queue), scheduler_.isWaiting(id));
        if (job && job->isFinal() && job->activeRuns > 0)
            stopRuns(*job);
    }
    context_.follower.dropDetailsOfCompletedJobs();
}

// An instance is looked up by name, since a later incarnation may have replaced the session that changed.
void Controller::applySessionChanges()
{
    const auto changed = std::exchange(changedSessions_, {});
    for (const auto& session : changed) {
        session->acknowledgeChange();
        const std::string& name = session->incarnation().instance;
        const auto current = sessions_.find(name);
        if (current != sessions_.end() && isSchedulable(*current->second))
            scheduler_.updateInstance(viewOf(*current->second));
        else
            scheduler_.removeInstance(name);
    }
}

void Controller::onSessionChanged(InstanceSession& session) { changedSessions_.emplace_back(&session); }

const scheduling::InstanceIndex& Controller::instancesOf(const std::string& pool)
{
    applySessionChanges();
    return scheduler_.instancesOf(pool);
}

// A change of an instance would invalidate the room, so all of them are applied first.
std::unique_ptr<scheduling::RelocationRoom> Controller::relocationRoom(
    const std::string& pool, std::set<std::string> excluded, bool awaitsShortTasks)
{
    applySessionChanges();
    return scheduler_.relocationRoom(pool, adviceCache_.validTickets(), std::move(excluded), awaitsShortTasks);
}

bool Controller::requiresTicket(const Job& job) const
{
    const fleet::Queue* queue = configuration_.findQueue(job.queue);
    return queue && queue->advice.has_value();
}

void Controller::requestTickets(const Job& job, const scheduling::StepId& step)
{
    requestAdvice({ step }, scheduler_.instancesOf(poolOf(job)));
}

// Instances with the most free processor time are queried first.
void Controller::requestAdvice(const std::vector<scheduling::StepId>& steps, const scheduling::InstanceIndex& instances)
{
    if (steps.empty())
        return;
    std::vector<std::string> names;
    const auto& byFreeCores = instances.instances();
    for (auto instance = byFreeCores.rbegin(); instance != byFreeCores.rend(); ++instance)
        names.push_back((*instance)->name);
    for (const auto& step : steps)
        adviceCache_.requestTickets(step, names);
}

bool Controller::isSchedulable(const InstanceSession& session) const
{
    const std::string& instance = session.incarnation().instance;
    return session.isListed() && session.hasReport() && session.isInContact() && !session.report().isDraining
        && !health_.isExcluded(instance) && !cordoned_.count(instance);
}

scheduling::InstanceView Controller::viewOf(const InstanceSession& session) const
{
    auto view = viewInstance(session, context_.follower.table(), settings_.remoteSlowdown);
    view.isObserved = std::any_of(
        session.runs().begin(), session.runs().end(), [this](const auto& run) { return isObserved(run.first); });
    view.isOnProbation = health_.isOnProbation(session.incarnation().instance);
    return view;
}

void Controller::recordIntent(const scheduling::Placement& placement)
{
    const auto found = sessions_.find(placement.incarnation.instance);
    const Job* job = context_.follower.table().find(placement.task.job);
    if (found == sessions_.end() || !job)
        return;
    records_.write(RunIntended { placement.task, placement.run, placement.incarnation });
    if (const auto* crashes = job->findCrashHistory(placement.task); crashes && crashes->requiresObservation())
        observedUntil_[placement.task] = foundation::SteadyTime::max();
    found->second->track(
        placement.task, placement.run, placement.resources, job->spec.steps[placement.task.step].isLongRunning, false);
}

// Reads the log first if the append was slow or this entry has not read to the log's end lately, because of a slow log
// or a busy entry: the log may hold cancellations that this entry has not read. Reads that are answered do not show
// that it keeps up. While the directory cannot be read, the orders wait as well: their instances may have shrunk.
void Controller::sendStartOrders(const std::vector<scheduling::Placement>& placements, foundation::SteadyTime plannedAt)
{
    const auto now = context_.clock.now();
    const bool isLogCurrent
        = now - plannedAt < slowAppendThreshold && now - context_.follower.coveredAsOf() < staleReadThreshold;
    if (isLogCurrent && directory_.isCurrent()) {
        for (const auto& placement : placements)
            sendStartOrder(placement);
        return;
    }
    context_.follower.readToEnd([this, alive = alive_, placements](const Result<void>& read) {
        if (!*alive)
            return;
        if (!read || !directory_.isCurrent())
            return scheduleAfter(rereadDelay, [this, placements] { sendStartOrders(placements, {}); });
        for (const auto& placement : placements)
            sendStartOrder(placement);
        writer_.flush();
    });
}

// While the intent was appended, the job may have been cancelled or the instance lost.
void Controller::sendStartOrder(const scheduling::Placement& placement)
{
    const auto found = sessions_.find(placement.incarnation.instance);
    if (found == sessions_.end() || found->second->incarnation() != placement.incarnation)
        return;
    const Job* job = context_.follower.table().find(placement.task.job);
    const jobs::Task* task = context_.follower.table().find(placement.task);
    if (!job || !task || task->lastRun != placement.run) {
        observedUntil_.erase(placement.task);
        return;
    }
    if (job->isFinal())
        found->second->requestStop(placement.task, false);
    const bool hasCheckpoints = job->spec.steps[placement.task.step].resumesFromCheckpoint;
    context_.events.write("run.ordered",
        { { "task", jobs::toText(placement.task) }, { "run", std::uint64_t(placement.run) },
            { "instance", placement.incarnation.instance }, { "epoch", sessionContext_.epoch },
            { "offset", context_.follower.offset() }, { "configuration", configuration_.version } });
    if (isObserved(placement.task))
        observeSuspect(placement.task, placement.incarnation.instance);
    found->second->order(
        placement.task, job->spec.payload, hasCheckpoints ? task->checkpoint : std::string(), placement.ticket);
}

bool Controller::isObserved(const TaskId& task) const { return observedUntil_.count(task) > 0; }

void Controller::observeSuspect(const TaskId& task, const std::string& instance)
{
    const auto until = context_.clock.now() + observationTime;
    observedUntil_[task] = until;
    scheduleAfter(observationTime, [this, task, instance, until] {
        const auto observed = observedUntil_.find(task);
        if (observed == observedUntil_.end() || observed->second != until)
            return;
        observedUntil_.erase(observed);
        if (const auto session = sessions_.find(instance); session != sessions_.end())
            onSessionChanged(*session->second);
        scheduler_.updateJob(task.job);
        schedulePlan();
    });
}

void Controller::expectTakenDown(const std::string& instance)
{
    if (const auto session = sessions_.find(instance); session != sessions_.end())
        expectedDown_[instance] = session->second->incarnation().startedAt;
}

// Own orders and instances that drain end runs as well, but these ends say nothing about the tasks.
void Controller::recordCrash(const InstanceSession& session)
{
    const jobs::InstanceIncarnation& incarnation = session.incarnation();
    const auto expected = expectedDown_.find(incarnation.instance);
    const bool isOrdered = expected != expectedDown_.end() && expected->second == incarnation.startedAt;
    if (session.report().isDraining || isOrdered)
        return;
    const jobs::InstanceCrashed record { incarnation, session.report().machine, session.runsAtCrash() };
    const auto countRuns = [&](bool jobs::CrashedRun::*flag) {
        return std::uint64_t(std::count_if(
            record.runs.begin(), record.runs.end(), [&](const jobs::CrashedRun& run) { return run.*flag; }));
    };
    context_.events.write("instance.crashed",
        { { "instance", incarnation.instance }, { "machine", record.machine },
            { "runs", std::uint64_t(record.runs.size()) }, { "confirmed", countRuns(&jobs::CrashedRun::isConfirmed) },
            { "suspicions", countRuns(&jobs::CrashedRun::isSuspicion) } });
    if (record.runs.empty())
        return;
    for (const auto& part : jobs::divideToFit(record, context_.log.recordLimits()))
        records_.write(part);
}

void Controller::failJobIfCrashing(const Job& job)
{
    const TaskId* task = job.isFinal() ? nullptr : job.findExhaustedTask();
    if (!task)
        return;
    const auto* history = job.findCrashHistory(*task);
    context_.events.write("job.failed",
        { { "job", jobs::toText(job.id) }, { "task", jobs::toText(*task) },
            { "crashes", std::uint64_t(history->crashes.size()) }, { "convicted", history->isConvicted() },
            { "configuration", configuration_.version } });
    records_.writeDecidingRecord(jobs::JobFailed { job.id }, job.id);
}

void Controller::stopRuns(const Job& job)
{
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks.touched();
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const auto session = sessions_.find(tasks[index].incarnation.instance);
                if (tasks[index].phase == TaskPhase::Active && session != sessions_.end())
                    session->second->requestStop({ job.id, number, step, index }, false);
            }
        }
    }
}

// The change of a job may be lost, for example with an exception, but the stops that it owes must not.
void Controller::repeatStops()
{
    const auto now = context_.clock.now();
    if (now - stopsRepeatedAt_ < stopRepeatInterval)
        return;
    stopsRepeatedAt_ = now;
    for (const Job& job : context_.follower.table().openJobs()) {
        if (job.isFinal())
            stopRuns(job);
    }
}

void Controller::relocate(InstanceSession& session, const TaskId& task)
{
    context_.events.write(
        "run.relocated", { { "task", jobs::toText(task) }, { "instance", session.incarnation().instance } });
    session.requestStop(task, true);
}

void Controller::recordMaintenanceStarted(std::uint64_t wave, const std::string& machine)
{
    records_.write(jobs::MaintenanceStarted { wave, machine });
    writer_.flush();
}

milliseconds Controller::waveAge(std::uint64_t wave)
{
    const auto now = timeOfDay(context_.clock);
    const auto seenAt = context_.follower.table().waveFirstSeenAt(wave);
    if (!seenAt) {
        records_.write(jobs::WaveFirstSeen { wave, now });
        writer_.flush();
    }
    return std::max(milliseconds(0), now - seenAt.value_or(now));
}

bool Controller::hasStartedMaintenance(std::uint64_t wave, const std::string& machine) const
{
    return context_.follower.table().hasStartedMaintenance(wave, machine);
}

void Controller::onMachineTakenDown(const std::string& instance)
{
    const auto found = sessions_.find(instance);
    if (found == sessions_.end())
        return;
    endedIncarnations_[instance] = found->second->incarnation().startedAt;
    endIncarnation(*found->second, 0);
}

// The record is appended with the next others, at the latest those of the next tick.
void Controller::onRunStarted(InstanceSession& session, const TaskId& task)
{
    if (const auto run = session.runs().find(task); run != session.runs().end()) {
        jobTimer_.onRunStarted(task.job, run->second);
        if (run->second.orderedAt)
            startWindow_.onConfirmed(context_.clock.now() - *run->second.orderedAt);
    }
    // The plan that filled the window deferred what is ready.
    if (sessionContext_.startsInProgress + 1 >= startWindow_.size())
        schedulePlan();
    const Job* job = context_.follower.table().find(task.job);
    if (job && !job->hasStarted)
        records_.write(jobs::JobsStarted { { task.job } });
}

void Controller::onRunEnded(InstanceSession& session, const RunEnded& record)
{
    context_.events.write("run.ended",
        { { "task", jobs::toText(record.task) }, { "run", std::uint64_t(record.run) },
            { "instance", session.incarnation().instance }, { "how", toText(record.outcome) },
            { "epoch", sessionContext_.epoch } });
    records_.writeDecidingRecord(
        withStorableCheckpoint(record, context_.log.recordLimits(), context_.events), record.task.job);
    observedUntil_.erase(record.task);
    health_.recordRunOutcome(session.incarnation().instance, record.outcome);
    if (record.outcome == RunOutcome::Failed)
        excludeUntilHealthy(session.incarnation().instance);
    const Job* job = context_.follower.table().find(record.task.job);
    if (record.outcome == RunOutcome::Failed && job)
        failJobIfAttemptsExhausted(*job);
    schedulePlan();
}

// The end of a run may be in the log without the failure of its job that follows from it, and the queue of the job may
// have been unknown then. So the failures in the table are what counts, not the end that was just recorded. A queue
// that was removed from the configuration leaves its jobs the attempts that they were accepted with.
void Controller::failJobIfAttemptsExhausted(const Job& job)
{
    if (job.failedRuns == 0 || job.isFinal())
        return;
    const fleet::Queue* queue = configuration_.findQueue(job.queue);
    const std::uint32_t allowed = queue ? queue->maximumAttempts : job.maximumAttempts;
    const bool isBounded = queue || allowed > 0;
    const auto task = isBounded ? job.findTaskWithoutAttempts(allowed) : std::nullopt;
    if (!task)
        return;
    context_.events.write("job.failed",
        { { "job", jobs::toText(job.id) }, { "task", jobs::toText(*task) },
            { "failures", std::uint64_t(job.failuresOf(*task)) }, { "allowed", std::uint64_t(allowed) },
            { "configuration", configuration_.version } });
    records_.writeDecidingRecord(jobs::JobFailed { job.id }, job.id);
}

void Controller::onEndsListed(InstanceSession& session, std::uint64_t number)
{
    writer_.whenStored([sessionPtr = InstanceSessionPtr(&session), number] { sessionPtr->acknowledgeEnds(number); });
    writer_.flush();
}

void Controller::onStartRefused(InstanceSession& session, const TaskId& task, StartResult result)
{
    context_.events.write("run.refused",
        { { "task", jobs::toText(task) }, { "instance", session.incarnation().instance },
            { "verdict", toText(result) } });
    if (result == StartResult::Invalid) {
        blockedTasks_.insert(task);
        scheduleAfter(invalidBackoff, [this, task] {
            blockedTasks_.erase(task);
            scheduler_.updateJob(task.job);
            schedulePlan();
        });
        return;
    }
    health_.recordRefusal(session.incarnation().instance);
    excludeUntilHealthy(session.incarnation().instance);
}

// Tells the scheduler of the exclusion of an instance, and of its end.
void Controller::excludeUntilHealthy(const std::string& instance)
{
    const auto session = sessions_.find(instance);
    if (session == sessions_.end() || !health_.isExcluded(instance))
        return;
    onSessionChanged(*session->second);
    const auto left = std::chrono::ceil<milliseconds>(health_.excludedUntil(instance) - context_.clock.now());
    scheduleAfter(left, [this, instance] {
        if (const auto excluded = sessions_.find(instance); excluded != sessions_.end())
            onSessionChanged(*excluded->second);
        schedulePlan();
    });
}

void Controller::onEarlierOrderFound(InstanceSession& session, const TaskId& task)
{
    context_.events.write("run.crossed-restart",
        { { "task", jobs::toText(task) }, { "instance", session.incarnation().instance },
            { "born", session.incarnation().startedAt }, { "epoch", sessionContext_.epoch } });
}

void Controller::onIncarnationEnded(InstanceSession& session, std::int64_t startedAt)
{
    recordCrash(session);
    endIncarnation(session, startedAt);
}

void Controller::endIncarnation(InstanceSession& session, std::int64_t startedAt)
{
    const InstanceSessionPtr keepAlive(&session);
    context_.events.write(
        "instance.life-over", { { "instance", session.incarnation().instance }, { "born", startedAt } });
    if (startedAt != 0) {
        // The next incarnation publishes its report later. It may differ in everything but its name and address.
        fleet::InstanceReport report;
        report.incarnation = { session.incarnation().instance, startedAt };
        report.address = session.report().address;
        const InstanceSessionPtr successor = makeSession(report);
        successor->awaitReport();
        return replaceSession(session, successor);
    }
    session.close();
    session.endAll(RunOutcome::InstanceGone);
    health_.reset(session.incarnation().instance);
    removeSession(keepAlive);
    schedulePlan();
}

void Controller::replaceSession(InstanceSession& session, const InstanceSessionPtr& successor)
{
    const InstanceSessionPtr predecessor(&session);
    const std::string instance = session.incarnation().instance;
    const auto found = sessions_.find(instance);
    if (found == sessions_.end() || found->second != predecessor)
        return;
    predecessor->close();
    health_.reset(instance);
    adviceCache_.forgetInstance(instance);
    successor->setListed(predecessor->isListed());
    successor->adoptRuns(*predecessor);
    records_.write(jobs::InstanceRestarted { successor->incarnation(), settings_.lease.longestRunTime() });
    found->second = successor;
    onSessionChanged(*successor);
    predecessor->endAll(RunOutcome::InstanceGone); // Ends the runs whose start order was not sent.
    successor->tick(controlStatus_);
    schedulePlan();
}

void Controller::onContactChanged(InstanceSession& session, bool isInContact, const std::string& reason)
{
    if (isInContact)
        context_.events.write("instance.regained",
            { { "instance", session.incarnation().instance }, { "runs", std::uint64_t(session.runs().size()) },
                { "reason", reason } });
    else
        reportLost(session, reason);
    schedulePlan();
}

// The time until the runs of the instance start elsewhere, unless it answers again.
void Controller::reportLost(const InstanceSession& session, const std::string& reason)
{
    const LeaseExpiry expiry = session.leaseExpiry();
    const auto now = context_.clock.now();
    const auto left = std::max(expiry.at, now) - now;
    context_.events.write("instance.lost",
        { { "instance", session.incarnation().instance }, { "reason", reason },
            { "runs", std::uint64_t(session.runs().size()) },
            { "lease_left_ms", std::int64_t(std::chrono::duration_cast<milliseconds>(left).count()) },
            { "bound", toText(expiry.bound) } });
}

void Controller::onFenced(InstanceSession& session)
{
    stepDown("instance " + session.incarnation().instance + " has seen a higher token");
}

void Controller::removeExpiredJobs()
{
    const auto now = context_.clock.now();
    std::vector<jobs::JobId> old;
    for (const Job& job : context_.follower.table().finalJobs()) {
        const auto since = finalSince_.emplace(job.id, now).first->second;
        if (now - since >= settings_.statusRetention)
            old.push_back(job.id);
    }
    for (const auto id : old) {
        finalSince_.erase(id);
        records_.write(jobs::JobExpired { id });
    }
}

} // namespace turmericsill::control
