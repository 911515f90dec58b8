#include "membership/membership.h"

#include "foundation/hash.h"
#include "membership/heartbeatcodec.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace turmericsill::membership {

using fleetlog::AppendOutcome;
using fleetstate::EntryMember;
using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

    constexpr milliseconds actionInterval { 2000 }; ///< Minimum time between submissions of the same record.
    constexpr std::size_t maximumKeptDigests = 256;
    constexpr std::size_t maximumKeptHeartbeats = 256;

    /// Delay of a tick, in heartbeat intervals, from which on the process is considered to have been paused.
    constexpr int pauseThresholdIntervals = 2;

    /// An entry that was silent for more heartbeat intervals is not relied on to admit or evict others.
    constexpr int recentContactIntervals = 2;

    /// Interval of instance list queries while the roster is stable and all members answer.
    constexpr milliseconds idlePollInterval { 10000 };

    bool contains(const std::vector<std::string>& names, const std::string& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

} // namespace

Membership::Membership(const settings::DaemonSettings& settings, std::uint64_t incarnation, IPeerTransport& transport,
    platform::IInstanceManager& instances, fleetlog::IFleetLog& log, foundation::ITimerQueue& timers,
    const foundation::IClock& clock, Callbacks callbacks)
    : settings_(settings)
    , incarnation_(incarnation)
    , transport_(transport)
    , instances_(instances)
    , log_(log)
    , timers_(timers)
    , clock_(clock)
    , callbacks_(std::move(callbacks))
    , departureTracker_(settings)
{
}

void Membership::start()
{
    lastTickAt_ = clock_.now();
    tick();
}

void Membership::tick()
{
    const SteadyTime now = clock_.now();
    resetSilenceAfterPause(now);
    lastTickAt_ = now;
    if (update_.caughtUp) {
        ensureJoined();
        admitPeers();
        evictSilentPeers();
        resolveDepartures();
        pollInstances();
    }
    sendHeartbeats();
    publish();
    timers_.schedule(now + settings_.heartbeatInterval, [this] { tick(); });
}

// After a pause of this process all peers appear silent although only this process was.
void Membership::resetSilenceAfterPause(SteadyTime now)
{
    if (now - lastTickAt_ < pauseThresholdIntervals * settings_.heartbeatInterval)
        return;
    for (auto& [name, peer] : peers_)
        peer.lastHeardAt = now;
}

void Membership::onState(const fleetlog::StateUpdate& update)
{
    const bool hasChanged = update_.state != update.state;
    update_ = update;
    if (!hasChanged || !update_.state)
        return;
    const SteadyTime now = clock_.now();
    departureTracker_.onState(*update_.state, now);
    for (const auto& [name, member] : update_.state->roster) {
        Peer& peer = peers_[name];
        if (peer.incarnation != member.incarnation)
            peer = { member.incarnation, now, {}, {}, false };
    }
    ownDigests_.emplace_back(update_.state->nextOffset, update_.state->digest());
    if (ownDigests_.size() > maximumKeptDigests)
        ownDigests_.pop_front();
    publish();
}

void Membership::onCallerReport(const CallerReport& report)
{
    const bool hasProgressed = report.busyInstances != callerReport_.busyInstances
        || report.acknowledgedRosterVersion != callerReport_.acknowledgedRosterVersion
        || report.appliedOffset != callerReport_.appliedOffset;
    callerReport_ = report;
    if (!hasProgressed)
        return;
    sendHeartbeats();
    publish();
}

void Membership::onDatagram(std::string_view datagram)
{
    auto heartbeat = decodeHeartbeat(datagram);
    if (!heartbeat || heartbeat->entry == settings_.entry)
        return;
    auto found = peers_.find(heartbeat->entry);
    if (found == peers_.end() || found->second.incarnation != heartbeat->incarnation)
        return;
    Peer& peer = found->second;
    if (heartbeat->sequence <= peer.lastHeartbeat.sequence)
        return;
    peer.lastHeardAt = clock_.now();
    peer.lastHeartbeat = std::move(*heartbeat);
    updateAcknowledgedSendTime(peer);
    compareDigests(peer);
    if (update_.caughtUp && !peer.lastHeartbeat.silentEntries.empty())
        evictSilentPeers();
    publish();
}

