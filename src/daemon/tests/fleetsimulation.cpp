#include "daemon/tests/fleetsimulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace turmericsill::daemon::tests {

using fleetlog::AppendOutcome;

namespace {

    constexpr milliseconds reportInterval { 50 };
    constexpr std::uint64_t entrySeed = 7;

    settings::DaemonSettings makeSettings(const std::string& name, std::uint16_t port, settings::StaleServing policy)
    {
        settings::DaemonSettings result;
        result.entry = name;
        result.dataCentre = "dc";
        result.callerAddress = { "127.0.0.1", port };
        result.peerAddress = { "127.0.0.1", static_cast<std::uint16_t>(port + 1) };
        result.staleServing = policy;
        return result;
    }

    membership::Membership::Callbacks makeCallbacks(SimulatedEntry& entry)
    {
        membership::Membership::Callbacks callbacks;
        callbacks.onServingLimits = [&entry](const membership::ServingLimits& limits) {
            entry.dispatcher.setServingUntil(limits.servingUntil);
            entry.deduplicator.setLeaseExpiry(limits.leaseExpiry);
            entry.deduplicator.onRosterSettled(limits.settledRosterVersion);
            if (entry.shares.onRosterSettled(limits.settledRosterVersion))
                entry.dispatcher.refreshShares();
        };
        callbacks.onMembershipView
            = [&entry](const membership::MembershipView& view) { entry.controller.onMembershipView(view); };
        callbacks.onDivergence = [&entry](const std::string& other, bool isInMinority) {
            entry.environment.addToTranscript("DIVERGENCE with " + other + (isInMinority ? ", odd one out" : ""));
        };
        return callbacks;
    }

} // namespace

SimulatedEntry::SimulatedEntry(SimulatedEnvironment& simulatedEnvironment, const std::string& entryName,
    std::uint16_t port, settings::StaleServing policy)
    : environment(simulatedEnvironment)
    , name(entryName)
    , logClient(environment, thread)
    , instanceManager(environment, thread)
    , peers(environment, "127.0.0.1:" + std::to_string(port + 1))
    , endpoints(environment, thread)
    , settings(makeSettings(entryName, port, policy))
    , log(logClient, thread.timers, environment.clock, "s", entryName, environment.clock.elapsed.count(),
          settings.appendInterval)
    , shares(entryName)
    , dispatcher(endpoints, shares, thread.timers, environment.clock, tracer, {}, entrySeed)
    , deduplicator(entryName, dispatcher, endpoints, thread.timers, environment.clock)
    , membership(settings, environment.clock.elapsed.count(), peers, instanceManager, log, thread.timers,
          environment.clock, makeCallbacks(*this))
    , controller(entryName, instanceManager, log, thread.timers, environment.clock)
{
    log.follower().onUpdate([this](const fleetlog::StateUpdate& update) {
        shares.addRoster(update.state->rosterVersion, update.state->admittedEntries());
        if (update.caughtUp)
            deduplicator.onState(*update.state);
        dispatcher.applyState(update.state);
        dispatcher.onLogRead(update.requestedAt);
        membership.onState(update);
        controller.onState(update);
        membership.onCallerReport(
            { dispatcher.appliedOffset(), acknowledgedRosterVersion_, dispatcher.busyInstances() });
    });
}

void SimulatedEntry::start()
{
    environment.listedInstances.insert(name);
    environment.peers[settings.peerAddress.toString()] = [this](const std::string& datagram) {
        environment.scheduleOnEntry(thread, milliseconds(0), [this, datagram] { membership.onDatagram(datagram); });
    };
    environment.callers[settings.callerAddress.toString()]
        = [this](const httpserver::HttpRequest& message, std::function<void(httpserver::HttpResponse)> reply) {
              environment.scheduleOnEntry(
                  thread, milliseconds(0), [this, message, reply] { receiveForwarded(message, reply); });
          };
    log.follower().start();
    membership.start();
    controller.start();
    report();
}

