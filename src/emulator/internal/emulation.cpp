#include "emulator/emulation.h"

#include <algorithm>

namespace turmericsill::emulator {

using entry::JobLookup;
using entry::JobStatus;
using entry::RequestOutcome;
using entry::RequestResult;
using foundation::Errc;
using foundation::failure;
using foundation::Result;

namespace {

    constexpr milliseconds callerTimeout { 3000 };
    constexpr std::uint16_t firstPeerPort = 7000;
    const std::string peerHost = "10.0.1.1:";
    constexpr milliseconds shutdownDuration { 500 }; ///< Time from the start of an entry's shutdown to its end.

} // namespace

EmulatedEntry::EmulatedEntry(EmulatedPlatform& platform, EmulatedClock& clock, const eventlog::GroupMember& self,
    std::uint64_t incarnation, telemetry::IEventSink& events, const control::ControlSettings& settings,
    EmulatedPlatformClient::PeerLookup peerLookup)
    : platformClient_(platform, clock, self, std::move(peerLookup))
    , follower_(platformClient_, platformClient_, clock, timers_, eventlog::FollowerOptions())
    , context_ { platformClient_, platformClient_, follower_, platformClient_, platformClient_, platformClient_, clock,
        timers_, events, platformClient_ }
    , control_(context_, platformClient_, platformClient_, settings,
          { self.entry, self.processorShare, incarnation, self.address })
    , router_(control_, context_, self.entry)
    , submitter_(router_, clock, timers_)
    , service_(follower_, submitter_, clock, timers_, events)
    , declarationWatcher_(platformClient_, clock, timers_, events)
    , startedAt_(clock.now())
{
    service_.setControlStateChecks(
        [this] { return control_.isController(); }, [this](jobs::JobId job) { return control_.isStored(job); });
    submitter_.setStoreAvailabilityCheck([this] { return control_.isStoreAnswering(); });
    service_.setConfigurationAge([this] { return declarationWatcher_.age(); }, configurationBound);
    declarationWatcher_.onConfiguration([this](const fleet::FleetConfiguration& configuration) {
        service_.setConfiguration(configuration);
        control_.setConfiguration(configuration);
    });
    follower_.onChange([this] {
        submitter_.onLogRead();
        control_.onTableChanged();
        service_.onJobsChanged();
    });
    follower_.onOwnRecordsConfirmed([this] { service_.onJobsChanged(); });
    follower_.start();
    declarationWatcher_.start();
    control_.start();
}

Emulation::Emulation(std::uint64_t seed, const control::ControlSettings& settings, telemetry::IEventSink& events)
    : platform_(clock_, seed, settings.lease.maximumLease)
    , settings_(settings)
    , events_(events)
{
}

void Emulation::startEntry(const std::string& name, std::uint32_t processorShare)
{
    platform_.invariants().onEntryChanged();
    const auto port = ports_.emplace(name, static_cast<std::uint16_t>(firstPeerPort + ports_.size())).first->second;
    entries_[name] = std::make_unique<EmulatedEntry>(platform_, clock_,
        eventlog::GroupMember { name, processorShare, peerHost + std::to_string(port) }, nextIncarnation_++, events_,
        settings_, [this, name](const foundation::Address& address) {
            EmulatedEntry* peer = findPeer(address, name);
            return peer ? &peer->control() : nullptr;
        });
}

void Emulation::killEntry(const std::string& name)
{
    platform_.invariants().onDisruption(Disruption::Peripheral);
    entries_.erase(name);
    pausedEntries_.erase(name);
}

void Emulation::shutDownEntry(const std::string& name)
{
    EmulatedEntry* stopping = entry(name);
    if (!stopping || pausedEntries_.count(name))
        return;
    platform_.invariants().onEntryChanged();
    stopping->control().stop([] {});
    platform_.network().schedule(clock_.now() + shutdownDuration, [this, name, stopping] {
        if (entry(name) != stopping)
            return;
        platform_.invariants().onEntryChanged();
        entries_.erase(name);
    });
}

EmulatedEntry* Emulation::findPeer(const foundation::Address& address, const std::string& caller) const
{
    for (const auto& [name, port] : ports_) {
        const auto found = entries_.find(name);
        if (port == address.port && found != entries_.end() && !pausedEntries_.count(name)
            && !platform_.faults().areSeparated(caller, name))
            return found->second.get();
    }
    return nullptr;
}

std::vector<std::string> Emulation::liveEntries() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : entries_) {
        if (!pausedEntries_.count(name))
            names.push_back(name);
    }
    return names;
}

