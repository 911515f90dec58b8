#include "control/formercontrollers.h"

#include <algorithm>
#include <utility>

namespace turmericsill::control {

using foundation::Result;
using foundation::SteadyTime;
using jobs::ControlClaimed;

namespace {

    constexpr milliseconds queryInterval { 500 };

    bool isWitness(const ControlClaimed& claim, const std::string& entry)
    {
        return std::any_of(claim.witnesses.begin(), claim.witnesses.end(),
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
        if (former.confirmedUntil + leaseTerms_.duration + leaseTerms_.expiryMargin < clock_.now())
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
    const auto bound = [&former](SteadyTime time, const std::string& evidence) {
        former.isBounded = true;
        if (time >= former.confirmedUntil)
            return;
        former.confirmedUntil = time;
        former.evidence = evidence;
    };
    if (claim.entry == own.entry)
        bound(std::max(replacedAt, clock_.now()), "own-claim");
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
        latest = std::max(latest, former.confirmedUntil + leaseTerms_.duration + leaseTerms_.expiryMargin);
    return latest;
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
        for (const auto& witness : claim.witnesses)
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
    const bool hasStopped
        = entry == claim.entry && (state.incarnation != claim.incarnation || state.epoch != claim.epoch);
    const bool isObjecting = isWitness(claim, entry) && state.latestClaim > claim.epoch;
    if (!hasStopped && !isObjecting)
        return;
    former.isBounded = true;
    former.confirmedUntil = std::min(former.confirmedUntil, clock_.now());
    former.evidence = hasStopped ? "stopped" : "answer-of-witness";
    events_.write("control.former-stopped",
        { { "former", claim.entry }, { "epoch", claim.epoch }, { "witness", entry }, { "says_epoch", state.epoch } });
    report(former);
}

void FormerControllers::report(const FormerController& former) const
{
    const auto left = former.confirmedUntil + leaseTerms_.duration + leaseTerms_.expiryMargin - clock_.now();
    events_.write("control.former",
        { { "former", former.claim.entry }, { "epoch", former.claim.epoch }, { "evidence", former.evidence },
            { "leases_left_ms", std::int64_t(std::chrono::duration_cast<milliseconds>(left).count()) } });
}

} // namespace turmericsill::control
