#include "daemon/tests/session.h"

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

    membership::Membership::Callbacks makeCallbacks(SessionEntry& entry)
    {
        membership::Membership::Callbacks callbacks;
        callbacks.onServingView = [&entry](const membership::ServingView& view) {
            entry.dispatcher.setServingLimit(view.servingUntil);
            entry.atMostOnce.setCertainUntil(view.certainUntil);
            entry.atMostOnce.onSettled(view.settledRoster);
            if (entry.shares.onSettled(view.settledRoster))
                entry.dispatcher.refreshShares();
        };
        callbacks.onPeersView = [&entry](const membership::PeersView& view) { entry.controller.onPeers(view); };
        callbacks.onDivergence = [&entry](const std::string& other, bool isOddOneOut) {
            entry.world.note("DIVERGENCE with " + other + (isOddOneOut ? ", odd one out" : ""));
        };
        return callbacks;
    }

} // namespace

SessionEntry::SessionEntry(
    SessionWorld& sessionWorld, const std::string& entryName, std::uint16_t port, settings::StaleServing policy)
    : world(sessionWorld)
    , name(entryName)
    , logClient(world, thread)
    , platform(world, thread)
    , peers(world, "127.0.0.1:" + std::to_string(port + 1))
    , endpoints(world, thread)
    , settings(makeSettings(entryName, port, policy))
    , log(logClient, thread.timers, world.clock, "s", entryName, world.clock.elapsed.count(), settings.appendInterval)
    , shares(entryName)
    , dispatcher(endpoints, shares, thread.timers, world.clock, tracer, {}, entrySeed)
    , atMostOnce(entryName, dispatcher, endpoints, thread.timers, world.clock)
    , membership(
          settings, world.clock.elapsed.count(), peers, platform, log, thread.timers, world.clock, makeCallbacks(*this))
    , controller(entryName, platform, log, thread.timers, world.clock)
{
    log.follower().onUpdate([this](const fleetlog::StateUpdate& update) {
        shares.onRoster(update.state->rosterVersion, update.state->admittedEntries());
        if (update.caughtUp)
            atMostOnce.onState(*update.state);
        dispatcher.applyState(update.state);
        dispatcher.onLogRead(update.requestedAt);
        membership.onState(update);
        controller.onState(update);
        membership.onCallerReport({ dispatcher.appliedOffset(), acknowledged_, dispatcher.busyInstances() });
    });
}

void SessionEntry::start()
{
    world.listed.insert(name);
    world.peers[settings.peerAddress.text()] = [this](const std::string& datagram) {
        world.deliver(thread, milliseconds(0), [this, datagram] { membership.onDatagram(datagram); });
    };
    world.callers[settings.callerAddress.text()]
        = [this](const httpserver::HttpRequest& message, std::function<void(httpserver::HttpResponse)> reply) {
              world.deliver(thread, milliseconds(0), [this, message, reply] { takeForwarded(message, reply); });
          };
    log.follower().start();
    membership.start();
    controller.start();
    report();
}

void SessionEntry::report()
{
    dispatcher.noteAlive();
    if (dispatcher.keepsToShares())
        acknowledged_ = shares.newestRoster();
    membership.onCallerReport({ dispatcher.appliedOffset(), acknowledged_, dispatcher.busyInstances() });
    thread.timers.schedule(world.clock.now() + reportInterval, [this] { report(); });
}

void SessionEntry::kill()
{
    thread.killed = true;
    world.peers.erase(settings.peerAddress.text());
    world.callers.erase(settings.callerAddress.text());
    world.listed.erase(name);
    world.note(name + " is killed");
}

callers::CallerRequestPtr SessionEntry::makeRequest(const std::string& id, const std::string& service,
    const std::string& key, bool idempotent, milliseconds timeout, callers::CallerRequest::ReplyCallback onReply)
{
    httpserver::HttpRequest message(boost::beast::http::verb::post, "/" + service + "/x", 11);
    message.set("Idempotency-Key", key);
    message.set("X-Copy-Id", id);
    callers::CallerRequestPtr request = new callers::CallerRequest(std::move(message), idempotent, std::move(onReply));
    request->service = service;
    request->receivedAt = world.clock.now();
    request->deadline = world.clock.now() + timeout;
    return request;
}

