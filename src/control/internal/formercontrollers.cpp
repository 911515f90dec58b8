#include "control/formercontrollers.h"

#include <algorithm>

namespace turmericsill::control {

using foundation::Result;
using foundation::SteadyTime;

namespace {

    constexpr milliseconds queryInterval { 500 };
    /// Longest transit of a renewal sent just before its sender stopped.
    constexpr milliseconds renewalTransitDelay { 200 };
    constexpr milliseconds wallClockTolerance { 2500 }; ///< Greatest difference between the wall clocks of two entries.

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

// Claims that were replaced so long ago that no renewal or lease can be left are not queried.
void FormerControllers::begin(const std::deque<jobs::ControlClaimed>& claims)
{
    controllers_.clear();
    const jobs::ControlClaimed& own = claims.back();
    for (std::size_t i = 0; i + 1 < claims.size(); ++i) {
        const auto timeSinceReplaced = own.claimedAt - claims[i + 1].claimedAt;
        if (timeSinceReplaced > leaseTerms_.logOutageLimit + leaseTerms_.duration + wallClockTolerance)
            continue;
        FormerController former { claims[i], clock_.now() + leaseTerms_.logOutageLimit, false };
        // An earlier claim by this entry: its process has ended, or this process has stopped being the controller.
        if (former.claim.entry == own.entry) {
            former.stoppedBy = clock_.now();
            former.isStopConfirmed = true;
        }
        report(former);
        controllers_.push_back(former);
    }
    queryAll();
}

SteadyTime FormerControllers::leasesExpiredAfter(SteadyTime stoppedBy) const
{
    // The end of a lease is computed from the former controller's estimate of the instance clock, which may have run
    // ahead of that clock since the instance's last answer.
    const auto clockDrift = leaseTerms_.idleRenewInterval * (1 - leaseTerms_.slowestClockRate);
    const auto lease = (leaseTerms_.duration + clockDrift) / leaseTerms_.slowestClockRate + renewalTransitDelay;
    return stoppedBy + std::chrono::duration_cast<SteadyTime::duration>(lease);
}

void FormerControllers::report(const FormerController& former) const
{
    const auto left = leasesExpiredAfter(former.stoppedBy) - clock_.now();
    events_.write("control.former",
        { { "former", former.claim.entry }, { "epoch", former.claim.epoch },
            { "evidence", former.isStopConfirmed ? "own-claim" : "outage-limit" },
            { "leases_left_ms", std::int64_t(std::chrono::duration_cast<milliseconds>(left).count()) } });
}

SteadyTime FormerControllers::leasesExpiredAt() const
{
    SteadyTime latest = SteadyTime::min();
    for (const auto& former : controllers_)
        latest = std::max(latest, former.stoppedBy);
    return controllers_.empty() ? latest : leasesExpiredAfter(latest);
}

void FormerControllers::queryAll()
{
    bool hasUnconfirmed = false;
    for (std::size_t i = 0; i < controllers_.size(); ++i) {
        if (controllers_[i].isStopConfirmed || clock_.now() >= controllers_[i].stoppedBy)
            continue;
        const auto address = foundation::parseAddress(controllers_[i].claim.address);
        if (!address)
            continue;
        hasUnconfirmed = true;
        peers_.queryState(*address, [this, i, alive = alive_](const Result<PeerControlState>& state) {
            if (!*alive || !state || controllers_[i].isStopConfirmed)
                return;
            const jobs::ControlClaimed& claim = controllers_[i].claim;
            if (state->incarnation == claim.incarnation && state->epoch == claim.epoch)
                return; // It is still the controller, as far as it knows.
            controllers_[i].isStopConfirmed = true;
            controllers_[i].stoppedBy = clock_.now();
            events_.write("control.former-stopped",
                { { "former", claim.entry }, { "epoch", claim.epoch }, { "says_epoch", state->epoch } });
        });
    }
    if (!hasUnconfirmed)
        return;
    timers_.schedule(clock_.now() + queryInterval, [this, alive = alive_] {
        if (*alive)
            queryAll();
    });
}

} // namespace turmericsill::control