void SimulatedEntry::report()
{
    dispatcher.onTick();
    if (dispatcher.isWithinShares())
        acknowledgedRosterVersion_ = shares.newestRosterVersion();
    membership.onCallerReport({ dispatcher.appliedOffset(), acknowledgedRosterVersion_, dispatcher.busyInstances() });
    thread.timers.schedule(environment.clock.now() + reportInterval, [this] { report(); });
}

void SimulatedEntry::kill()
{
    thread.killed = true;
    environment.peers.erase(settings.peerAddress.toString());
    environment.callers.erase(settings.callerAddress.toString());
    environment.listedInstances.erase(name);
    environment.addToTranscript(name + " is killed");
}

callers::CallerRequestPtr SimulatedEntry::makeRequest(const std::string& id, const std::string& service,
    const std::string& key, bool idempotent, milliseconds timeout, callers::CallerRequest::ReplyCallback onReply)
{
    httpserver::HttpRequest message(boost::beast::http::verb::post, "/" + service + "/x", 11);
    message.set("Idempotency-Key", key);
    message.set("X-Copy-Id", id);
    callers::CallerRequestPtr request = new callers::CallerRequest(std::move(message), idempotent, std::move(onReply));
    request->service = service;
    request->receivedAt = environment.clock.now();
    request->deadline = environment.clock.now() + timeout;
    return request;
}

// Two copies of a request may be in progress at once. One may be refused before the other runs; a reply of "not run"
// is wrong only if a copy ran before this one was submitted, or if this copy ran itself.
void SimulatedEntry::checkReply(
    const std::string& id, const std::string& key, SteadyTime submittedAt, const callers::CallerReply& reply)
{
    ++environment.replies[callers::outcomeName(reply.outcome)];
    auto ran = environment.firstRunAt.find(key);
    const bool ranBefore = ran != environment.firstRunAt.end() && ran->second < submittedAt;
    if (reply.outcome == callers::Outcome::NotRun && (ranBefore || environment.executedCopies.count(id) != 0))
        environment.broken.push_back(id + " got the reply \"not run\", but it ran");
    const std::string where = reply.outcome == callers::Outcome::Answered ? reply.response.body() : reply.reason;
    environment.addToTranscript(
        name + " tells " + id + ": " + callers::outcomeName(reply.outcome) + " (" + where + ")");
}

void SimulatedEntry::call(const std::string& id, const std::string& service, bool idempotent, milliseconds timeout)
{
    dispatcher.submit(makeRequest(id, service, id, idempotent, timeout,
        [this, id, now = environment.clock.now()](
            const callers::CallerReply& reply) { checkReply(id, id, now, reply); }));
}

void SimulatedEntry::callWithKey(
    const std::string& id, const std::string& service, const std::string& key, milliseconds timeout)
{
    auto request = makeRequest(id, service, key, false, timeout,
        [this, id, key, now = environment.clock.now()](
            const callers::CallerReply& reply) { checkReply(id, key, now, reply); });
    request->idempotencyKey = key;
    deduplicator.submit(request, callers::RequestOrigin::Caller);
}

void SimulatedEntry::receiveForwarded(
    const httpserver::HttpRequest& message, std::function<void(httpserver::HttpResponse)> reply)
{
    const std::string target(message.target());
    const milliseconds timeout(std::atoll(std::string(message["Turmericsill-Timeout-Ms"]).c_str()));
    auto request = makeRequest(std::string(message["X-Copy-Id"]), target.substr(1, target.find('/', 1) - 1),
        std::string(message["Idempotency-Key"]), false, timeout, {});
    request->idempotencyKey = std::string(message["Idempotency-Key"]);
    request->lookupRosterVersion = std::strtoull(std::string(message["Turmericsill-Roster"]).c_str(), nullptr, 10);
    request->onReply = [raw = request.get(), reply](const callers::CallerReply& callerReply) {
        httpserver::HttpResponse response = callerReply.outcome == callers::Outcome::Answered
            ? callerReply.response
            : httpserver::makeResponse(callerReply.status, callerReply.reason + "\n");
        response.set("Turmericsill-Outcome", callers::outcomeName(callerReply.outcome));
        for (const auto& [field, value] : raw->extraReplyHeaders)
            response.set(field, value);
        reply(response);
    };
    const bool lookup = message["Turmericsill-Forwarded"] == "lookup";
    deduplicator.submit(request, lookup ? callers::RequestOrigin::Lookup : callers::RequestOrigin::Forwarded);
}

