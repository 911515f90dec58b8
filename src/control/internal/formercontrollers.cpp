#include "control/formercontrollers.h"

#include <algorithm>

namespace turmericsill::control {

using foundation::Result;
using foundation::SteadyTime;

namespace {

    constexpr milliseconds askInterval { 500 };
    constexpr milliseconds orderDelay { 200 }; ///< Of a renewal that was on its way when its sender stopped.
    constexpr milliseconds clockTolerance { 2500 }; ///< Times of day of two entries differ by less.

} // namespace

FormerControllers::FormerControllers(IPeerControl& peers, foundation::IClock& clock, foundation::ITimerQueue& timers,
    telemetry::IEventSink& events, const LeaseTerms& terms)
    : peers_(peers)
    , clock_(clock)
    , timers_(timers)
    , events_(events)
    , terms_(terms)
{
}

FormerControllers::~FormerControllers() { *alive_ = false; }

// A claim that was replaced longer ago than a renewal and its lease can last needs no question.
void FormerControllers::begin(const std::deque<jobs::Claimed>& claims)
{
    former_.clear();
    const jobs::Claimed& own = claims.back();
    for (std::size_t i = 0; i + 1 < claims.size(); ++i) {
        const auto replacedFor = own.claimedAt - claims[i + 1].claimedAt;
        if (replacedFor > terms_.outageLimit + terms_.length + clockTolerance)
            continue;
        Former former { claims[i], clock_.now() + terms_.outageLimit, false };
        // The process that made a claim in this entry's name has ended, or has stopped to control.
        if (former.claim.entry == own.entry) {
            former.stoppedAt = clock_.now();
            former.isKnown = true;
        }
        former_.push_back(former);
    }
    askAll();
}

SteadyTime FormerControllers::leasesOverAt() const
{
    SteadyTime latest = SteadyTime::min();
    for (const auto& former : former_)
        latest = std::max(latest, former.stoppedAt);
    if (former_.empty())
        return latest;
    // A lease ends by the former controller's estimate of the instance's clock, which has run ahead since the last
    // answer.
    const auto ahead = terms_.idleRenewInterval * (1 - terms_.slowestClock);
    const auto lease = (terms_.length + ahead) / terms_.slowestClock + orderDelay;
    return latest + std::chrono::duration_cast<SteadyTime::duration>(lease);
}

void FormerControllers::askAll()
{
    bool asksAgain = false;
    for (std::size_t i = 0; i < former_.size(); ++i) {
        if (former_[i].isKnown || clock_.now() >= former_[i].stoppedAt)
            continue;
        const auto address = foundation::parseAddress(former_[i].claim.address);
        if (!address)
            continue;
        asksAgain = true;
        peers_.ask(*address, [this, i, alive = alive_](const Result<PeerControlState>& state) {
            if (!*alive || !state || former_[i].isKnown)
                return;
            const jobs::Claimed& claim = former_[i].claim;
            if (state->incarnation == claim.incarnation && state->epoch == claim.epoch)
                return; // It has not noticed yet.
            former_[i].isKnown = true;
            former_[i].stoppedAt = clock_.now();
            events_.write("control.former-stopped",
                { { "former", claim.entry }, { "epoch", claim.epoch }, { "says_epoch", state->epoch } });
        });
    }
    if (!asksAgain)
        return;
    timers_.schedule(clock_.now() + askInterval, [this, alive = alive_] {
        if (*alive)
            askAll();
    });
}

} // namespace turmericsill::control