// A datagram may have been buffered, so its contents are only known to be newer than the heartbeat it acknowledges.
void Membership::updateAcknowledgedSendTime(Peer& peer) const
{
    for (const auto& [sequence, time] : sentHeartbeats_) {
        if (sequence == peer.lastHeartbeat.acknowledgedSequence)
            peer.acknowledgedSendTime = std::max(peer.acknowledgedSendTime, time);
    }
}

void Membership::compareDigests(Peer& peer)
{
    for (const auto& [offset, digest] : ownDigests_) {
        if (offset != peer.lastHeartbeat.digestOffset)
            continue;
        peer.isDivergent = digest != peer.lastHeartbeat.digest;
        if (peer.isDivergent)
            callbacks_.onDivergence(peer.lastHeartbeat.entry, isInMinority());
        return;
    }
}

// If only two entries differ, neither can tell which one is wrong, so at least two other members are required.
bool Membership::isInMinority() const
{
    std::size_t members = 0;
    std::size_t divergentCount = 0;
    for (const auto& [name, member] : update_.state->roster) {
        auto peer = peers_.find(name);
        if (name == settings_.entry || peer == peers_.end())
            continue;
        ++members;
        divergentCount += peer->second.isDivergent;
    }
    return members >= 2 && 2 * divergentCount > members;
}

void Membership::sendHeartbeats()
{
    if (!update_.state || isLeaving_)
        return;
    Heartbeat heartbeat;
    heartbeat.entry = settings_.entry;
    heartbeat.incarnation = incarnation_;
    heartbeat.sequence = ++sequence_;
    heartbeat.appliedOffset = callerReport_.appliedOffset;
    heartbeat.rosterVersion = update_.state->rosterVersion;
    heartbeat.acknowledgedRosterVersion = callerReport_.acknowledgedRosterVersion;
    heartbeat.logReachable = update_.logReachable;
    heartbeat.digestOffset = ownDigests_.empty() ? 0 : ownDigests_.back().first;
    heartbeat.digest = ownDigests_.empty() ? 0 : ownDigests_.back().second;
    heartbeat.busyInstances = callerReport_.busyInstances;
    heartbeat.silentEntries = silentEntries();
    sentHeartbeats_.emplace_back(heartbeat.sequence, clock_.now());
    if (sentHeartbeats_.size() > maximumKeptHeartbeats)
        sentHeartbeats_.pop_front();
    for (const auto& [name, member] : update_.state->roster) {
        if (name == settings_.entry)
            continue;
        auto peer = peers_.find(name);
        heartbeat.acknowledgedSequence = peer == peers_.end() ? 0 : peer->second.lastHeartbeat.sequence;
        if (auto address = foundation::parseAddress(member.peerAddress))
            transport_.send(*address, encodeHeartbeat(heartbeat));
    }
}

bool Membership::startActionIfDue(const std::string& action)
{
    auto [found, inserted] = lastActionTimes_.emplace(action, clock_.now());
    if (!inserted && clock_.now() - found->second < actionInterval)
        return false;
    found->second = clock_.now();
    return true;
}

void Membership::ensureJoined()
{
    const bool isMember = update_.state->findMember(settings_.entry, incarnation_) != nullptr;
    wasMember_ |= isMember;
    if (isLeaving_ || isMember || !startActionIfDue("join"))
        return;
    if (std::exchange(wasMember_, false)) {
        // The entry was evicted while it was paused or partitioned; it rejoins under a new incarnation.
        incarnation_ = std::max<std::uint64_t>(
            incarnation_ + 1, std::chrono::duration_cast<milliseconds>(clock_.wallNow().time_since_epoch()).count());
        LOG(WARNING) << "removed from the roster; rejoining as incarnation " << incarnation_;
    }
    log_.submit(fleetstate::EntryJoin { settings_.entry, incarnation_, settings_.dataCentre,
                    settings_.peerAddress.toString(), settings_.callerAddress.toString() },
        [this](AppendOutcome outcome, const std::string&) {
            // If the entry was evicted before it read its own join, the log does not accept this incarnation again.
            wasMember_ |= outcome == AppendOutcome::Refused;
        });
}

bool Membership::isAdmitted() const
{
    const EntryMember* self = update_.state ? update_.state->findMember(settings_.entry, incarnation_) : nullptr;
    return self && self->admitted;
}

