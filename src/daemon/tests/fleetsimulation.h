#pragma once

#include "callers/dispatcher.h"
#include "callers/requestdeduplicator.h"
#include "callers/rostershares.h"
#include "daemon/tests/simulatedenvironment.h"
#include "fleetlog/fleetlog.h"
#include "foundation/hash.h"
#include "maintenance/poolcontroller.h"
#include "membership/membership.h"
#include "telemetry/tests/mocks/nulltracer.h"

#include <memory>

namespace turmericsill::daemon::tests {

/// One simulated entry instance. Its components are connected as the daemon's modules connect them, but share one
/// thread.
class SimulatedEntry {
public:
    SimulatedEntry(
        SimulatedEnvironment& environment, const std::string& name, std::uint16_t port, settings::StaleServing policy);

    void start();
    void kill();

    /// Submits a request without an idempotency key and adds its reply to the transcript.
    void call(const std::string& id, const std::string& service, bool idempotent, milliseconds timeout);

    /// Submits a non-idempotent request with an idempotency key and adds its reply to the transcript.
    void callWithKey(const std::string& id, const std::string& service, const std::string& key, milliseconds timeout);

    /// Handles a request that another entry forwarded.
    void receiveForwarded(const httpserver::HttpRequest& message, std::function<void(httpserver::HttpResponse)> reply);

    fleetstate::FleetStatePtr state() const { return log.follower().stateMachine().state(); }

    SimulatedEnvironment& environment;
    std::string name;
    EntryThread thread;
    SimulatedLogClient logClient;
    SimulatedInstanceManager instanceManager;
    SimulatedPeerTransport peers;
    SimulatedEndpointTransport endpoints;
    telemetry::mocks::NullTracer tracer;
    settings::DaemonSettings settings;
    fleetlog::FleetLog log;
    callers::RosterShares shares;
    callers::Dispatcher dispatcher;
    callers::RequestDeduplicator deduplicator;
    membership::Membership membership;
    maintenance::PoolController controller;

private:
    void report();
    callers::CallerRequestPtr makeRequest(const std::string& id, const std::string& service, const std::string& key,
        bool idempotent, milliseconds timeout, callers::CallerRequest::ReplyCallback onReply);
    void checkReply(
        const std::string& id, const std::string& key, SteadyTime submittedAt, const callers::CallerReply& reply);

    std::uint64_t acknowledgedRosterVersion_ = 0;
};

/// Deterministic simulation of a fleet on a manual clock: entries, operators and callers run as one sequence of events.
class FleetSimulation {
public:
    explicit FleetSimulation(std::uint64_t seed, settings::StaleServing policy = settings::StaleServing::Serve)
        : environment(seed)
        , policy_(policy)
    {
    }

    SimulatedEntry& addEntry(const std::string& name);

    /// Starts entry-a, entry-b and entry-c and runs until they are admitted and have their shares of the capacity.
    void startThreeEntries();
    SimulatedEntry& entry(const std::string& name) { return *entries_.at(name); }
    void kill(const std::string& name);
    void pause(const std::string& name);
    void resume(const std::string& name);
    std::vector<std::string> runningEntries() const;

    /// Declares a pool with `instances` instances and a service of the same name.
    void declarePool(const std::string& pool, std::size_t instances, std::uint32_t minimumHealthy);

    /// Submits a drain of an instance through an entry and adds the outcome to the transcript.
    void drain(const std::string& entryName, const std::string& instance);

    /// Submits a move of an instance to another pool through an entry and adds the outcome to the transcript.
    void move(const std::string& entryName, const std::string& instance, const std::string& pool);

    void run(milliseconds duration);

    /// Invariants violated so far: requests executed twice, wrong replies, requests aborted by a reboot, concurrency
    /// limits exceeded, entries whose states differ at the same offset.
    std::vector<std::string> invariantViolations() const;

    /// Adds a transcript line for each instance whose pool or lifecycle changed in an entry's view.
    void traceStateChanges();

    std::string transcript() const;

    SimulatedEnvironment environment;

private:
    foundation::TimerQueue* nextQueue(SteadyTime& when);

    settings::StaleServing policy_;
    std::map<std::string, std::unique_ptr<SimulatedEntry>> entries_;
    std::map<std::string, std::string> lastLifecycle_;
    std::uint16_t nextPort_ = 7000;
    std::uint64_t changeCount_ = 0;
};

/// Expected result of invariantViolations().
extern const std::vector<std::string> noViolations;

/// Compares a transcript with its golden file, or overwrites the file when UPDATE_GOLDEN is set.
void checkGolden(const std::string& name, const std::string& transcript);

} // namespace turmericsill::daemon::tests
