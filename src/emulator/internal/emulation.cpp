#include "emulator/emulation.h"

#include <algorithm>

namespace turmericsill::emulator {

using entry::JobKnowledge;
using entry::JobStatus;
using entry::RequestOutcome;
using entry::RequestResult;
using foundation::Errc;
using foundation::failure;
using foundation::Result;

namespace {

    constexpr milliseconds callerDeadline { 3000 };
    constexpr std::uint16_t firstPeerPort = 7000;

} // namespace

EmulatedEntry::EmulatedEntry(EmulatedPlatform& platform, EmulatedClock& clock, const eventlog::GroupMember& self,
    std::uint64_t incarnation, std::uint16_t port, telemetry::IEventSink& events,
    const control::ControlSettings& settings, EntryPort::Peers peers)
    : port_(platform, clock, self, std::move(peers))
    , follower_(port_, port_, clock, timers_, eventlog::FollowerOptions())
    , context_ { port_, port_, follower_, port_, port_, port_, clock, timers_, events, port_ }
    , control_(context_, port_, port_, settings,
          { self.entry, self.processorShare, incarnation, "10.0.1.1:" + std::to_string(port) })
    , router_(control_, context_, self.entry)
    , submitter_(router_, clock, timers_)
    , service_(follower_, submitter_, clock, events)
{
    service_.setControlProbe(
        [this] { return control_.isController(); }, [this](jobs::JobId job) { return control_.isStored(job); });
    submitter_.setStoreProbe([this] { return control_.isStoreAnswering(); });
    service_.setConfiguration(platform.configuration());
    control_.setConfiguration(platform.configuration());
    follower_.onChange([this] {
        submitter_.noteRead();
        control_.onTableChanged();
    });
    follower_.start();
    control_.start();
}

Emulation::Emulation(std::uint64_t seed, const control::ControlSettings& settings, telemetry::IEventSink& events)
    : platform_(clock_, seed, settings.lease.longestLease)
    , settings_(settings)
    , events_(events)
{
}

void Emulation::startEntry(const std::string& name, std::uint32_t processorShare)
{
    const auto port = ports_.emplace(name, static_cast<std::uint16_t>(firstPeerPort + ports_.size())).first->second;
    entries_[name] = std::make_unique<EmulatedEntry>(platform_, clock_, eventlog::GroupMember { name, processorShare },
        nextIncarnation_++, port, events_, settings_, [this](const foundation::Address& address) {
            EmulatedEntry* peer = peerAt(address);
            return peer ? &peer->control() : nullptr;
        });
}

void Emulation::killEntry(const std::string& name)
{
    entries_.erase(name);
    frozen_.erase(name);
}

EmulatedEntry* Emulation::peerAt(const foundation::Address& address) const
{
    for (const auto& [name, port] : ports_) {
        const auto found = entries_.find(name);
        if (port == address.port && found != entries_.end() && !frozen_.count(name))
            return found->second.get();
    }
    return nullptr;
}

std::vector<std::string> Emulation::liveEntries() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : entries_) {
        if (!frozen_.count(name))
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
        if (entry->control().isController() && !frozen_.count(name))
            return name;
    }
    return {};
}

void Emulation::submit(const std::string& entryName, jobs::JobId id, const jobs::JobSpec& spec,
    std::function<void(RequestResult)> answered)
{
    platform_.rulebook().submitted(id, spec);
    EmulatedEntry* chosen = entry(entryName);
    if (!chosen || frozen_.count(entryName))
        return platform_.rulebook().mayBeAccepted(id);
    // Until an answer comes the job may have been stored; a process that ends gives none.
    platform_.rulebook().mayBeAccepted(id);
    chosen->service().submit(platform_.configuration().queues.front(), id, spec, clock_.now() + callerDeadline,
        [this, id, answered](RequestResult result) {
            if (answered)
                answered(result);
            if (result.outcome == RequestOutcome::Done)
                platform_.rulebook().accepted(id);
            else if (result.outcome == RequestOutcome::NotDone)
                platform_.rulebook().refused(id);
        });
}

void Emulation::cancel(const std::string& entryName, jobs::JobId id)
{
    EmulatedEntry* chosen = entry(entryName);
    if (!chosen || frozen_.count(entryName))
        return;
    chosen->service().cancel(id, clock_.now() + callerDeadline, [this, id](RequestResult result) {
        if (result.outcome == RequestOutcome::Done)
            platform_.rulebook().cancelled(id);
    });
}

void Emulation::look(const std::string& entryName, jobs::JobId id, std::function<void(JobStatus)> seen)
{
    EmulatedEntry* chosen = entry(entryName);
    if (!chosen || frozen_.count(entryName))
        return;
    chosen->service().status(id, [this, id, seen](JobStatus status) {
        if (status.knowledge == JobKnowledge::Known && status.state == jobs::JobState::Completed)
            platform_.rulebook().shownCompleted(id);
        if (seen)
            seen(status);
    });
}

void Emulation::run(milliseconds duration)
{
    const auto end = clock_.time + duration;
    while (clock_.time < end) {
        auto next = end;
        if (const auto deadline = platform_.network().nextDeadline())
            next = std::min(next, *deadline);
        for (auto& [name, entry] : entries_) {
            const auto deadline = entry->timers().nextDeadline();
            if (deadline && !frozen_.count(name))
                next = std::min(next, *deadline);
        }
        clock_.time = std::max(clock_.time, next);
        platform_.advance();
        platform_.network().runDue(clock_.time);
        for (const auto& name : liveEntries())
            entries_.at(name)->timers().runDue(clock_.time);
    }
}

} // namespace turmericsill::emulator
