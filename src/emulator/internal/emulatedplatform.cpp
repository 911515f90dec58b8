#include "emulator/emulatedplatform.h"

#include "foundation/hash.h"

#include <algorithm>

namespace turmericsill::emulator {

namespace {

    constexpr std::uint16_t firstInstancePort = 20000;
    constexpr double slowestClockRate = 0.98; ///< Rate of the slowest instance clock; the fastest has 1.
    constexpr milliseconds deadlyTaskDelay { 10 }; ///< Time from the start of a deadly task to the crash.
    constexpr milliseconds replacementDuration { 3000 }; ///< Time from a crash to the start of the next instance.
    constexpr milliseconds restartDuration { 500 }; ///< Time from the end of an incarnation to the start of the next.

} // namespace

bool InjectedFaults::isStoreDisturbed() const
{
    constexpr milliseconds usualLatency { 4 };
    return isStoreDown || isStoreUnresponsive || !entriesPartitionedFromStore.empty() || !isolatedSide.empty()
        || isDirectoryDown || !linkBytesPerSecond.empty() || lostAppendAnswerRatio > 0 || lateAppendRatio > 0
        || lostDeclarationAnswerRatio > 0 || storeLatency > usualLatency || appendDuration > milliseconds(0);
}

bool InjectedFaults::isInstanceDisturbed() const
{
    return lateOrderRatio > 0 || lostOrderAnswerRatio > 0 || !unreachableInstances.empty() || !isolatedSide.empty();
}

EmulatedPlatform::EmulatedPlatform(foundation::IClock& clock, std::uint64_t seed, milliseconds maximumLease)
    : clock_(clock)
    , random_(seed)
    , laterFaultsRandom_(~seed)
    , maximumLease_(maximumLease)
    , log_(clock)
    , invariants_(instances_, clock)
{
}

void EmulatedPlatform::setConfiguration(const fleet::FleetConfiguration& configuration)
{
    configuration_ = configuration;
    ++endOfDeclarations_;
    invariants_.onConfigurationDeclared(configuration);
}

bool EmulatedPlatform::drawWithProbability(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void EmulatedPlatform::startInstance(
    const std::string& name, const std::string& pool, const jobs::Resources& capacity, const std::string& machine)
{
    InstanceKind kind;
    kind.pool = pool;
    kind.capacity = capacity;
    kind.machine = machine;
    startInstance(name, kind, milliseconds(0));
}

void EmulatedPlatform::startInstance(const std::string& name, const InstanceKind& kind, milliseconds listingDelay)
{
    const auto port = static_cast<std::uint16_t>(firstInstancePort + ports_.size());
    fleet::InstanceReport report;
    report.incarnation = { name, nextIncarnationStart_++ };
    report.pool = kind.pool;
    report.address = { "10.0.0.1", ports_.emplace(name, port).first->second };
    report.machine = kind.machine.empty() ? "machine-of-" + name : kind.machine;
    report.labels = kind.labels;
    report.capacity = kind.capacity;
    const double rate = std::uniform_real_distribution<double>(slowestClockRate, 1)(random_);
    auto instance = std::make_unique<EmulatedInstance>(report, clock_, rate, maximumLease_);
    EmulatedInstance* started = instance.get();
    instance->onRunStarted = [this, started](const jobs::TaskId& task, std::uint32_t) { onRunStarted(*started, task); };
    instance->onEndAcknowledged = [this](const fleet::ObservedEnd& end) { invariants_.onEndAcknowledged(end); };
    instances_[name] = std::move(instance);
    if (listingDelay == milliseconds(0)) {
        listedInstances_[name] = report;
        return;
    }
    network_.schedule(clock_.now() + listingDelay, [this, report] {
        const auto running = instances_.find(report.incarnation.instance);
        if (running != instances_.end() && running->second->report().incarnation == report.incarnation)
            listedInstances_[report.incarnation.instance] = report;
    });
}

void EmulatedPlatform::restartInstanceAs(const std::string& name, const InstanceKind& kind, milliseconds listingDelay)
{
    // The machine of an instance that has crashed starts the next one itself.
    if (!instances_.count(name))
        return;
    crash(name);
    network_.schedule(clock_.now() + restartDuration, [this, name, kind, listingDelay] {
        if (!instances_.count(name))
            startInstance(name, kind, listingDelay);
    });
}

void EmulatedPlatform::restartInstance(
    const std::string& name, const std::string& pool, const jobs::Resources& capacity)
{
    InstanceKind kind;
    kind.pool = pool;
    kind.capacity = capacity;
    restartInstanceAs(name, kind, milliseconds(0));
}

void EmulatedPlatform::onRunStarted(const EmulatedInstance& instance, const jobs::TaskId& task)
{
    invariants_.onRunStarted(instance, task);
    if (!deadlyTasks_.count(task))
        return;
    network_.schedule(clock_.now() + deadlyTaskDelay, [this, task, incarnation = instance.report().incarnation] {
        const auto crashing = instances_.find(incarnation.instance);
        if (crashing == instances_.end() || crashing->second->report().incarnation != incarnation)
            return;
        invariants_.onInstanceCrashed(task);
        endAndReplace(incarnation.instance); // Tasks that cannot be done are no disruption for the others.
    });
}

std::string EmulatedPlatform::instanceOn(const std::string& machine) const
{
    const auto found = std::find_if(instances_.begin(), instances_.end(),
        [&](const auto& entry) { return entry.second->report().machine == machine; });
    return found == instances_.end() ? std::string() : found->first;
}

void EmulatedPlatform::crashAndReplace(const std::string& name)
{
    if (!instances_.count(name))
        return;
    invariants_.onDisruption(Disruption::Peripheral);
    endAndReplace(name);
}

void EmulatedPlatform::release(const std::string& name, milliseconds notice)
{
    if (!instances_.count(name) || !listedInstances_.count(name))
        return;
    setDraining(name);
    network_.schedule(clock_.now() + notice, [this, incarnation = instances_.at(name)->report().incarnation] {
        const auto leaving = instances_.find(incarnation.instance);
        if (leaving == instances_.end() || leaving->second->report().incarnation != incarnation)
            return;
        endAndReplace(incarnation.instance);
        removeFromDirectory(incarnation.instance);
    });
}

void EmulatedPlatform::endAndReplace(const std::string& name)
{
    const fleet::InstanceReport report = instances_.at(name)->report();
    instances_.erase(name);
    network_.schedule(clock_.now() + replacementDuration, [this, report] {
        const std::string& former = report.incarnation.instance;
        const std::string successor = report.machine + "-" + std::to_string(nextIncarnationStart_);
        if (instances_.count(former))
            return;
        removeFromDirectory(former);
        reuseAddress(former, successor);
        startInstance(successor, report.pool, report.capacity, report.machine);
    });
}

bool EmulatedPlatform::isDeadly(jobs::JobId job) const
{
    return std::any_of(
        deadlyTasks_.begin(), deadlyTasks_.end(), [&](const jobs::TaskId& task) { return task.job == job; });
}

void EmulatedPlatform::crash(const std::string& name)
{
    invariants_.onDisruption(Disruption::Peripheral);
    instances_.erase(name);
}

void EmulatedPlatform::removeFromDirectory(const std::string& name) { listedInstances_.erase(name); }

void EmulatedPlatform::returnToDirectory(const std::string& name)
{
    if (const auto running = instances_.find(name); running != instances_.end())
        listedInstances_[name] = running->second->report();
}

void EmulatedPlatform::setDraining(const std::string& name) { listedInstances_[name].isDraining = true; }

void EmulatedPlatform::setCapacity(const std::string& name, const jobs::Resources& capacity)
{
    const auto instance = instances_.find(name);
    if (instance == instances_.end())
        return;
    instance->second->setCapacity(capacity);
    if (const auto listed = listedInstances_.find(name); listed != listedInstances_.end())
        listed->second.capacity = capacity;
}

EmulatedInstance* EmulatedPlatform::instanceAt(const foundation::Address& address)
{
    for (const auto& [name, instance] : instances_) {
        if (instance->report().address == address)
            return instance.get();
    }
    return nullptr;
}

std::optional<foundation::SteadyTime> EmulatedPlatform::queueAppend()
{
    constexpr milliseconds maximumQueueDelay { 2000 }; // The platform refuses appends that would wait longer.
    const auto startsAt = std::max(logFreeAt_, clock_.now() + faults_.storeLatency);
    if (startsAt - clock_.now() > maximumQueueDelay)
        return std::nullopt;
    logFreeAt_ = startsAt + faults_.appendDuration;
    return logFreeAt_;
}

void EmulatedPlatform::advance()
{
    for (const auto& [name, instance] : instances_)
        instance->advance();
    if (faults_.isStoreDisturbed())
        invariants_.onDisruption(Disruption::Store);
    if (faults_.isInstanceDisturbed())
        invariants_.onDisruption(Disruption::Peripheral);
    invariants_.checkCancelledRuns();
    invariants_.checkMissingRuns(listedInstances_);
}

RunPlan EmulatedPlatform::runPlanFor(const jobs::TaskId& task) const
{
    const jobs::JobSpec* spec = invariants_.findSpec(task.job);
    RunPlan plan;
    if (spec && spec->steps[task.step].resumesFromCheckpoint)
        plan.checkpoint.assign(checkpointBytes_, 'c');
    plan.isLongRunning = spec && spec->steps[task.step].isLongRunning;
    constexpr std::uint64_t durationRangeMs = 1500;
    const std::uint64_t hash = foundation::hashBytes(jobs::toText(task));
    if (failingJobs_.count(task.job))
        plan.outcome = jobs::RunOutcome::Failed;
    plan.duration = milliseconds(200 + static_cast<std::int64_t>(hash % durationRangeMs));
    return plan;
}

} // namespace turmericsill::emulator