// Of copies that are under way together one may be refused and another run later; both are told the truth.
void SessionEntry::noteReply(
    const std::string& id, const std::string& key, SteadyTime submittedAt, const callers::CallerReply& reply)
{
    ++world.replies[callers::outcomeName(reply.outcome)];
    auto ran = world.firstRunAt.find(key);
    const bool ranBefore = ran != world.firstRunAt.end() && ran->second < submittedAt;
    if (reply.outcome == callers::Outcome::NotRun && (ranBefore || world.copiesThatRan.count(id) != 0))
        world.broken.push_back(id + " was called not run, but it ran");
    const std::string where = reply.outcome == callers::Outcome::Answered ? reply.answer.body() : reply.reason;
    world.note(name + " tells " + id + ": " + callers::outcomeName(reply.outcome) + " (" + where + ")");
}

void SessionEntry::call(const std::string& id, const std::string& service, bool idempotent, milliseconds timeout)
{
    dispatcher.submit(makeRequest(id, service, id, idempotent, timeout,
        [this, id, now = world.clock.now()](const callers::CallerReply& reply) { noteReply(id, id, now, reply); }));
}

void SessionEntry::callWithKey(
    const std::string& id, const std::string& service, const std::string& key, milliseconds timeout)
{
    auto request = makeRequest(
        id, service, key, false, timeout, [this, id, key, now = world.clock.now()](const callers::CallerReply& reply) {
            noteReply(id, key, now, reply);
        });
    request->idempotencyKey = key;
    atMostOnce.submit(request, callers::RequestOrigin::Caller);
}

void SessionEntry::takeForwarded(
    const httpserver::HttpRequest& message, std::function<void(httpserver::HttpResponse)> reply)
{
    const std::string target(message.target());
    const milliseconds timeout(std::atoll(std::string(message["Turmericsill-Timeout-Ms"]).c_str()));
    auto request = makeRequest(std::string(message["X-Copy-Id"]), target.substr(1, target.find('/', 1) - 1),
        std::string(message["Idempotency-Key"]), false, timeout, {});
    request->idempotencyKey = std::string(message["Idempotency-Key"]);
    request->lookupRoster = std::strtoull(std::string(message["Turmericsill-Roster"]).c_str(), nullptr, 10);
    request->onReply = [raw = request.get(), reply](const callers::CallerReply& told) {
        httpserver::HttpResponse response = told.outcome == callers::Outcome::Answered
            ? told.answer
            : httpserver::makeResponse(told.status, told.reason + "\n");
        response.set("Turmericsill-Outcome", callers::outcomeName(told.outcome));
        for (const auto& [field, value] : raw->replyFields)
            response.set(field, value);
        reply(response);
    };
    const bool lookup = message["Turmericsill-Forwarded"] == "lookup";
    atMostOnce.submit(request, lookup ? callers::RequestOrigin::Lookup : callers::RequestOrigin::Forwarded);
}

SessionEntry& Session::addEntry(const std::string& name)
{
    auto entry = std::make_unique<SessionEntry>(world, name, nextPort_, policy_);
    nextPort_ = static_cast<std::uint16_t>(nextPort_ + 10);
    world.note(name + " starts");
    entry->start();
    return *(entries_[name] = std::move(entry));
}

void Session::startThreeEntries()
{
    for (const std::string name : { "entry-a", "entry-b", "entry-c" })
        addEntry(name);
    run(std::chrono::seconds(3));
}

void Session::kill(const std::string& name) { entries_.at(name)->kill(); }

void Session::pause(const std::string& name)
{
    entry(name).thread.paused = true;
    world.note(name + " is paused");
}

void Session::resume(const std::string& name)
{
    entry(name).thread.paused = false;
    world.note(name + " goes on");
}