void Membership::admitPeers()
{
    const bool isNobodyAdmitted = update_.state->admittedEntries().empty();
    for (const auto& [name, member] : update_.state->roster) {
        if (member.admitted)
            continue;
        const bool isBootstrap = isNobodyAdmitted && name == settings_.entry && member.incarnation == incarnation_;
        const bool isSponsor = isAdmitted() && !isSilent(member) && isResponsibleFor(name);
        if ((isBootstrap || isSponsor) && startActionIfDue("admit " + name))
            log_.submit(fleetstate::EntryAdmit { name, member.incarnation, settings_.entry },
                [](AppendOutcome, const std::string&) {});
    }
}

bool Membership::isSilent(const EntryMember& member) const
{
    if (member.entry == settings_.entry)
        return false;
    auto found = peers_.find(member.entry);
    return found != peers_.end() && clock_.now() - found->second.lastHeardAt > settings_.suspectAfter;
}

std::vector<std::string> Membership::silentEntries() const
{
    std::vector<std::string> silent;
    for (const auto& [name, member] : update_.state->roster) {
        if (isSilent(member))
            silent.push_back(name);
    }
    return silent;
}

std::vector<std::string> Membership::reachableAdmittedEntries() const
{
    std::vector<std::string> reachable;
    for (const auto& [name, member] : update_.state->roster) {
        if (member.admitted && !isSilent(member))
            reachable.push_back(name);
    }
    return reachable;
}

// Only one of the recently heard entries acts; if views differ and two act, the log rejects the second record.
bool Membership::isResponsibleFor(const std::string& subject) const
{
    std::vector<std::string> candidates;
    for (const auto& name : reachableAdmittedEntries()) {
        const auto peer = peers_.find(name);
        const bool wasHeardRecently = peer != peers_.end()
            && clock_.now() - peer->second.lastHeardAt <= recentContactIntervals * settings_.heartbeatInterval;
        if (name == settings_.entry || wasHeardRecently)
            candidates.push_back(name);
    }
    return foundation::rendezvousOwner(subject, candidates) == settings_.entry;
}

// A link that fails in one direction must not evict a member that other entries can still hear.
bool Membership::isSilentForAll(const std::string& entry) const
{
    for (const auto& name : reachableAdmittedEntries()) {
        if (name != settings_.entry && !contains(peers_.at(name).lastHeartbeat.silentEntries, entry))
            return false;
    }
    return true;
}

void Membership::evictSilentPeers()
{
    const std::vector<std::string> silent = silentEntries();
    if (silent.empty() || !update_.state->findMember(settings_.entry, incarnation_))
        return;
    const std::size_t admitted = update_.state->admittedEntries().size();
    std::size_t silentAdmitted = 0;
    for (const auto& name : silent)
        silentAdmitted += update_.state->roster.at(name).admitted;
    // An entry that hears less than half of the admitted members is more likely to be partitioned than they are to be
    // gone.
    const bool isPartitioned = 2 * silentAdmitted > admitted;
    for (const auto& name : silent) {
        const EntryMember& member = update_.state->roster.at(name);
        if (departureTracker_.isProvenGone(name, clock_.now()))
            evict(member, true);
        else if (isAdmitted() && !isPartitioned && isResponsibleFor(name) && isSilentForAll(name))
            evict(member, false);
    }
}

void Membership::evict(const EntryMember& member, bool provenGone)
{
    if (!startActionIfDue("evict " + member.entry))
        return;
    LOG(WARNING) << "evicting entry " << member.entry << " incarnation " << member.incarnation
                 << (provenGone ? ": gone from the instance list" : ": no heartbeats");
    log_.submit(fleetstate::EntryLeave { member.entry, member.incarnation, settings_.entry, false, provenGone },
        [](AppendOutcome, const std::string&) {});
}

void Membership::resolveDepartures()
{
    for (const auto& departure : departureTracker_.resolvableDepartures(clock_.now())) {
        if (!startActionIfDue("resolve " + departure.entry))
            continue;
        LOG(INFO) << departure.entry << " incarnation " << departure.incarnation
                  << " can no longer be running; resolving its departure";
        log_.submit(fleetstate::DepartureResolved { departure.entry, departure.incarnation, settings_.entry },
            [](AppendOutcome, const std::string&) {});
    }
}

