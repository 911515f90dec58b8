#include "daemon/tests/sessionworld.h"

#include <algorithm>
#include <utility>

namespace turmericsill::daemon::tests {

using foundation::Errc;
using foundation::failure;
using foundation::Result;

namespace {

    constexpr milliseconds connectDelay { 1 };
    constexpr milliseconds platformDelay { 2 };
    constexpr milliseconds readPoll { 5 };
    constexpr const char* systemStream = "s"; ///< Others stay empty.
    constexpr milliseconds leavingLimit { 2000 }; ///< After which a leaving instance gets no new work.

} // namespace

void SessionWorld::deliver(EntryThread& thread, milliseconds delay, std::function<void()> callback)
{
    thread.timers.schedule(clock.now() + delay, std::move(callback));
}

void SessionWorld::later(milliseconds delay, std::function<void()> callback)
{
    timers.schedule(clock.now() + delay, std::move(callback));
}

void SessionWorld::note(const std::string& line)
{
    std::string time = std::to_string(clock.elapsed.count());
    transcript.push_back(std::string(7 - std::min<std::size_t>(7, time.size()), ' ') + time + " " + line);
}

void SessionWorld::setLogDown(bool down)
{
    if (logDown && !down)
        logUpSince = clock.now();
    logDown = down;
    note(down ? "the log is down" : "the log is back");
}

void SessionWorld::checkWork(const std::string& service, const std::string& instance)
{
    std::string pool;
    const auto found = truth.state()->findInstance(instance, &pool);
    const auto* declared = truth.state()->findService(service);
    if (!found || !declared) {
        broken.push_back("work of " + service + " went to " + instance + ", which is gone");
        return;
    }
    if (declared->pool != pool)
        broken.push_back("work of pool " + declared->pool + " went to " + instance + " of pool " + pool);
    if (found->lifecycle == fleetstate::Lifecycle::Stopped)
        broken.push_back("work went to " + instance + ", which is stopped");
    if (found->lifecycle != fleetstate::Lifecycle::Draining || logDown)
        return;
    // While the log is down it tells nobody, so the limit runs from when it can be read.
    const SteadyTime told = std::max(drainingSince.at(instance), logUpSince);
    if (clock.now() - told > leavingLimit)
        broken.push_back("new work went to " + instance + " at " + std::to_string(clock.elapsed.count())
            + " ms, though it was told to drain at "
            + std::to_string(std::chrono::duration_cast<milliseconds>(told.time_since_epoch()).count()) + " ms");
}

void WorldLogClient::append(
    const std::string& stream, std::vector<std::string> payloads, milliseconds timeout, AppendCallback done)
{
    if (world_.logDown) {
        world_.deliver(thread_, world_.logDelay, [done] { done(failure(Errc::Unavailable, "log.append")); });
        return;
    }
    if (stream != systemStream) {
        world_.deliver(thread_, world_.logDelay, [done] { done(std::uint64_t { 0 }); });
        return;
    }
    const std::uint64_t first = world_.log.size();
    for (auto& payload : payloads) {
        static_cast<void>(world_.truth.applyPayload(world_.log.size(), payload));
        world_.log.push_back(std::move(payload));
    }
    for (const auto& [name, pool] : world_.truth.state()->pools) {
        for (const auto& [instanceName, instance] : pool->instances) {
            if (instance->lifecycle == fleetstate::Lifecycle::Draining)
                world_.drainingSince.emplace(instanceName, world_.clock.now());
            else
                world_.drainingSince.erase(instanceName);
        }
    }
    const bool loses = std::uniform_real_distribution<double>(0, 1)(world_.random) < world_.loseAppendAnswers;
    if (loses)
        world_.deliver(thread_, timeout, [done] { done(failure(Errc::Timeout, "log.append")); });
    else
        world_.deliver(thread_, world_.logDelay, [done, first] { done(first); });
}

void WorldLogClient::read(
    const std::string& stream, std::uint64_t from, std::size_t maximum, milliseconds wait, ReadCallback done)
{
    if (stream != systemStream && !world_.logDown) {
        world_.deliver(thread_, world_.logDelay, [done] { done(platform::LogPage()); });
        return;
    }
    answerRead(from, maximum, world_.clock.now() + wait, done);
}

void WorldLogClient::answerRead(std::uint64_t from, std::size_t maximum, SteadyTime until, const ReadCallback& done)
{
    if (world_.logDown) {
        world_.deliver(thread_, world_.logDelay, [done] { done(failure(Errc::Unavailable, "log.read")); });
        return;
    }
    if (from >= world_.log.size() && world_.clock.now() < until) {
        world_.later(readPoll, [this, from, maximum, until, done] { answerRead(from, maximum, until, done); });
        return;
    }
    platform::LogPage page;
    page.from = from;
    page.tail = world_.log.size();
    for (std::uint64_t offset = from; offset < page.tail && page.payloads.size() < maximum; ++offset)
        page.payloads.push_back(world_.log[offset]);
    world_.deliver(thread_, world_.logDelay, [done, page] { done(page); });
}

void WorldInstancePlatform::listInstances(const std::vector<std::string>& names, ListCallback done)
{
    std::vector<platform::ListedInstance> list;
    for (const auto& name : names) {
        if (world_.listed.count(name) != 0)
            list.push_back({ name, true });
    }
    world_.deliver(thread_, platformDelay, [done, list] { done(list); });
}

void WorldInstancePlatform::reboot(
    const std::string& instance, const std::string& operationId, std::uint64_t, DoneCallback done)
{
    if (world_.operations.emplace(operationId, "running").second) {
        auto& endpoint = world_.endpoints[instance];
        endpoint.cutOff += endpoint.inProgress;
        endpoint.rebooting = true;
        world_.note("platform reboots " + instance);
        world_.later(world_.rebootTime, [this, instance, operationId] {
            world_.endpoints[instance].rebooting = false;
            world_.operations[operationId] = "done";
            world_.note("platform finished " + instance);
        });
    }
    world_.deliver(thread_, platformDelay, [done] { done(Result<void>()); });
}

void WorldInstancePlatform::queryOperation(const std::string& operationId, OperationCallback done)
{
    auto found = world_.operations.find(operationId);
    const auto state = found == world_.operations.end() ? platform::OperationState::Unknown
        : found->second == "done"                       ? platform::OperationState::Done
                                                        : platform::OperationState::Running;
    world_.deliver(thread_, platformDelay, [done, state] { done(state); });
}

void WorldPeerTransport::send(const foundation::Address& peer, const std::string& datagram)
{
    if (world_.cutLinks.count({ self_, peer.text() }) != 0)
        return;
    world_.later(world_.peerDelay, [this, to = peer.text(), datagram] {
        auto receiver = world_.peers.find(to);
        if (receiver != world_.peers.end())
            receiver->second(datagram);
    });
}

void WorldEndpointTransport::start(const callers::AttemptTarget& target, const httpserver::HttpRequest& request,
    SteadyTime, SteadyTime limit, callers::AttemptObserverPtr observer)
{
    if (!request["Turmericsill-Forwarded"].empty())
        return startForward(target.address.text(), request, limit, observer);
    const std::string instance = target.instance;
    if (world_.endpoints[instance].rebooting) {
        world_.deliver(thread_, connectDelay, [observer, instance] {
            observer->onFailure({ Errc::Unavailable, "endpoint.connect", instance, "refused" });
        });
        return;
    }
    world_.deliver(thread_, connectDelay,
        [this, instance, service = target.service, observer, key = std::string(request["Idempotency-Key"]),
            copy = std::string(request["X-Copy-Id"])] {
            if (!observer->onSending()) {
                observer->onFailure({ Errc::Conflict, "endpoint.send", instance, "stopped" });
                return;
            }
            world_.checkWork(service, instance);
            auto& endpoint = world_.endpoints[instance];
            endpoint.maximumInProgress = std::max(endpoint.maximumInProgress, ++endpoint.inProgress);
            if (!key.empty())
                ++world_.runsByKey[key];
            world_.firstRunAt.emplace(key, world_.clock.now());
            world_.copiesThatRan.insert(copy);
            world_.later(world_.work, [this, instance, observer] {
                --world_.endpoints[instance].inProgress;
                world_.deliver(thread_, milliseconds(0),
                    [observer, instance] { observer->onAnswer(httpserver::makeResponse(200, instance)); });
            });
        });
}

// A request to an entry that is paused or dies stays without an answer until its limit.
void WorldEndpointTransport::startForward(const std::string& address, const httpserver::HttpRequest& request,
    SteadyTime limit, const callers::AttemptObserverPtr& observer)
{
    world_.deliver(thread_, connectDelay, [this, address, request, limit, observer] {
        auto entry = world_.callers.find(address);
        if (entry == world_.callers.end())
            return observer->onFailure({ Errc::Unavailable, "endpoint.connect", address, "refused" });
        if (!observer->onSending())
            return observer->onFailure({ Errc::Conflict, "endpoint.send", address, "stopped" });
        auto ended = std::make_shared<bool>(false);
        thread_.timers.schedule(limit, [observer, ended, address] {
            if (!std::exchange(*ended, true))
                observer->onFailure({ Errc::Timeout, "endpoint.receive", address, "no answer" });
        });
        entry->second(request, [this, observer, ended](httpserver::HttpResponse answer) {
            world_.deliver(thread_, connectDelay, [observer, ended, answer] {
                if (!std::exchange(*ended, true))
                    observer->onAnswer(answer);
            });
        });
    });
}

} // namespace turmericsill::daemon::tests
