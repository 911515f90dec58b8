#include "daemon/tests/simulatedenvironment.h"

#include <algorithm>
#include <utility>

namespace turmericsill::daemon::tests {

using foundation::Errc;
using foundation::failure;
using foundation::Result;

namespace {

    constexpr milliseconds connectDelay { 1 };
    constexpr milliseconds platformDelay { 2 };
    constexpr milliseconds readPollInterval { 5 };
    constexpr const char* fleetStream = "s"; ///< The only stream with records; all other streams stay empty.
    constexpr milliseconds drainNoticeLimit { 2000 }; ///< Time in which all entries must learn of a drain.

} // namespace

void SimulatedEnvironment::scheduleOnEntry(EntryThread& thread, milliseconds delay, std::function<void()> callback)
{
    thread.timers.schedule(clock.now() + delay, std::move(callback));
}

void SimulatedEnvironment::scheduleEvent(milliseconds delay, std::function<void()> callback)
{
    timers.schedule(clock.now() + delay, std::move(callback));
}

void SimulatedEnvironment::addToTranscript(const std::string& line)
{
    std::string time = std::to_string(clock.elapsed.count());
    transcript.push_back(std::string(7 - std::min<std::size_t>(7, time.size()), ' ') + time + " " + line);
}

void SimulatedEnvironment::setLogDown(bool down)
{
    if (logDown && !down)
        logUpSince = clock.now();
    logDown = down;
    addToTranscript(down ? "the log is down" : "the log is back");
}

void SimulatedEnvironment::checkDispatch(const std::string& service, const std::string& instance)
{
    std::string pool;
    const auto found = referenceState.state()->findInstance(instance, &pool);
    const auto* declared = referenceState.state()->findService(service);
    if (!found || !declared) {
        broken.push_back("request of service " + service + " was sent to " + instance + ", which is not in the log");
        return;
    }
    if (declared->pool != pool)
        broken.push_back("request for pool " + declared->pool + " was sent to " + instance + " of pool " + pool);
    if (found->lifecycle == fleetstate::Lifecycle::Stopped)
        broken.push_back("request was sent to " + instance + ", which is stopped");
    if (found->lifecycle != fleetstate::Lifecycle::Draining || logDown)
        return;
    // Entries cannot learn of a drain while the log is down, so the limit counts from when the log is readable again.
    const SteadyTime informedAt = std::max(drainingSince.at(instance), logUpSince);
    if (clock.now() - informedAt > drainNoticeLimit)
        broken.push_back("new request was sent to " + instance + " at " + std::to_string(clock.elapsed.count())
            + " ms, although its drain could be read since "
            + std::to_string(std::chrono::duration_cast<milliseconds>(informedAt.time_since_epoch()).count()) + " ms");
}

void SimulatedLogClient::append(
    const std::string& stream, std::vector<std::string> payloads, milliseconds timeout, AppendCallback done)
{
    if (environment_.logDown) {
        environment_.scheduleOnEntry(
            thread_, environment_.logDelay, [done] { done(failure(Errc::Unavailable, "log.append")); });
        return;
    }
    if (stream != fleetStream) {
        environment_.scheduleOnEntry(thread_, environment_.logDelay, [done] { done(std::uint64_t { 0 }); });
        return;
    }
    const std::uint64_t first = environment_.log.size();
    for (auto& payload : payloads) {
        static_cast<void>(environment_.referenceState.applyPayload(environment_.log.size(), payload));
        environment_.log.push_back(std::move(payload));
    }
    for (const auto& [name, pool] : environment_.referenceState.state()->pools) {
        for (const auto& [instanceName, instance] : pool->instances) {
            if (instance->lifecycle == fleetstate::Lifecycle::Draining)
                environment_.drainingSince.emplace(instanceName, environment_.clock.now());
            else
                environment_.drainingSince.erase(instanceName);
        }
    }
    const bool losesAnswer
        = std::uniform_real_distribution<double>(0, 1)(environment_.random) < environment_.appendAnswerLossRate;
    if (losesAnswer)
        environment_.scheduleOnEntry(thread_, timeout, [done] { done(failure(Errc::Timeout, "log.append")); });
    else
        environment_.scheduleOnEntry(thread_, environment_.logDelay, [done, first] { done(first); });
}

void SimulatedLogClient::read(
    const std::string& stream, std::uint64_t from, std::size_t maximum, milliseconds wait, ReadCallback done)
{
    if (stream != fleetStream && !environment_.logDown) {
        environment_.scheduleOnEntry(thread_, environment_.logDelay, [done] { done(platform::LogPage()); });
        return;
    }
    answerRead(from, maximum, environment_.clock.now() + wait, done);
}

void SimulatedLogClient::answerRead(std::uint64_t from, std::size_t maximum, SteadyTime until, const ReadCallback& done)
{
    if (environment_.logDown) {
        environment_.scheduleOnEntry(
            thread_, environment_.logDelay, [done] { done(failure(Errc::Unavailable, "log.read")); });
        return;
    }
    if (from >= environment_.log.size() && environment_.clock.now() < until) {
        environment_.scheduleEvent(
            readPollInterval, [this, from, maximum, until, done] { answerRead(from, maximum, until, done); });
        return;
    }
    platform::LogPage page;
    page.firstOffset = from;
    page.endOffset = environment_.log.size();
    for (std::uint64_t offset = from; offset < page.endOffset && page.payloads.size() < maximum; ++offset)
        page.payloads.push_back(environment_.log[offset]);
    environment_.scheduleOnEntry(thread_, environment_.logDelay, [done, page] { done(page); });
}

void SimulatedInstanceManager::listInstances(const std::vector<std::string>& names, ListCallback done)
{
    std::vector<platform::ListedInstance> list;
    for (const auto& name : names) {
        if (environment_.listedInstances.count(name) != 0)
            list.push_back({ name, true });
    }
    environment_.scheduleOnEntry(thread_, platformDelay, [done, list] { done(list); });
}

void SimulatedInstanceManager::reboot(
    const std::string& instance, const std::string& operationId, std::uint64_t, DoneCallback done)
{
    if (environment_.operations.emplace(operationId, "running").second) {
        auto& endpoint = environment_.endpoints[instance];
        endpoint.abortedRequests += endpoint.inProgress;
        endpoint.rebooting = true;
        environment_.addToTranscript("platform reboots " + instance);
        environment_.scheduleEvent(environment_.rebootDuration, [this, instance, operationId] {
            environment_.endpoints[instance].rebooting = false;
            environment_.operations[operationId] = "done";
            environment_.addToTranscript("platform finished " + instance);
        });
    }
    environment_.scheduleOnEntry(thread_, platformDelay, [done] { done(Result<void>()); });
}

void SimulatedInstanceManager::queryOperation(const std::string& operationId, OperationCallback done)
{
    auto found = environment_.operations.find(operationId);
    const auto state = found == environment_.operations.end() ? platform::OperationState::Unknown
        : found->second == "done"                             ? platform::OperationState::Done
                                                              : platform::OperationState::Running;
    environment_.scheduleOnEntry(thread_, platformDelay, [done, state] { done(state); });
}

void SimulatedPeerTransport::send(const foundation::Address& peer, const std::string& datagram)
{
    if (environment_.blockedLinks.count({ self_, peer.toString() }) != 0)
        return;
    environment_.scheduleEvent(environment_.peerDelay, [this, to = peer.toString(), datagram] {
        auto receiver = environment_.peers.find(to);
        if (receiver != environment_.peers.end())
            receiver->second(datagram);
    });
}

void SimulatedEndpointTransport::start(const callers::AttemptTarget& target, const httpserver::HttpRequest& request,
    SteadyTime, SteadyTime limit, callers::AttemptObserverPtr observer)
{
    if (!request["Turmericsill-Forwarded"].empty())
        return startForward(target.address.toString(), request, limit, observer);
    const std::string instance = target.instance;
    if (environment_.endpoints[instance].rebooting) {
        environment_.scheduleOnEntry(thread_, connectDelay, [observer, instance] {
            observer->onFailure({ Errc::Unavailable, "endpoint.connect", instance, "refused" });
        });
        return;
    }
    environment_.scheduleOnEntry(thread_, connectDelay,
        [this, instance, service = target.service, observer, key = std::string(request["Idempotency-Key"]),
            copyId = std::string(request["X-Copy-Id"])] {
            if (!observer->onBeforeSend()) {
                observer->onFailure({ Errc::Conflict, "endpoint.send", instance, "stopped" });
                return;
            }
            environment_.checkDispatch(service, instance);
            auto& endpoint = environment_.endpoints[instance];
            endpoint.maximumInProgress = std::max(endpoint.maximumInProgress, ++endpoint.inProgress);
            if (!key.empty())
                ++environment_.runsByKey[key];
            environment_.firstRunAt.emplace(key, environment_.clock.now());
            environment_.executedCopies.insert(copyId);
            environment_.scheduleEvent(environment_.requestDuration, [this, instance, observer] {
                --environment_.endpoints[instance].inProgress;
                environment_.scheduleOnEntry(thread_, milliseconds(0),
                    [observer, instance] { observer->onResponse(httpserver::makeResponse(200, instance)); });
            });
        });
}

// A request to an entry that is paused or is killed gets no answer and times out at `limit`.
void SimulatedEndpointTransport::startForward(const std::string& address, const httpserver::HttpRequest& request,
    SteadyTime limit, const callers::AttemptObserverPtr& observer)
{
    environment_.scheduleOnEntry(thread_, connectDelay, [this, address, request, limit, observer] {
        auto entry = environment_.callers.find(address);
        if (entry == environment_.callers.end())
            return observer->onFailure({ Errc::Unavailable, "endpoint.connect", address, "refused" });
        if (!observer->onBeforeSend())
            return observer->onFailure({ Errc::Conflict, "endpoint.send", address, "stopped" });
        auto ended = std::make_shared<bool>(false);
        thread_.timers.schedule(limit, [observer, ended, address] {
            if (!std::exchange(*ended, true))
                observer->onFailure({ Errc::Timeout, "endpoint.receive", address, "no answer" });
        });
        entry->second(request, [this, observer, ended](httpserver::HttpResponse response) {
            environment_.scheduleOnEntry(thread_, connectDelay, [observer, ended, response] {
                if (!std::exchange(*ended, true))
                    observer->onResponse(response);
            });
        });
    });
}

} // namespace turmericsill::daemon::tests
