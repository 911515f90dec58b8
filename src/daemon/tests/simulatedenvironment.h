#pragma once

#include "callers/iendpointtransport.h"
#include "fleetstate/fleetstatemachine.h"
#include "foundation/timerqueue.h"
#include "membership/ipeertransport.h"
#include "platform/iinstancemanager.h"
#include "platform/ilogclient.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::daemon::tests {

using foundation::milliseconds;
using foundation::SteadyTime;

/// Clock that moves only when the simulation advances it.
class ManualClock : public foundation::IClock {
public:
    SteadyTime now() const override { return SteadyTime(elapsed); }
    foundation::WallTime wallNow() const override { return foundation::WallTime(elapsed); }

    milliseconds elapsed { 1000 };
};

/// Thread of one simulated entry. It runs no timers while it is paused, and none at all once it is killed.
struct EntryThread {
    foundation::TimerQueue timers;
    bool paused = false;
    bool killed = false;
};

/// Simulated log, platform, network and endpoints that the entries use, with injected faults.
class SimulatedEnvironment {
public:
    explicit SimulatedEnvironment(std::uint64_t seed)
        : random(seed)
    {
    }

    struct EndpointState {
        std::size_t inProgress = 0;
        std::size_t maximumInProgress = 0;
        std::size_t abortedRequests = 0;
        bool rebooting = false;
    };

    /// Runs `callback` after `delay` on the thread of an entry, if that thread is neither paused nor killed.
    void scheduleOnEntry(EntryThread& thread, milliseconds delay, std::function<void()> callback);

    /// Runs `callback` after `delay`, regardless of the state of the entries.
    void scheduleEvent(milliseconds delay, std::function<void()> callback);

    void addToTranscript(const std::string& line);

    /// Makes the log unavailable or available again.
    void setLogDown(bool down);

    /// Checks against the current state of the log that an instance may receive a request of a service.
    void checkDispatch(const std::string& service, const std::string& instance);

    ManualClock clock;
    foundation::TimerQueue timers;
    std::mt19937_64 random;
    std::vector<std::string> transcript;

    std::vector<std::string> log;
    /// State after all records of the log, including those that no entry has read.
    fleetstate::FleetStateMachine referenceState;
    std::map<std::string, SteadyTime> drainingSince;
    bool logDown = false;
    SteadyTime logUpSince {};
    double appendAnswerLossRate = 0;
    milliseconds logDelay { 2 };

    /// Caller-facing servers of the entries by address; the second argument receives the reply.
    std::map<std::string,
        std::function<void(const httpserver::HttpRequest&, std::function<void(httpserver::HttpResponse)>)>>
        callers;
    std::map<std::string, std::function<void(const std::string&)>> peers; ///< Datagram handlers by peer address.
    std::set<std::pair<std::string, std::string>>
        blockedLinks; ///< Sender and receiver address of each link that drops datagrams.
    milliseconds peerDelay { 1 };

    std::set<std::string> listedInstances;
    std::map<std::string, std::string> operations; ///< State of each platform operation by its id.
    milliseconds rebootDuration { 500 };
    std::map<std::string, EndpointState> endpoints;
    std::map<std::string, std::size_t> runsByKey;
    std::map<std::string, SteadyTime> firstRunAt; ///< Start of the first execution by idempotency key.
    std::set<std::string> executedCopies; ///< Ids of the request copies that reached an endpoint.
    std::map<std::string, std::size_t> replies; ///< Number of replies by outcome.
    std::vector<std::string> broken; ///< Invariant violations, one line each.
    milliseconds requestDuration { 20 };
};

/// Log client of one entry.
class SimulatedLogClient : public platform::ILogClient {
public:
    SimulatedLogClient(SimulatedEnvironment& environment, EntryThread& thread)
        : environment_(environment)
        , thread_(thread)
    {
    }

    void append(const std::string& stream, std::vector<std::string> payloads, milliseconds timeout,
        AppendCallback done) override;
    void read(const std::string& stream, std::uint64_t from, std::size_t maximum, milliseconds wait,
        ReadCallback done) override;

private:
    void answerRead(std::uint64_t from, std::size_t maximum, SteadyTime until, const ReadCallback& done);

    SimulatedEnvironment& environment_;
    EntryThread& thread_;
};

/// Platform client of one entry.
class SimulatedInstanceManager : public platform::IInstanceManager {
public:
    SimulatedInstanceManager(SimulatedEnvironment& environment, EntryThread& thread)
        : environment_(environment)
        , thread_(thread)
    {
    }

    void listInstances(const std::vector<std::string>& names, ListCallback done) override;
    void reboot(
        const std::string& instance, const std::string& operationId, std::uint64_t epoch, DoneCallback done) override;
    void queryOperation(const std::string& operationId, OperationCallback done) override;

private:
    SimulatedEnvironment& environment_;
    EntryThread& thread_;
};

/// Datagram transport of one entry.
class SimulatedPeerTransport : public membership::IPeerTransport {
public:
    SimulatedPeerTransport(SimulatedEnvironment& environment, std::string self)
        : environment_(environment)
        , self_(std::move(self))
    {
    }

    void send(const foundation::Address& peer, const std::string& datagram) override;

private:
    SimulatedEnvironment& environment_;
    std::string self_;
};

/// Transport for requests of one entry to endpoints and to other entries.
class SimulatedEndpointTransport : public callers::IEndpointTransport {
public:
    SimulatedEndpointTransport(SimulatedEnvironment& environment, EntryThread& thread)
        : environment_(environment)
        , thread_(thread)
    {
    }

    void start(const callers::AttemptTarget& target, const httpserver::HttpRequest& request, SteadyTime deadline,
        SteadyTime limit, callers::AttemptObserverPtr observer) override;
    void closeIdleConnections(const std::string&) override { }

private:
    void startForward(const std::string& address, const httpserver::HttpRequest& request, SteadyTime limit,
        const callers::AttemptObserverPtr& observer);

    SimulatedEnvironment& environment_;
    EntryThread& thread_;
};

} // namespace turmericsill::daemon::tests