EmulatedEntry* Emulation::entry(const std::string& name)
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : found->second.get();
}

std::string Emulation::controller() const
{
    for (const auto& [name, entry] : entries_) {
        if (entry->control().isController() && !pausedEntries_.count(name))
            return name;
    }
    return {};
}

void Emulation::submit(const std::string& entryName, jobs::JobId id, const jobs::JobSpec& spec,
    std::function<void(RequestResult)> onAnswer, const std::string& team)
{
    platform_.invariants().onSubmitted(id, spec);
    EmulatedEntry* target = entry(entryName);
    if (!target || pausedEntries_.count(entryName))
        return platform_.invariants().onOutcomeUnknown(id);
    // Without an answer, for example because the process ends, the job may or may not be stored.
    platform_.invariants().onOutcomeUnknown(id);
    target->service().submit(platform_.configuration().queues.front(), team, id, spec, clock_.now() + callerTimeout,
        [this, id, onAnswer](RequestResult result) {
            if (onAnswer)
                onAnswer(result);
            if (result.outcome == RequestOutcome::Stored)
                platform_.invariants().onAccepted(id);
            else if (result.outcome == RequestOutcome::NotStored || result.outcome == RequestOutcome::Overloaded)
                platform_.invariants().onRefused(id);
        });
}

void Emulation::cancel(const std::string& entryName, jobs::JobId id)
{
    EmulatedEntry* target = entry(entryName);
    if (!target || pausedEntries_.count(entryName))
        return;
    platform_.invariants().onCancelRequested(id);
    target->service().cancel({}, id, clock_.now() + callerTimeout, [this, id](RequestResult result) {
        if (result.outcome == RequestOutcome::Stored)
            platform_.invariants().onCancelled(id);
    });
}

void Emulation::queryStatus(
    const std::string& entryName, jobs::JobId id, std::function<void(JobStatus)> onStatus, milliseconds wait)
{
    EmulatedEntry* target = entry(entryName);
    if (!target || pausedEntries_.count(entryName))
        return;
    target->service().status({}, id, wait, [this, id, onStatus](JobStatus status) {
        if (status.lookup == JobLookup::Found && status.state == jobs::JobState::Completed)
            platform_.invariants().onReportedCompleted(id);
        if (onStatus)
            onStatus(status);
    });
}

void Emulation::queryPending(const std::string& entryName, std::function<void(std::optional<std::size_t>)> onAnswer)
{
    EmulatedEntry* target = entry(entryName);
    if (!target || pausedEntries_.count(entryName))
        return;
    target->service().pendingJobs(platform_.configuration().queues.front(),
        [this, askedAt = clock_.now(), onAnswer](std::optional<std::size_t> pending) {
            if (pending)
                platform_.invariants().onReportedPending(*pending, askedAt);
            if (onAnswer)
                onAnswer(pending);
        });
}

void Emulation::queryQueue(const std::string& entryName, const std::string& host, const std::string& path)
{
    EmulatedEntry* target = entry(entryName);
    if (!target || pausedEntries_.count(entryName))
        return;
    const auto lookup = target->service().findQueue(host, path);
    platform_.invariants().onQueueLookup(
        { entryName, target->startedAt(), host, path, lookup.queue != nullptr, lookup.isCurrent });
}

void Emulation::advanceTime(milliseconds duration)
{
    const auto end = clock_.time + duration;
    while (clock_.time < end) {
        auto next = end;
        if (const auto deadline = platform_.network().nextDeadline())
            next = std::min(next, *deadline);
        for (auto& [name, entry] : entries_) {
            const auto deadline = entry->timers().nextDeadline();
            if (deadline && !pausedEntries_.count(name))
                next = std::min(next, *deadline);
        }
        clock_.time = std::max(clock_.time, next);
        // Without any entry, nobody can act.
        if (!pausedEntries_.empty() || entries_.empty())
            platform_.invariants().onDisruption(Disruption::Peripheral);
        platform_.advance();
        platform_.network().runDue(clock_.time);
        for (const auto& name : liveEntries())
            entries_.at(name)->timers().runDue(clock_.time);
    }
}

} // namespace turmericsill::emulator