SimulatedEntry& FleetSimulation::addEntry(const std::string& name)
{
    auto entry = std::make_unique<SimulatedEntry>(environment, name, nextPort_, policy_);
    nextPort_ = static_cast<std::uint16_t>(nextPort_ + 10);
    environment.addToTranscript(name + " starts");
    entry->start();
    return *(entries_[name] = std::move(entry));
}

void FleetSimulation::startThreeEntries()
{
    for (const std::string name : { "entry-a", "entry-b", "entry-c" })
        addEntry(name);
    run(std::chrono::seconds(3));
}

void FleetSimulation::kill(const std::string& name) { entries_.at(name)->kill(); }

void FleetSimulation::pause(const std::string& name)
{
    entry(name).thread.paused = true;
    environment.addToTranscript(name + " is paused");
}

void FleetSimulation::resume(const std::string& name)
{
    entry(name).thread.paused = false;
    environment.addToTranscript(name + " goes on");
}

std::vector<std::string> FleetSimulation::runningEntries() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : entries_) {
        if (!entry->thread.killed)
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> FleetSimulation::invariantViolations() const
{
    std::vector<std::string> broken = environment.broken;
    for (const auto& [key, runs] : environment.runsByKey) {
        if (runs > 1)
            broken.push_back(key + " ran " + std::to_string(runs) + " times");
    }
    for (const auto& [name, endpoint] : environment.endpoints) {
        if (endpoint.abortedRequests > 0)
            broken.push_back(name + " was rebooted with requests in progress");
        if (endpoint.maximumInProgress > 8)
            broken.push_back(name + " had " + std::to_string(endpoint.maximumInProgress) + " requests in progress");
    }
    std::map<std::uint64_t, std::uint64_t> digests;
    for (const auto& name : runningEntries()) {
        const auto state = entries_.at(name)->state();
        auto [found, inserted] = digests.emplace(state->nextOffset, state->digest());
        if (!inserted && found->second != state->digest())
            broken.push_back(name + " has a different state at offset " + std::to_string(state->nextOffset));
    }
    return broken;
}

void FleetSimulation::declarePool(const std::string& pool, std::size_t instances, std::uint32_t minimumHealthy)
{
    using declarations::ObjectChange;
    declarations::Pool declaredPool;
    declaredPool.name = pool;
    declaredPool.minimumHealthy = minimumHealthy;
    declaredPool.maximumOut = 2;
    declarations::Service service;
    service.name = pool;
    service.pool = pool;
    fleetstate::ConfigChange change;
    SimulatedEntry& first = *entries_.begin()->second;
    change.baseVersion = first.state()->configVersion;
    change.operatorName = "ania";
    change.changes = { { ObjectChange::Action::Add, service }, { ObjectChange::Action::Add, declaredPool } };
    for (std::size_t index = 1; index <= instances; ++index) {
        declarations::Instance instance;
        instance.name = pool + "-" + std::to_string(index);
        instance.address = "127.0.0.1:" + std::to_string(9000 + nextPort_++);
        instance.pool = pool;
        change.changes.push_back({ ObjectChange::Action::Add, instance });
    }
    first.log.submit(change, [this, pool](AppendOutcome outcome, const std::string& reason) {
        environment.addToTranscript(
            "declaration of " + pool + ": " + (outcome == AppendOutcome::Accepted ? "accepted" : reason));
    });
}

void FleetSimulation::drain(const std::string& entryName, const std::string& instance)
{
    SimulatedEntry& entry = *entries_.at(entryName);
    const auto found = entry.state()->findInstance(instance);
    REQUIRE(found);
    entry.log.submitWithId("change-" + std::to_string(++changeCount_),
        fleetstate::DrainRequest { instance, found->version, "ania", "kernel" },
        [this, instance](AppendOutcome outcome, const std::string& reason) {
            environment.addToTranscript(
                "drain of " + instance + ": " + (outcome == AppendOutcome::Accepted ? "accepted" : reason));
        });
}

void FleetSimulation::move(const std::string& entryName, const std::string& instance, const std::string& pool)
{
    SimulatedEntry& entry = *entries_.at(entryName);
    const auto found = entry.state()->findInstance(instance);
    REQUIRE(found);
    fleetstate::ConfigChange change;
    change.baseVersion = entry.state()->configVersion;
    change.operatorName = "ania";
    declarations::Instance moved = found->declared;
    moved.pool = pool;
    change.changes = { { declarations::ObjectChange::Action::Update, moved } };
    entry.log.submit(change, [this, instance, pool](AppendOutcome outcome, const std::string& reason) {
        environment.addToTranscript(
            "move of " + instance + " to " + pool + ": " + (outcome == AppendOutcome::Accepted ? "accepted" : reason));
    });
}

foundation::TimerQueue* FleetSimulation::nextQueue(SteadyTime& when)
{
    foundation::TimerQueue* next = nullptr;
    auto considerQueue = [&](foundation::TimerQueue& queue) {
        const auto deadline = queue.nextDeadline();
        if (!deadline || (next && *deadline >= when))
            return;
        when = *deadline;
        next = &queue;
    };
    considerQueue(environment.timers);
    for (auto& [name, entry] : entries_) {
        if (!entry->thread.paused && !entry->thread.killed)
            considerQueue(entry->thread.timers);
    }
    return next;
}

void FleetSimulation::run(milliseconds duration)
{
    const milliseconds end = environment.clock.elapsed + duration;
    SteadyTime when {};
    while (foundation::TimerQueue* queue = nextQueue(when)) {
        const auto due = std::chrono::duration_cast<milliseconds>(when.time_since_epoch());
        if (due > end)
            break;
        environment.clock.elapsed = std::max(environment.clock.elapsed, due);
        queue->runDue(environment.clock.now());
        traceStateChanges();
    }
    environment.clock.elapsed = end;
}

void FleetSimulation::traceStateChanges()
{
    for (const auto& [name, entry] : entries_) {
        if (entry->thread.killed)
            continue;
        for (const auto& [poolName, pool] : entry->state()->pools) {
            for (const auto& [instanceName, instance] : pool->instances) {
                const char* lifecycles[] = { "serving", "draining", "stopped" };
                const std::string now = poolName + " " + lifecycles[static_cast<std::size_t>(instance->lifecycle)];
                std::string& last = lastLifecycle_[name + "/" + instanceName];
                if (!last.empty() && last != now)
                    environment.addToTranscript(name + " sees " + instanceName + " in " + now);
                last = now;
            }
        }
    }
}

std::string FleetSimulation::transcript() const
{
    std::string text;
    for (const auto& line : environment.transcript)
        text += line + "\n";
    return text;
}

const std::vector<std::string> noViolations;

void checkGolden(const std::string& name, const std::string& transcript)
{
    const std::string path = std::string(TURMERICSILL_SOURCE_DIR) + "/src/daemon/tests/golden/" + name + ".txt";
    if (std::getenv("UPDATE_GOLDEN")) {
        std::ofstream(path) << transcript;
        return;
    }
    std::ifstream file(path);
    std::ostringstream golden;
    golden << file.rdbuf();
    INFO("golden file: " << path << "; scripts/update_golden.sh regenerates it");
    CHECK(golden.str() == transcript);
}

} // namespace turmericsill::daemon::tests
