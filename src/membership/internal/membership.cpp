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

    constexpr milliseconds actionInterval { 2000 }; ///< Before the same record is submitted again.
    constexpr std::size_t keptDigests = 256;
    constexpr std::size_t keptHeartbeats = 256;
    constexpr int lateTicksOfAPause = 2;
    constexpr int heartbeatsOfAnActor = 2; ///< An entry that missed more is not relied on to act.
    constexpr milliseconds leisurePollInterval { 10000 };

    bool contains(const std::vector<std::string>& names, const std::string& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

} // namespace

Membership::Membership(const settings::DaemonSettings& settings, std::uint64_t incarnation, IPeerTransport& transport,
    platform::IInstancePlatform& instances, fleetlog::IFleetLog& log, foundation::ITimerQueue& timers,
    const foundation::IClock& clock, Callbacks callbacks)
    : settings_(settings)
    , incarnation_(incarnation)
    , transport_(transport)
    , instances_(instances)
    , log_(log)
    , timers_(timers)
    , clock_(clock)
    , callbacks_(std::move(callbacks))
    , departures_(settings)
{
}

void Membership::start()
{
    lastTick_ = clock_.now();
    tick();
}

void Membership::tick()
{
    const SteadyTime now = clock_.now();
    forgiveSilenceAfterPause(now);
    lastTick_ = now;
    if (update_.caughtUp) {
        keepJoined();
        admitPeers();
        expelSilentPeers();
        resolveDepartures();
        pollInstances();
    }
    sendHeartbeats();
    publish();
    timers_.schedule(now + settings_.heartbeatInterval, [this] { tick(); });
}

// After a pause of this process every peer looks silent, though only this one was.
void Membership::forgiveSilenceAfterPause(SteadyTime now)
{
    if (now - lastTick_ < lateTicksOfAPause * settings_.heartbeatInterval)
        return;
    for (auto& [name, peer] : peers_)
        peer.lastHeard = now;
}

void Membership::onState(const fleetlog::StateUpdate& update)
{
    const bool changed = update_.state != update.state;
    update_ = update;
    if (!changed || !update_.state)
        return;
    const SteadyTime now = clock_.now();
    departures_.onState(*update_.state, now);
    for (const auto& [name, member] : update_.state->roster) {
        Peer& peer = peers_[name];
        if (peer.incarnation != member.incarnation)
            peer = { member.incarnation, now, {}, {}, false };
    }
    digests_.emplace_back(update_.state->nextOffset, update_.state->digest());
    if (digests_.size() > keptDigests)
        digests_.pop_front();
    publish();
}

void Membership::onCallerReport(const CallerReport& report)
{
    const bool progressed = report.busyInstances != report_.busyInstances
        || report.acknowledgedRoster != report_.acknowledgedRoster || report.appliedOffset != report_.appliedOffset;
    report_ = report;
    if (!progressed)
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
    if (heartbeat->sequence <= peer.last.sequence)
        return;
    peer.lastHeard = clock_.now();
    peer.last = std::move(*heartbeat);
    noteVouching(peer);
    compareDigests(peer);
    if (update_.caughtUp && !peer.last.silentEntries.empty())
        expelSilentPeers();
    publish();
}

// A datagram may have waited in a buffer, so what it says is only known to be newer than what it answers.
void Membership::noteVouching(Peer& peer) const
{
    for (const auto& [sequence, time] : sentAt_) {
        if (sequence == peer.last.answeredSequence)
            peer.vouchedAt = std::max(peer.vouchedAt, time);
    }
}

void Membership::compareDigests(Peer& peer)
{
    for (const auto& [offset, digest] : digests_) {
        if (offset != peer.last.digestOffset)
            continue;
        peer.diverges = digest != peer.last.digest;
        if (peer.diverges)
            callbacks_.onDivergence(peer.last.entry, isOddOneOut());
        return;
    }
}

// Of two entries that differ neither can tell which one is wrong, so it takes at least two others to say so.
bool Membership::isOddOneOut() const
{
    std::size_t members = 0;
    std::size_t diverging = 0;
    for (const auto& [name, member] : update_.state->roster) {
        auto peer = peers_.find(name);
        if (name == settings_.entry || peer == peers_.end())
            continue;
        ++members;
        diverging += peer->second.diverges;
    }
    return members >= 2 && 2 * diverging > members;
}

