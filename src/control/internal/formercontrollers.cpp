#include "control/formercontrollers.h"

#include <algorithm>
#include <utility>

namespace turmericsill::control {

using foundation::Result;
using foundation::SteadyTime;
using jobs::ControlClaimed;

namespace {

    constexpr milliseconds queryInterval { 100 }; ///< A witness reads the claim of this entry a little later.
    /// Versions that name no witnesses let a lease end by an estimate of the instance clock, which may be ahead of it.
    constexpr milliseconds estimatedLeaseMargin { 500 };

    bool isWitness(const ControlClaimed& claim, const std::string& entry)
    {
        return claim.witnesses
            && std::any_of(claim.witnesses->begin(), claim.witnesses->end(),
                [&](const jobs::ControlWitness& witness) { return witness.entry == entry; });
    }

} // namespace

FormerControllers::FormerControllers(IPeerControl& peers, foundation::IClock& clock, foundation::ITimerQueue& timers,
    telemetry::IEventSink& events, const LeaseTerms& leaseTerms)
    : peers_(peers)
    , clock_(clock)
    , timers_(timers)
    , events_(events)
    , leaseTerms_(leaseTerms)
{
}

FormerControllers::~FormerControllers() { *alive_ = false; }

void FormerControllers::begin(const eventlog::JobFollower& follower)
{
    controllers_.clear();
    for (std::size_t i = 0; i + 1 < follower.table().claims().size(); ++i) {
        FormerController former = evaluate(follower, i);
        if (leasesExpiredAt(former) < clock_.now())
            continue;
        report(former);
        controllers_.push_back(std::move(former));
    }
    queryAll();
}

// A witness that has claimed control was aware of it before its claim could be read. Whatever an earlier process of
// this entry has confirmed, it did before this one started.
FormerControllers::FormerController FormerControllers::evaluate(
    const eventlog::JobFollower& follower, std::size_t index) const
{
    const auto& claims = follower.table().claims();
    const ControlClaimed& claim = claims[index];
    const ControlClaimed& own = claims.back();
    const auto replacedAt = follower.claimKnownSince(claims[index + 1].epoch);
    FormerController former { claim, replacedAt + leaseTerms_.logOutageLimit, false, "outage-limit" };
    if (!claim.witnesses)
        former.confirmedUntil += estimatedLeaseMargin;
    const auto bound = [&former](SteadyTime time, const std::string& evidence) {
        if (former.isBounded && time >= former.confirmedUntil)
            return;
        former.isBounded = true;
        former.confirmedUntil = std::min(former.confirmedUntil, time);
        former.evidence = evidence;
    };
    if (claim.entry == own.entry)
        bound(clock_.now(), "own-claim");
    if (claim.witnesses && claim.witnesses->empty())
        bound(replacedAt, "no-witness");
    if (isWitness(claim, own.entry))
        bound(replacedAt, "own-witness");
    for (std::size_t later = index + 1; later < claims.size(); ++later) {
        if (isWitness(claim, claims[later].entry))
            bound(follower.claimKnownSince(claims[later].epoch), "claim-of-witness");
    }
    return former;
}

SteadyTime FormerControllers::leasesExpiredAt() const
{
    SteadyTime latest = SteadyTime::min();
    for (const auto& former : controllers_)
        latest = std::max(latest, leasesExpiredAt(former));
    return latest;
}

SteadyTime FormerControllers::leasesExpiredAt(const FormerController& former) const
{
    return former.confirmedUntil + leaseTerms_.duration + leaseTerms_.expiryMargin;
}

void FormerControllers::queryAll()
{
    bool hasUnbounded = false;
    for (std::size_t i = 0; i < controllers_.size(); ++i) {
        const FormerController& former = controllers_[i];
        if (former.isBounded || clock_.now() >= former.confirmedUntil)
            continue;
        hasUnbounded = true;
        const ControlClaimed claim = former.claim;
        query(i, claim.entry, claim.address);
        for (const auto& witness : claim.witnesses.value_or(std::vector<jobs::ControlWitness> {}))
            query(i, witness.entry, witness.address);
    }
    if (!hasUnbounded)
        return;
    timers_.schedule(clock_.now() + queryInterval, [this, alive = alive_] {
        if (*alive)
            queryAll();
    });
}

void FormerControllers::query(std::size_t index, const std::string& entry, const std::string& address)
{
    const auto parsed = foundation::parseAddress(address);
    if (!parsed)
        return;
    peers_.queryState(*parsed, [this, index, entry, alive = alive_](const Result<PeerControlState>& state) {
        if (*alive && state && !controllers_[index].isBounded)
            onAnswer(controllers_[index], entry, *state);
    });
}

void FormerControllers::onAnswer(FormerController& former, const std::string& entry, const PeerControlState& state)
{
    const ControlClaimed& claim = former.claim;
    const bool knowsLaterClaim = state.latestClaim > claim.epoch;
    // One that does not control yet, since it has not read its claim, answers like one that has stopped.
    const bool hasStopped = entry == claim.entry
        && (state.incarnation != claim.incarnation || (state.epoch != claim.epoch && knowsLaterClaim));
    const bool isObjecting = isWitness(claim, entry) && knowsLaterClaim;
    if (!hasStopped && !isObjecting)
        return;
    const auto margin = !claim.witnesses ? estimatedLeaseMargin : milliseconds(0);
    former.isBounded = true;
    former.confirmedUntil = std::min(former.confirmedUntil, clock_.now() + margin);
    former.evidence = hasStopped ? "stopped" : "answer-of-witness";
    report(former);
}

void FormerControllers::report(const FormerController& former) const
{
    const auto left = leasesExpiredAt(former) - clock_.now();
    events_.write("control.former",
        { { "former", former.claim.entry }, { "epoch", former.claim.epoch }, { "evidence", former.evidence },
            { "leases_left_ms", std::int64_t(std::chrono::duration_cast<milliseconds>(left).count()) } });
}

} // namespace turmericsill::control
