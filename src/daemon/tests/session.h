#pragma once

#include "callers/atmostonce.h"
#include "callers/dispatcher.h"
#include "callers/rostershares.h"
#include "daemon/tests/sessionworld.h"
#include "fleetlog/fleetlog.h"
#include "foundation/hash.h"
#include "maintenance/poolcontroller.h"
#include "membership/membership.h"
#include "telemetry/tests/mocks/silenttracer.h"

#include <memory>

namespace turmericsill::daemon::tests {

/// The duties of one entry instance on one thread, joined as the modules join them.
class SessionEntry {
public:
    SessionEntry(SessionWorld& world, const std::string& name, std::uint16_t port, settings::StaleServing policy);

    void start();
    void kill();

    /// Submits a request and notes its reply.
    void call(const std::string& id, const std::string& service, bool idempotent, milliseconds timeout);

    /// As above under an idempotency key.
    void callWithKey(const std::string& id, const std::string& service, const std::string& key, milliseconds timeout);

    /// Takes a request that another entry forwarded.
    void takeForwarded(const httpserver::HttpRequest& message, std::function<void(httpserver::HttpResponse)> reply);

    fleetstate::FleetStatePtr state() const { return log.follower().fold().state(); }

    SessionWorld& world;
    std::string name;
    EntryThread thread;
    WorldLogClient logClient;
    WorldInstancePlatform platform;
    WorldPeerTransport peers;
    WorldEndpointTransport endpoints;
    telemetry::mocks::SilentTracer tracer;
    settings::DaemonSettings settings;
    fleetlog::FleetLog log;
    callers::RosterShares shares;
    callers::Dispatcher dispatcher;
    callers::AtMostOnce atMostOnce;
    membership::Membership membership;
    maintenance::PoolController controller;

private:
    void report();
    callers::CallerRequestPtr makeRequest(const std::string& id, const std::string& service, const std::string& key,
        bool idempotent, milliseconds timeout, callers::CallerRequest::ReplyCallback onReply);
    void noteReply(
        const std::string& id, const std::string& key, SteadyTime submittedAt, const callers::CallerReply& reply);

    std::uint64_t acknowledged_ = 0;
};

/// A whole session on an injected clock: entries, operators' records and callers, one event after the other.
class Session {
public:
    explicit Session(std::uint64_t seed, settings::StaleServing policy = settings::StaleServing::Serve)
        : world(seed)
        , policy_(policy)
    {
    }

    SessionEntry& addEntry(const std::string& name);

    /// Starts entry-a, entry-b and entry-c and runs until they are admitted and have their shares.
    void startThreeEntries();
    SessionEntry& entry(const std::string& name) { return *entries_.at(name); }
    void kill(const std::string& name);
    void pause(const std::string& name);
    void resume(const std::string& name);
    std::vector<std::string> livingEntries() const;

    /// Publishes one pool of instances with a service of the same name.
    void declarePool(const std::string& pool, std::size_t instances, std::uint32_t minimumHealthy);

    /// Asks an entry to drain an instance and notes what becomes of it.
    void drain(const std::string& entryName, const std::string& instance);

    /// Asks an entry to move an instance to another pool.
    void move(const std::string& entryName, const std::string& instance, const std::string& pool);

    void run(milliseconds duration);

    /// Promises that did not hold so far: doubled runs, false answers, requests cut off, limits exceeded,
    /// entries whose states differ.
    std::vector<std::string> brokenPromises() const;

    /// Notes the difference whenever the state of an instance in the log changes.
    void noteStateChanges();

    std::string transcript() const;

    SessionWorld world;

private:
    foundation::TimerQueue* nextQueue(SteadyTime& when);

    settings::StaleServing policy_;
    std::map<std::string, std::unique_ptr<SessionEntry>> entries_;
    std::map<std::string, std::string> lastLifecycle_;
    std::uint16_t nextPort_ = 7000;
    std::uint64_t changes_ = 0;
};

/// What brokenPromises() is to return.
extern const std::vector<std::string> noBrokenPromise;

/// Compares a transcript with its golden file. With UPDATE_GOLDEN set, it writes the file instead.
void checkGolden(const std::string& name, const std::string& transcript);

} // namespace turmericsill::daemon::tests