void Membership::sendHeartbeats()
{
    if (!update_.state || leaving_)
        return;
    Heartbeat heartbeat;
    heartbeat.entry = settings_.entry;
    heartbeat.incarnation = incarnation_;
    heartbeat.sequence = ++sequence_;
    heartbeat.appliedOffset = report_.appliedOffset;
    heartbeat.rosterVersion = update_.state->rosterVersion;
    heartbeat.acknowledgedRoster = report_.acknowledgedRoster;
    heartbeat.logReachable = update_.logReachable;
    heartbeat.digestOffset = digests_.empty() ? 0 : digests_.back().first;
    heartbeat.digest = digests_.empty() ? 0 : digests_.back().second;
    heartbeat.busyInstances = report_.busyInstances;
    heartbeat.silentEntries = silentEntries();
    sentAt_.emplace_back(heartbeat.sequence, clock_.now());
    if (sentAt_.size() > keptHeartbeats)
        sentAt_.pop_front();
    for (const auto& [name, member] : update_.state->roster) {
        if (name == settings_.entry)
            continue;
        auto peer = peers_.find(name);
        heartbeat.answeredSequence = peer == peers_.end() ? 0 : peer->second.last.sequence;
        if (auto address = foundation::parseAddress(member.peerAddress))
            transport_.send(*address, encodeHeartbeat(heartbeat));
    }
}

bool Membership::mayAct(const std::string& action)
{
    auto [found, inserted] = lastActions_.emplace(action, clock_.now());
    if (!inserted && clock_.now() - found->second < actionInterval)
        return false;
    found->second = clock_.now();
    return true;
}

