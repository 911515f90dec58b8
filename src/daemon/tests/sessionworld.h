#pragma once

#include "callers/iendpointtransport.h"
#include "fleetstate/fold.h"
#include "foundation/timerqueue.h"
#include "membership/ipeertransport.h"
#include "platform/iinstanceplatform.h"
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

/// Clock that moves only when a session advances it.
class ManualClock : public foundation::IClock {
public:
    SteadyTime now() const override { return SteadyTime(elapsed); }
    foundation::WallTime wallNow() const override { return foundation::WallTime(elapsed); }

    milliseconds elapsed { 1000 };
};

/// The thread of one entry instance: it runs no timer while it is paused and never again once killed.
struct EntryThread {
    foundation::TimerQueue timers;
    bool paused = false;
    bool killed = false;
};

/// What surrounds the entry instances in a session: log, platform, network and endpoints, with their faults.
class SessionWorld {
public:
    explicit SessionWorld(std::uint64_t seed)
        : random(seed)
    {
    }

    struct EndpointState {
        std::size_t inProgress = 0;
        std::size_t maximumInProgress = 0;
        std::size_t cutOff = 0;
        bool rebooting = false;
    };

    /// Runs `callback` after `delay` on the thread of an entry.
    void deliver(EntryThread& thread, milliseconds delay, std::function<void()> callback);

    /// Runs `callback` after `delay`, whatever the entries do.
    void later(milliseconds delay, std::function<void()> callback);

    void note(const std::string& line);

    /// Takes the log down or brings it back.
    void setLogDown(bool down);

    /// Checks, against the log as it is now, that an instance may receive work of a service.
    void checkWork(const std::string& service, const std::string& instance);

    ManualClock clock;
    foundation::TimerQueue timers;
    std::mt19937_64 random;
    std::vector<std::string> transcript;

    std::vector<std::string> log;
    fleetstate::Fold truth; ///< Fold of the whole log, whatever the entries have read.
    std::map<std::string, SteadyTime> drainingSince;
    bool logDown = false;
    SteadyTime logUpSince {};
    double loseAppendAnswers = 0;
    milliseconds logDelay { 2 };

    /// Entries' callers' servers by address; the second argument takes the reply.
    std::map<std::string,
        std::function<void(const httpserver::HttpRequest&, std::function<void(httpserver::HttpResponse)>)>>
        callers;
    std::map<std::string, std::function<void(const std::string&)>> peers; ///< Receivers by address.
    std::set<std::pair<std::string, std::string>> cutLinks; ///< Sender and receiver address.
    milliseconds peerDelay { 1 };

    std::set<std::string> listed;
    std::map<std::string, std::string> operations; ///< State by id.
    milliseconds rebootTime { 500 };
    std::map<std::string, EndpointState> endpoints;
    std::map<std::string, std::size_t> runsByKey;
    std::map<std::string, SteadyTime> firstRunAt; ///< By key.
    std::set<std::string> copiesThatRan; ///< By the id that the caller gave its copy.
    std::map<std::string, std::size_t> replies; ///< By outcome.
    std::vector<std::string> broken; ///< Promises that did not hold, one line each.
    milliseconds work { 20 };
};

/// The platform's log as one entry sees it.
class WorldLogClient : public platform::ILogClient {
public:
    WorldLogClient(SessionWorld& world, EntryThread& thread)
        : world_(world)
        , thread_(thread)
    {
    }

    void append(const std::string& stream, std::vector<std::string> payloads, milliseconds timeout,
        AppendCallback done) override;
    void read(const std::string& stream, std::uint64_t from, std::size_t maximum, milliseconds wait,
        ReadCallback done) override;

private:
    void answerRead(std::uint64_t from, std::size_t maximum, SteadyTime until, const ReadCallback& done);

    SessionWorld& world_;
    EntryThread& thread_;
};

/// The platform's control of instances as one entry sees it.
class WorldInstancePlatform : public platform::IInstancePlatform {
public:
    WorldInstancePlatform(SessionWorld& world, EntryThread& thread)
        : world_(world)
        , thread_(thread)
    {
    }

    void listInstances(const std::vector<std::string>& names, ListCallback done) override;
    void reboot(
        const std::string& instance, const std::string& operationId, std::uint64_t epoch, DoneCallback done) override;
    void queryOperation(const std::string& operationId, OperationCallback done) override;

private:
    SessionWorld& world_;
    EntryThread& thread_;
};

/// Datagrams between entries.
class WorldPeerTransport : public membership::IPeerTransport {
public:
    WorldPeerTransport(SessionWorld& world, std::string self)
        : world_(world)
        , self_(std::move(self))
    {
    }

    void send(const foundation::Address& peer, const std::string& datagram) override;

private:
    SessionWorld& world_;
    std::string self_;
};

/// Requests to endpoints.
class WorldEndpointTransport : public callers::IEndpointTransport {
public:
    WorldEndpointTransport(SessionWorld& world, EntryThread& thread)
        : world_(world)
        , thread_(thread)
    {
    }

    void start(const callers::AttemptTarget& target, const httpserver::HttpRequest& request, SteadyTime deadline,
        SteadyTime limit, callers::AttemptObserverPtr observer) override;
    void closeIdle(const std::string&) override { }

private:
    void startForward(const std::string& address, const httpserver::HttpRequest& request, SteadyTime limit,
        const callers::AttemptObserverPtr& observer);

    SessionWorld& world_;
    EntryThread& thread_;
};

} // namespace turmericsill::daemon::tests
