#pragma once

#include "control/ileaselimit.h"
#include "control/ipeercontrol.h"
#include "control/types/leaseterms.h"
#include "eventlog/jobfollower.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "jobs/types/records.h"
#include "telemetry/ieventsink.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace turmericsill::control {

/// Determines how far this controller may extend leases: LeaseTerms::duration beyond the latest time as of which its
/// control is confirmed. A later controller knows that time without reaching this one, see FormerControllers.
///
/// Control is confirmed as of a time by which there was no later claim: when a read that reached the end of the log, or
/// an append of this epoch that the log has accepted, was sent. While the log does not answer, it is confirmed when all
/// witnesses answer that the claim of this epoch is the latest that they know and have tried. One that claims control
/// itself, or has read another's claim, answers otherwise from then on.
class LeaseAuthority : public ILeaseLimit {
public:
    LeaseAuthority(IPeerControl& peers, const eventlog::JobFollower& follower, foundation::IClock& clock,
        telemetry::IEventSink& events, const LeaseTerms& leaseTerms, std::uint64_t epoch);
    ~LeaseAuthority() override;

    LeaseAuthority(const LeaseAuthority&) = delete;
    LeaseAuthority& operator=(const LeaseAuthority&) = delete;

    foundation::SteadyTime leaseLimit() const override;

    /// An append of this epoch that was first sent at `sentAt` is in the log.
    void onAppendStored(foundation::SteadyTime sentAt);

    /// The witnesses named last, whether or not the log holds them.
    const std::vector<jobs::ControlWitness>& witnesses() const { return witnessSets_.back(); }

    /// Names other witnesses. Until the log holds them, a later controller may rely on the former ones, so these are
    /// asked as well.
    void nameWitnesses(std::vector<jobs::ControlWitness> witnesses);

    /// The log holds the first `count` sets of witnesses named so far, counting that of the claim.
    void onWitnessesStored(std::size_t count);

    /// Number of sets of witnesses named so far.
    std::size_t namedSets() const { return droppedSets_ + witnessSets_.size(); }

    /// Asks the witnesses if the log has not confirmed control lately.
    void tick();

private:
    /// One query of every witness.
    struct Round {
        foundation::SteadyTime sentAt {};
        std::size_t pendingAnswers = 0;
        std::string objection; ///< The first entry that does not agree, and why.
    };

    bool isLatestClaim() const;
    foundation::SteadyTime logConfirmedAt() const;
    foundation::SteadyTime confirmedAt() const;
    void askWitnesses();
    void onAnswer(const std::shared_ptr<Round>& round, const jobs::ControlWitness& witness,
        const foundation::Result<PeerControlState>& state);
    void completeRound(const Round& round);

    IPeerControl& peers_;
    const eventlog::JobFollower& follower_;
    foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    LeaseTerms leaseTerms_;
    std::uint64_t epoch_;
    foundation::SteadyTime appendConfirmedAt_ = foundation::SteadyTime::min();
    foundation::SteadyTime witnessesConfirmedAt_ = foundation::SteadyTime::min();
    std::deque<std::vector<jobs::ControlWitness>> witnessSets_; ///< The latest that the log holds, and later ones.
    std::size_t droppedSets_ = 0; ///< Sets of witnesses before these.
    bool isAsking_ = false;
    foundation::SteadyTime askedAt_ = foundation::SteadyTime::min(); ///< When the witnesses were last asked.
    std::string reportedOutcome_; ///< Outcome of the latest round that was written as an event; empty if none was.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
