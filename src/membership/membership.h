#pragma once

#include "fleetlog/ifleetlog.h"
#include "fleetlog/types/stateupdate.h"
#include "foundation/itimerqueue.h"
#include "membership/departureledger.h"
#include "membership/ipeertransport.h"
#include "membership/types/messages.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace turmericsill::membership {

/// Membership between entry instances: heartbeats, joins, admissions and expulsions.
/// Who is a member stands in the log; heartbeats only tell who answers. Used by one thread.
class Membership {
public:
    struct Callbacks {
        std::function<void(const ServingView&)> onServingView;
        std::function<void(const PeersView&)> onPeersView;
        /// An entry has another state at the same offset; `isOddOneOut`: so do most of the others.
        std::function<void(const std::string& entry, bool isOddOneOut)> onDivergence;
    };

    Membership(const settings::DaemonSettings& settings, std::uint64_t incarnation, IPeerTransport& transport,
        platform::IInstancePlatform& instances, fleetlog::IFleetLog& log, foundation::ITimerQueue& timers,
        const foundation::IClock& clock, Callbacks callbacks);

    void start();

    void onState(const fleetlog::StateUpdate& update);
    void onCallerReport(const CallerReport& report);
    void onDatagram(std::string_view datagram);

    /// Writes a planned leave; `done` runs when it is in the log or could not be written in time.
    void leave(std::function<void()> done);

    bool isAdmitted() const;

private:
    struct Peer {
        std::uint64_t incarnation = 0;
        foundation::SteadyTime lastHeard {};
        foundation::SteadyTime vouchedAt {}; ///< When the newest heartbeat was sent that the peer has answered.
        Heartbeat last;
        bool diverges = false; ///< Its newest digest that could be compared differed.
    };

    void tick();
    void sendHeartbeats();
    void forgiveSilenceAfterPause(foundation::SteadyTime now);
    void keepJoined();
    void admitPeers();
    void expelSilentPeers();
    void resolveDepartures();
    void expel(const fleetstate::EntryMember& member, bool provenGone);
    bool isSilent(const fleetstate::EntryMember& member) const;
    bool isSuspectedByAll(const std::string& entry) const;
    std::vector<std::string> silentEntries() const;
    std::vector<std::string> answeringAdmitted() const;
    bool isChosenFor(const std::string& subject) const;
    void pollInstances();
    void noteVouching(Peer& peer) const;
    void compareDigests(Peer& peer);
    bool isOddOneOut() const;
    void publish();
    foundation::SteadyTime certainUntil() const;
    std::uint64_t settledRoster() const;
    PeersView peersView() const;
    bool mayAct(const std::string& action);

    const settings::DaemonSettings settings_;
    std::uint64_t incarnation_;
    IPeerTransport& transport_;
    platform::IInstancePlatform& instances_;
    fleetlog::IFleetLog& log_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    Callbacks callbacks_;
    DepartureLedger departures_;
    fleetlog::StateUpdate update_;
    CallerReport report_;
    std::map<std::string, Peer> peers_;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> digests_; ///< Own digests by offset, newest last.
    std::map<std::string, foundation::SteadyTime> lastActions_;
    foundation::SteadyTime lastTick_ {};
    foundation::SteadyTime lastPoll_ {};
    std::uint64_t polledRoster_ = 0; ///< Roster that the instance list was last asked about.
    std::uint64_t sequence_ = 0;
    std::deque<std::pair<std::uint64_t, foundation::SteadyTime>> sentAt_; ///< Own heartbeats, newest last.
    std::uint64_t settledRoster_ = 0;
    bool wasMember_ = false;
    bool leaving_ = false;
    bool pollingInstances_ = false;
};

} // namespace turmericsill::membership