void Membership::keepJoined()
{
    const bool isMember = update_.state->findMember(settings_.entry, incarnation_) != nullptr;
    wasMember_ |= isMember;
    if (leaving_ || isMember || !mayAct("join"))
        return;
    if (std::exchange(wasMember_, false)) {
        // Expelled while it was paused or cut off: it comes back as a newcomer.
        incarnation_ = std::max<std::uint64_t>(
            incarnation_ + 1, std::chrono::duration_cast<milliseconds>(clock_.wallNow().time_since_epoch()).count());
        LOG(WARNING) << "expelled; joining again as incarnation " << incarnation_;
    }
    log_.submit(fleetstate::EntryJoin { settings_.entry, incarnation_, settings_.dataCentre,
                    settings_.peerAddress.text(), settings_.callerAddress.text() },
        [this](AppendOutcome outcome, const std::string&) {
            // Expelled before it saw its own join: this incarnation is not taken again.
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
    const bool nobodyAdmitted = update_.state->admittedEntries().empty();
    for (const auto& [name, member] : update_.state->roster) {
        if (member.admitted)
            continue;
        const bool selfAdmits = nobodyAdmitted && name == settings_.entry && member.incarnation == incarnation_;
        const bool sponsors = isAdmitted() && !isSilent(member) && isChosenFor(name);
        if ((selfAdmits || sponsors) && mayAct("admit " + name))
            log_.submit(fleetstate::EntryAdmit { name, member.incarnation, settings_.entry },
                [](AppendOutcome, const std::string&) {});
    }
}

bool Membership::isSilent(const EntryMember& member) const
{
    if (member.entry == settings_.entry)
        return false;
    auto found = peers_.find(member.entry);
    return found != peers_.end() && clock_.now() - found->second.lastHeard > settings_.suspectAfter;
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

std::vector<std::string> Membership::answeringAdmitted() const
{
    std::vector<std::string> answering;
    for (const auto& [name, member] : update_.state->roster) {
        if (member.admitted && !isSilent(member))
            answering.push_back(name);
    }
    return answering;
}

// One of the entries that were heard lately acts first; the log makes a second one harmless.
bool Membership::isChosenFor(const std::string& subject) const
{
    std::vector<std::string> candidates;
    for (const auto& name : answeringAdmitted()) {
        const auto peer = peers_.find(name);
        const bool heardLately = peer != peers_.end()
            && clock_.now() - peer->second.lastHeard <= heartbeatsOfAnActor * settings_.heartbeatInterval;
        if (name == settings_.entry || heardLately)
            candidates.push_back(name);
    }
    return foundation::rendezvousWinner(subject, candidates) == settings_.entry;
}

// A link that fails in one direction must not cost a member that the others hear.
bool Membership::isSuspectedByAll(const std::string& entry) const
{
    for (const auto& name : answeringAdmitted()) {
        if (name != settings_.entry && !contains(peers_.at(name).last.silentEntries, entry))
            return false;
    }
    return true;
}

void Membership::expelSilentPeers()
{
    const std::vector<std::string> silent = silentEntries();
    if (silent.empty() || !update_.state->findMember(settings_.entry, incarnation_))
        return;
    const std::size_t admitted = update_.state->admittedEntries().size();
    std::size_t silentAdmitted = 0;
    for (const auto& name : silent)
        silentAdmitted += update_.state->roster.at(name).admitted;
    // An entry that hears less than half of the others is likelier to be cut off than they are to be gone.
    const bool cutOff = 2 * silentAdmitted > admitted;
    for (const auto& name : silent) {
        const EntryMember& member = update_.state->roster.at(name);
        if (departures_.isProvenGone(name, clock_.now()))
            expel(member, true);
        else if (isAdmitted() && !cutOff && isChosenFor(name) && isSuspectedByAll(name))
            expel(member, false);
    }
}

void Membership::expel(const EntryMember& member, bool provenGone)
{
    if (!mayAct("expel " + member.entry))
        return;
    LOG(WARNING) << "expelling " << member.entry << " incarnation " << member.incarnation
                 << (provenGone ? ": gone from the instance list" : ": silent");
    log_.submit(fleetstate::EntryLeave { member.entry, member.incarnation, settings_.entry, false, provenGone },
        [](AppendOutcome, const std::string&) {});
}

void Membership::resolveDepartures()
{
    for (const auto& departure : departures_.proven(clock_.now())) {
        if (!mayAct("resolve " + departure.entry))
            continue;
        LOG(INFO) << departure.entry << " incarnation " << departure.incarnation << " is surely gone";
        log_.submit(fleetstate::DepartureResolved { departure.entry, departure.incarnation, settings_.entry },
            [](AppendOutcome, const std::string&) {});
    }
}

// The list is asked at a low rate so that it is known who was on it before a departure.
void Membership::pollInstances()
{
    // A list that is asked soon after a join shows later that the entry was there and is gone.
    const bool urgent = !update_.state->departures.empty() || !silentEntries().empty()
        || polledRoster_ != update_.state->rosterVersion;
    const SteadyTime now = clock_.now();
    if (pollingInstances_ || now < (urgent ? lastPoll_ + actionInterval : lastPoll_ + leisurePollInterval))
        return;
    lastPoll_ = now;
    polledRoster_ = update_.state->rosterVersion;
    std::vector<std::string> names;
    for (const auto& [name, member] : update_.state->roster)
        names.push_back(name);
    for (const auto& departure : update_.state->departures)
        names.push_back(departure.entry);
    pollingInstances_ = true;
    instances_.listInstances(names, [this](const foundation::Result<std::vector<platform::ListedInstance>>& list) {
        pollingInstances_ = false;
        if (list)
            departures_.onInstanceList(*list, clock_.now());
    });
}

void Membership::leave(std::function<void()> done)
{
    leaving_ = true;
    log_.submit(fleetstate::EntryLeave { settings_.entry, incarnation_, settings_.entry, true, false },
        [done = std::move(done)](AppendOutcome, const std::string&) { done(); });
}

// Certain while the log was read recently, or while every admitted member says that it knows the same roster:
// only an admitted member can expel, and one that did so would know a newer one.
SteadyTime Membership::certainUntil() const
{
    SteadyTime vouched = SteadyTime::max();
    for (const auto& [name, member] : update_.state->roster) {
        if (name == settings_.entry || !member.admitted)
            continue;
        auto peer = peers_.find(name);
        const bool agrees = peer != peers_.end() && peer->second.last.rosterVersion == update_.state->rosterVersion;
        vouched = agrees ? std::min(vouched, peer->second.vouchedAt + settings_.fenceAfter) : SteadyTime {};
        if (!agrees)
            break;
    }
    // With no other member there is nobody to vouch.
    if (vouched == SteadyTime::max())
        vouched = SteadyTime {};
    return std::max(vouched, update_.confirmedAt + settings_.fenceAfter);
}

std::uint64_t Membership::settledRoster() const
{
    // A departed entry may still keep to any roster that it was part of, whatever the others acknowledge.
    if (!update_.state->departures.empty())
        return settledRoster_;
    std::uint64_t settled = report_.acknowledgedRoster;
    for (const auto& [name, member] : update_.state->roster) {
        if (name == settings_.entry || !member.admitted)
            continue;
        auto peer = peers_.find(name);
        settled = std::min(settled, peer == peers_.end() ? 0 : peer->second.last.acknowledgedRoster);
    }
    return settled;
}

void Membership::publish()
{
    if (!update_.state)
        return;
    settledRoster_ = std::max(settledRoster_, settledRoster());
    ServingView serving;
    serving.settledRoster = settledRoster_;
    serving.certainUntil = certainUntil();
    const bool fences = settings_.staleServing == settings::StaleServing::Fence;
    serving.servingUntil = fences ? serving.certainUntil : SteadyTime::max();
    callbacks_.onServingView(serving);
    callbacks_.onPeersView(peersView());
}

PeersView Membership::peersView() const
{
    PeersView view;
    view.certainUntil = certainUntil();
    for (const auto& [name, member] : update_.state->roster) {
        if (name == settings_.entry)
            view.members[name] = { incarnation_, report_.appliedOffset, report_.busyInstances };
        else if (auto peer = peers_.find(name); peer != peers_.end())
            view.members[name]
                = { member.incarnation, peer->second.last.appliedOffset, peer->second.last.busyInstances };
    }
    return view;
}

} // namespace turmericsill::membership
