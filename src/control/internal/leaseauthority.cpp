#include "control/leaseauthority.h"

#include <algorithm>
#include <utility>

namespace turmericsill::control {

using foundation::Result;
using foundation::SteadyTime;
using jobs::ControlWitness;

namespace {

    /// Age of a confirmation from which on the witnesses are asked. With a log that answers, it stays below twice the
    /// long poll of a controller.
    constexpr milliseconds witnessQueryAge { 1000 };
    constexpr milliseconds witnessQueryInterval { 250 }; ///< Least time between two queries; each opens connections.

    SteadyTime later(SteadyTime time, milliseconds duration)
    {
        return time == SteadyTime::min() ? time : time + duration;
    }

} // namespace

LeaseAuthority::LeaseAuthority(IPeerControl& peers, const eventlog::JobFollower& follower, foundation::IClock& clock,
    telemetry::IEventSink& events, const LeaseTerms& leaseTerms, std::uint64_t epoch)
    : peers_(peers)
    , follower_(follower)
    , clock_(clock)
    , events_(events)
    , leaseTerms_(leaseTerms)
    , epoch_(epoch)
    , witnessSets_ { follower.table().latestClaim().witnesses.value_or(std::vector<ControlWitness> {}) }
{
}

LeaseAuthority::~LeaseAuthority() { *alive_ = false; }

SteadyTime LeaseAuthority::logConfirmedAt() const
{
    return std::max(appendConfirmedAt_, isLatestClaim() ? follower_.coveredAsOf() : SteadyTime::min());
}

bool LeaseAuthority::isLatestClaim() const { return follower_.table().latestClaim().epoch == epoch_; }

SteadyTime LeaseAuthority::confirmedAt() const { return std::max(logConfirmedAt(), witnessesConfirmedAt_); }

SteadyTime LeaseAuthority::leaseLimit() const { return later(confirmedAt(), leaseTerms_.duration); }

void LeaseAuthority::onAppendStored(SteadyTime sentAt) { appendConfirmedAt_ = std::max(appendConfirmedAt_, sentAt); }

void LeaseAuthority::nameWitnesses(std::vector<ControlWitness> witnesses)
{
    witnessSets_.push_back(std::move(witnesses));
}

void LeaseAuthority::onWitnessesStored(std::size_t count)
{
    for (; droppedSets_ + 1 < count; ++droppedSets_)
        witnessSets_.pop_front();
}

// A successor that no witness answers relies on LeaseTerms::logOutageLimit.
void LeaseAuthority::tick()
{
    if (!isLatestClaim())
        return;
    const auto now = clock_.now();
    const bool isOutageTooLong = now >= later(logConfirmedAt(), leaseTerms_.logOutageLimit);
    const bool isAskedLately = now < later(askedAt_, witnessQueryInterval);
    if (isAsking_ || isAskedLately || isOutageTooLong || now < later(confirmedAt(), witnessQueryAge))
        return;
    askedAt_ = now;
    askWitnesses();
}

// A successor that reads an empty set relies on no witness having agreed.
void LeaseAuthority::askWitnesses()
{
    std::vector<ControlWitness> asked;
    for (const auto& set : witnessSets_) {
        if (set.empty())
            return;
        for (const auto& witness : set) {
            if (std::find(asked.begin(), asked.end(), witness) == asked.end())
                asked.push_back(witness);
        }
    }
    auto round = std::make_shared<Round>();
    round->sentAt = clock_.now();
    round->pendingAnswers = asked.size();
    isAsking_ = true;
    for (const auto& witness : asked) {
        const auto address = foundation::parseAddress(witness.address);
        if (!address) {
            onAnswer(round, witness, tl::unexpected(address.error()));
            continue;
        }
        peers_.queryState(*address, [this, round, witness, alive = alive_](const Result<PeerControlState>& state) {
            if (*alive)
                onAnswer(round, witness, state);
        });
    }
}

void LeaseAuthority::onAnswer(
    const std::shared_ptr<Round>& round, const ControlWitness& witness, const Result<PeerControlState>& state)
{
    const bool agrees = state && state->latestClaim == epoch_;
    if (!agrees && round->objection.empty()) {
        const std::string reason
            = state ? "knows the claim of epoch " + std::to_string(state->latestClaim) : state.error().message();
        round->objection = witness.entry + ": " + reason;
    }
    if (--round->pendingAnswers > 0)
        return;
    isAsking_ = false;
    completeRound(*round);
}

void LeaseAuthority::completeRound(const Round& round)
{
    if (round.objection.empty() && isLatestClaim())
        witnessesConfirmedAt_ = std::max(witnessesConfirmedAt_, round.sentAt);
    const std::string outcome = round.objection.empty() ? "agreed" : round.objection;
    if (std::exchange(reportedOutcome_, outcome) == outcome)
        return;
    const auto logAge = std::chrono::duration_cast<milliseconds>(round.sentAt - logConfirmedAt());
    events_.write("control.witnesses",
        { { "epoch", epoch_ }, { "outcome", outcome }, { "log_age_ms", std::int64_t(logAge.count()) } });
}

} // namespace turmericsill::control