// The list is queried at a low rate even when idle, so that it is known which entries were listed before a departure.
void Membership::pollInstances()
{
    // A query soon after a join records that the entry was listed, so a later absence proves that it is gone.
    const bool isUrgent = !update_.state->departures.empty() || !silentEntries().empty()
        || polledRosterVersion_ != update_.state->rosterVersion;
    const SteadyTime now = clock_.now();
    if (isPollingInstances_ || now < (isUrgent ? lastPollAt_ + actionInterval : lastPollAt_ + idlePollInterval))
        return;
    lastPollAt_ = now;
    polledRosterVersion_ = update_.state->rosterVersion;
    std::vector<std::string> names;
    for (const auto& [name, member] : update_.state->roster)
        names.push_back(name);
    for (const auto& departure : update_.state->departures)
        names.push_back(departure.entry);
    isPollingInstances_ = true;
    instances_.listInstances(names, [this](const foundation::Result<std::vector<platform::ListedInstance>>& list) {
        isPollingInstances_ = false;
        if (list)
            departureTracker_.onInstanceList(*list, clock_.now());
    });
}

void Membership::leave(std::function<void()> done)
{
    isLeaving_ = true;
    log_.submit(fleetstate::EntryLeave { settings_.entry, incarnation_, settings_.entry, true, false },
        [done = std::move(done)](AppendOutcome, const std::string&) { done(); });
}

// The lease holds if the log was read recently or if every other admitted member recently reported the same roster:
// only an admitted member can evict, and one that did so would report a newer roster.
SteadyTime Membership::membershipLeaseUntil() const
{
    SteadyTime acknowledgedUntil = SteadyTime::max();
    for (const auto& [name, member] : update_.state->roster) {
        if (name == settings_.entry || !member.admitted)
            continue;
        auto peer = peers_.find(name);
        const bool hasSameRoster
            = peer != peers_.end() && peer->second.lastHeartbeat.rosterVersion == update_.state->rosterVersion;
        acknowledgedUntil = hasSameRoster
            ? std::min(acknowledgedUntil, peer->second.acknowledgedSendTime + settings_.fenceAfter)
            : SteadyTime {};
        if (!hasSameRoster)
            break;
    }
    // Without another admitted member only reads of the log extend the lease.
    if (acknowledgedUntil == SteadyTime::max())
        acknowledgedUntil = SteadyTime {};
    return std::max(acknowledgedUntil, update_.confirmedAt + settings_.fenceAfter);
}

std::uint64_t Membership::computeSettledRosterVersion() const
{
    // A departed entry may still be using any roster that it was part of, whatever the others acknowledge.
    if (!update_.state->departures.empty())
        return settledRosterVersion_;
    std::uint64_t settled = callerReport_.acknowledgedRosterVersion;
    for (const auto& [name, member] : update_.state->roster) {
        if (name == settings_.entry || !member.admitted)
            continue;
        auto peer = peers_.find(name);
        settled = std::min(settled, peer == peers_.end() ? 0 : peer->second.lastHeartbeat.acknowledgedRosterVersion);
    }
    return settled;
}

void Membership::publish()
{
    if (!update_.state)
        return;
    settledRosterVersion_ = std::max(settledRosterVersion_, computeSettledRosterVersion());
    ServingLimits limits;
    limits.settledRosterVersion = settledRosterVersion_;
    limits.leaseExpiry = membershipLeaseUntil();
    const bool fences = settings_.staleServing == settings::StaleServing::Fence;
    limits.servingUntil = fences ? limits.leaseExpiry : SteadyTime::max();
    callbacks_.onServingLimits(limits);
    callbacks_.onMembershipView(membershipView());
}

MembershipView Membership::membershipView() const
{
    MembershipView view;
    view.leaseExpiry = membershipLeaseUntil();
    for (const auto& [name, member] : update_.state->roster) {
        if (name == settings_.entry)
            view.members[name] = { incarnation_, callerReport_.appliedOffset, callerReport_.busyInstances };
        else if (auto peer = peers_.find(name); peer != peers_.end())
            view.members[name] = { member.incarnation, peer->second.lastHeartbeat.appliedOffset,
                peer->second.lastHeartbeat.busyInstances };
    }
    return view;
}

} // namespace turmericsill::membership