std::vector<std::string> Session::livingEntries() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : entries_) {
        if (!entry->thread.killed)
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> Session::brokenPromises() const
{
    std::vector<std::string> broken = world.broken;
    for (const auto& [key, runs] : world.runsByKey) {
        if (runs > 1)
            broken.push_back(key + " ran " + std::to_string(runs) + " times");
    }
    for (const auto& [name, endpoint] : world.endpoints) {
        if (endpoint.cutOff > 0)
            broken.push_back(name + " was stopped with requests in progress");
        if (endpoint.maximumInProgress > 8)
            broken.push_back(name + " had " + std::to_string(endpoint.maximumInProgress) + " requests in progress");
    }
    std::map<std::uint64_t, std::uint64_t> digests;
    for (const auto& name : livingEntries()) {
        const auto state = entries_.at(name)->state();
        auto [found, inserted] = digests.emplace(state->nextOffset, state->digest());
        if (!inserted && found->second != state->digest())
            broken.push_back(name + " has another state at offset " + std::to_string(state->nextOffset));
    }
    return broken;
}

void Session::declarePool(const std::string& pool, std::size_t instances, std::uint32_t minimumHealthy)
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
    SessionEntry& first = *entries_.begin()->second;
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
        world.note("declaration of " + pool + ": " + (outcome == AppendOutcome::Accepted ? "accepted" : reason));
    });
}

void Session::drain(const std::string& entryName, const std::string& instance)
{
    SessionEntry& entry = *entries_.at(entryName);
    const auto found = entry.state()->findInstance(instance);
    REQUIRE(found);
    entry.log.submitWithId("change-" + std::to_string(++changes_),
        fleetstate::DrainRequest { instance, found->version, "ania", "kernel" },
        [this, instance](AppendOutcome outcome, const std::string& reason) {
            world.note("drain of " + instance + ": " + (outcome == AppendOutcome::Accepted ? "accepted" : reason));
        });
}

void Session::move(const std::string& entryName, const std::string& instance, const std::string& pool)
{
    SessionEntry& entry = *entries_.at(entryName);
    const auto found = entry.state()->findInstance(instance);
    REQUIRE(found);
    fleetstate::ConfigChange change;
    change.baseVersion = entry.state()->configVersion;
    change.operatorName = "ania";
    declarations::Instance moved = found->declared;
    moved.pool = pool;
    change.changes = { { declarations::ObjectChange::Action::Update, moved } };
    entry.log.submit(change, [this, instance, pool](AppendOutcome outcome, const std::string& reason) {
        world.note(
            "move of " + instance + " to " + pool + ": " + (outcome == AppendOutcome::Accepted ? "accepted" : reason));
    });
}

foundation::TimerQueue* Session::nextQueue(SteadyTime& when)
{
    foundation::TimerQueue* next = nullptr;
    auto consider = [&](foundation::TimerQueue& queue) {
        const auto deadline = queue.nextDeadline();
        if (!deadline || (next && *deadline >= when))
            return;
        when = *deadline;
        next = &queue;
    };
    consider(world.timers);
    for (auto& [name, entry] : entries_) {
        if (!entry->thread.paused && !entry->thread.killed)
            consider(entry->thread.timers);
    }
    return next;
}

void Session::run(milliseconds duration)
{
    const milliseconds end = world.clock.elapsed + duration;
    SteadyTime when {};
    while (foundation::TimerQueue* queue = nextQueue(when)) {
        const auto due = std::chrono::duration_cast<milliseconds>(when.time_since_epoch());
        if (due > end)
            break;
        world.clock.elapsed = std::max(world.clock.elapsed, due);
        queue->runDue(world.clock.now());
        noteStateChanges();
    }
    world.clock.elapsed = end;
}

void Session::noteStateChanges()
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
                    world.note(name + " sees " + instanceName + " in " + now);
                last = now;
            }
        }
    }
}

std::string Session::transcript() const
{
    std::string text;
    for (const auto& line : world.transcript)
        text += line + "\n";
    return text;
}

const std::vector<std::string> noBrokenPromise;

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
