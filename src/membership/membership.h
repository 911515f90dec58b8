#pragma once

#include "fleetlog/ifleetlog.h"
#include "fleetlog/types/stateupdate.h"
#include "foundation/itimerqueue.h"
#include "membership/departuretracker.h"
#include "membership/ipeertransport.h"
#include "membership/types/messages.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace turmericsill::membership {

/// Membership protocol between entry instances: heartbeats, joins, admissions and evictions.
/// The roster in the fleet log decides who is a member; heartbeats only detect failures. Not thread-safe.
class Membership {
public:
    struct Callbacks {
        std::function<void(const ServingLimits&)> onServingLimits;
        std::function<void(const MembershipView&)> onMembershipView;
        /// Called if the state of another entry differs at the same offset; `isInMinority`: the states of most other
        /// entries differ from the local one.
        std::function<void(const std::string& entry, bool isInMinority)> onDivergence;
    };

    Membership(const settings::DaemonSettings& settings, std::uint64_t incarnation, IPeerTransport& transport,
        platform::IInstanceManager& instances, fleetlog::IFleetLog& log, foundation::ITimerQueue& timers,
        const foundation::IClock& clock, Callbacks callbacks);

    /// Starts the periodic heartbeats.
    void start();

    void onState(const fleetlog::StateUpdate& update);
    void onCallerReport(const CallerReport& report);
    void onDatagram(std::string_view datagram);

    /// Writes a planned leave; `done` runs when the leave is in the log or could not be written in time.
    void leave(std::function<void()> done);

    bool isAdmitted() const;

private:
    struct Peer {
        std::uint64_t incarnation = 0;
        foundation::SteadyTime lastHeardAt {};
        foundation::SteadyTime acknowledgedSendTime {}; ///< When the newest heartbeat that the peer confirmed was sent.
        Heartbeat lastHeartbeat;
        bool isDivergent = false; ///< The last comparable digest of the peer differed from the local one.
    };

    void tick();
    void sendHeartbeats();
    void resetSilenceAfterPause(foundation::SteadyTime now);
    void ensureJoined();
    void admitPeers();
    void evictSilentPeers();
    void resolveDepartures();
    void evict(const fleetstate::EntryMember& member, bool provenGone);
    bool isSilent(const fleetstate::EntryMember& member) const;
    bool isSilentForAll(const std::string& entry) const;
    std::vector<std::string> silentEntries() const;
    std::vector<std::string> reachableAdmittedEntries() const;

    /// Whether rendezvous hashing selects this entry to act on `subject`.
    bool isResponsibleFor(const std::string& subject) const;
    void pollInstances();
    void updateAcknowledgedSendTime(Peer& peer) const;
    void compareDigests(Peer& peer);
    bool isInMinority() const;
    void publish();

    /// Time until which no other entry can treat this one as gone.
    foundation::SteadyTime membershipLeaseUntil() const;

    /// Newest roster version that all admitted members acknowledge.
    std::uint64_t computeSettledRosterVersion() const;
    MembershipView membershipView() const;

    /// Returns whether the action may be started now, and if so records the time; limits repeated submissions.
    bool startActionIfDue(const std::string& action);

    const settings::DaemonSettings settings_;
    std::uint64_t incarnation_;
    IPeerTransport& transport_;
    platform::IInstanceManager& instances_;
    fleetlog::IFleetLog& log_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    Callbacks callbacks_;
    DepartureTracker departureTracker_;
    fleetlog::StateUpdate update_;
    CallerReport callerReport_;
    std::map<std::string, Peer> peers_;
    /// Next offset and digest of recent own states, newest last.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> ownDigests_;
    std::map<std::string, foundation::SteadyTime> lastActionTimes_; ///< Time of the last start by action.
    foundation::SteadyTime lastTickAt_ {};
    foundation::SteadyTime lastPollAt_ {};
    std::uint64_t polledRosterVersion_ = 0; ///< Roster version of the last query of the instance list.
    std::uint64_t sequence_ = 0;
    /// Sequence and send time of recent own heartbeats, newest last.
    std::deque<std::pair<std::uint64_t, foundation::SteadyTime>> sentHeartbeats_;
    std::uint64_t settledRosterVersion_ = 0;
    bool wasMember_ = false; ///< The current incarnation was a member or must not be reused.
    bool isLeaving_ = false;
    bool isPollingInstances_ = false;
};

} // namespace turmericsill::membership
