#include "callers/requestdeduplicator.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmericsill::callers {

using foundation::milliseconds;
using foundation::SteadyTime;
using foundation::WallTime;

namespace {

    constexpr milliseconds keyRetention { 600000 };

    /// Time within which all copies are assumed to be sent if their key does not contain the time of the first attempt.
    constexpr milliseconds assumedRetryWindow { 30000 };

    constexpr std::size_t maximumKeys = 200000;
    constexpr std::size_t maximumReplyBytes = 16u << 20;
    constexpr std::size_t maximumConnectionsPerPeer = 512;
    constexpr milliseconds ownerRetryInterval { 20 }; ///< Delay before the owner of a key is determined again.

    /// Largest difference between the clocks of a caller and an entry for which at-most-once execution is guaranteed.
    constexpr milliseconds maximumClockSkew { 2000 };

    constexpr unsigned serviceUnavailable = 503; ///< Dispatcher::finish() replaces it if the outcome is unknown.
    constexpr const char* lookupAbsentValue = "absent";

} // namespace

/// Observer of a request that is forwarded to another entry.
class RequestDeduplicator::ForwardObserver final : public IAttemptObserver {
public:
    ForwardObserver(RequestDeduplicator& owner, CallerRequestPtr forwardedRequest, std::vector<KeyOwner> ownersToQuery)
        : deduplicator(owner)
        , request(std::move(forwardedRequest))
        , remainingOwners(std::move(ownersToQuery))
    {
    }

    bool onBeforeSend() override
    {
        if (request->stateMachine.isDone())
            return false;
        request->stateMachine.onFirstByteSent();
        return true;
    }

    void onResponse(httpserver::HttpResponse response) override
    {
        if (request->stateMachine.isDone())
            return;
        const auto outcome = response["Turmericsill-Outcome"];
        if (outcome == "answered") {
            request->stateMachine.onResponse();
            CallerReply reply;
            reply.response = std::move(response);
            return deduplicator.dispatcher_.finish(request, std::move(reply));
        }
        if (outcome != "not-run")
            return deduplicator.finishWith(
                request, Outcome::Unknown, "another entry reported an unknown outcome for the request");
        const bool isAbsent = response["Turmericsill-Lookup"] == lookupAbsentValue;
        const bool isNotOwner = response["Turmericsill-Home"] == "other";
        if (isAbsent
            && !deduplicator.historyCoversFirstAttempt(*request, response["Turmericsill-Memory-Since-Ms"].to_string()))
            return deduplicator.finishWith(request, Outcome::Unknown,
                "a former owner of the idempotency key may have become its owner after the first attempt");
        const std::string reason = response.body().substr(0, response.body().find('\n'));
        // A refusal by the owner proves that no copy ran; other refusals do not.
        request->stateMachine.setMayHaveRun(isAbsent || isNotOwner);
        request->stateMachine.onRefused(isAbsent || isNotOwner);
        if (request->stateMachine.isDone())
            return deduplicator.finishWith(request, Outcome::NotRun, reason);
        if (isAbsent)
            return deduplicator.queryFormerOwners(request, std::move(remainingOwners));
        // The two entries follow different rosters at the moment, so retry until they agree on the owner.
        deduplicator.retryLater(request, RequestOrigin::Caller);
    }

    void onFailure(const foundation::Error& error) override
    {
        if (request->stateMachine.isDone())
            return;
        if (request->stateMachine.state() != RequestStateMachine::State::Connecting) {
            request->stateMachine.onFailedAfterSend(false);
            return deduplicator.finishWith(request, Outcome::Unknown, error.message());
        }
        // The owner may be gone. In that case the log will contain its removal, and another entry becomes the owner.
        request->stateMachine.onFailedBeforeSend(true);
        deduplicator.retryLater(request, RequestOrigin::Caller);
    }

    RequestDeduplicator& deduplicator;
    CallerRequestPtr request;
    std::vector<KeyOwner> remainingOwners; ///< Former owners that have not been queried yet.
};

RequestDeduplicator::RequestDeduplicator(std::string entry, Dispatcher& dispatcher, IEndpointTransport& peers,
    foundation::ITimerQueue& timers, const foundation::IClock& clock)
    : entry_(entry)
    , dispatcher_(dispatcher)
    , peers_(peers)
    , timers_(timers)
    , clock_(clock)
    , ownerDirectory_(std::move(entry))
    , idempotencyTable_(keyRetention, maximumKeys, maximumReplyBytes)
{
}

void RequestDeduplicator::submit(const CallerRequestPtr& request, RequestOrigin origin)
{
    if (request->idempotent || request->idempotencyKey.empty())
        return dispatcher_.submit(request);
    dispatcher_.countReceived(request);
    // The outcome cannot be NotRun before the owner of the key has confirmed that no earlier copy ran.
    request->stateMachine.setMayHaveRun(true);
    submitKeyed(request, origin);
}

void RequestDeduplicator::onCallerDisconnected(const CallerRequestPtr& request)
{
    // Other copies may be waiting for the result, so a keyed request continues without its caller.
    if (request->idempotent || request->idempotencyKey.empty())
        dispatcher_.onCallerDisconnected(request);
}

void RequestDeduplicator::submitKeyed(const CallerRequestPtr& request, RequestOrigin origin)
{
    if (request->stateMachine.isDone())
        return;
    idempotencyTable_.removeExpired(clock_.now());
    const std::string& key = request->idempotencyKey;
    if (idempotencyTable_.stateOf(key) != IdempotencyTable::State::Absent)
        return replyFromTable(request);
    if (origin == RequestOrigin::Lookup) {
        return replyToLookup(request);
    }
    const KeyOwner owner = ownerDirectory_.ownerOf(key);
    if (owner.entry == entry_)
        return submitAsOwner(request);
    if (origin == RequestOrigin::Forwarded) {
        request->extraReplyHeaders = { { "Turmericsill-Home", "other" } };
        return finishWith(request, Outcome::NotRun, "not the owner of the key");
    }
    if (owner.address.empty())
        return retryLater(request, origin);
    forward(request, owner, {}, false);
}

// A former owner never runs the request. It reports the time since which it has seen every request with the key.
void RequestDeduplicator::replyToLookup(const CallerRequestPtr& request)
{
    const auto since = ownerDirectory_.historySince(request->idempotencyKey, request->lookupRosterVersion);
    if (!since)
        return finishWith(request, Outcome::Unknown, "this entry has no record of having owned the idempotency key");
    const auto sinceMs = std::chrono::duration_cast<milliseconds>(since->time_since_epoch()).count();
    request->extraReplyHeaders
        = { { "Turmericsill-Lookup", lookupAbsentValue }, { "Turmericsill-Memory-Since-Ms", std::to_string(sinceMs) } };
    finishWith(request, Outcome::NotRun, "the former owner has no record of the idempotency key");
}

void RequestDeduplicator::replyFromTable(const CallerRequestPtr& request)
{
    const std::string& key = request->idempotencyKey;
    const IdempotencyTable::State state = idempotencyTable_.stateOf(key);
    if (state == IdempotencyTable::State::InProgress)
        return waitForRunningCopy(request);
    const CallerReply* storedReply = idempotencyTable_.findReply(key);
    if (!storedReply)
        return finishWith(request, Outcome::Unknown,
            state == IdempotencyTable::State::Answered ? "an earlier copy ran, but its response is no longer stored"
                                                       : "a copy may have run");
    request->stateMachine.onAttemptStarted();
    request->stateMachine.onFirstByteSent();
    request->stateMachine.onResponse();
    dispatcher_.finish(request, *storedReply);
}

void RequestDeduplicator::waitForRunningCopy(const CallerRequestPtr& request)
{
    dispatcher_.scheduleTimeout(request, request->deadline);
    // This copy shares the outcome of the running copy, which may already have reached an endpoint.
    request->stateMachine.onAttemptStarted();
    request->stateMachine.onFirstByteSent();
    idempotencyTable_.addWaiter(request->idempotencyKey, [this, request](const CallerReply& reply) {
        if (request->stateMachine.isDone())
            return;
        if (reply.outcome == Outcome::Answered) {
            request->stateMachine.onResponse();
        } else if (reply.outcome == Outcome::NotRun) {
            request->stateMachine.setMayHaveRun(false);
            request->stateMachine.onRefused(false);
        } else {
            request->stateMachine.onCancelled();
        }
        dispatcher_.finish(request, reply);
    });
}

void RequestDeduplicator::submitAsOwner(const CallerRequestPtr& request)
{
    if (clock_.now() >= leaseExpiry_)
        return retryLater(request, RequestOrigin::Caller);
    const WallTime firstAttempt = firstAttemptTime(request->idempotencyKey);
    if (firstAttempt < clock_.wallNow() - keyRetention)
        return finishWith(request, Outcome::Unknown, "the idempotency key is older than the retention time of keys");
    auto former = ownerDirectory_.formerOwners(request->idempotencyKey, firstAttempt - maximumClockSkew);
    if (!former)
        return retryLater(request, RequestOrigin::Caller);
    queryFormerOwners(request, std::move(*former));
}

void RequestDeduplicator::queryFormerOwners(const CallerRequestPtr& request, std::vector<KeyOwner> former)
{
    if (idempotencyTable_.stateOf(request->idempotencyKey) != IdempotencyTable::State::Absent)
        return replyFromTable(request);
    // The replies of former owners are valid only while this entry still owns the key.
    if (!ownerDirectory_.isOwner(request->idempotencyKey))
        return retryLater(request, RequestOrigin::Caller);
    if (former.empty())
        return execute(request);
    const KeyOwner owner = former.back();
    former.pop_back();
    if (owner.address.empty())
        return finishWith(request, Outcome::Unknown, "a former owner of the idempotency key is gone");
    forward(request, owner, std::move(former), true);
}

bool RequestDeduplicator::historyCoversFirstAttempt(
    const CallerRequest& request, const std::string& historySinceMs) const
{
    std::int64_t since = 0;
    const auto parsed = std::from_chars(historySinceMs.data(), historySinceMs.data() + historySinceMs.size(), since);
    return parsed.ec == std::errc()
        && WallTime(milliseconds(since)) <= firstAttemptTime(request.idempotencyKey) - maximumClockSkew;
}

void RequestDeduplicator::execute(const CallerRequestPtr& request)
{
    const std::string key = request->idempotencyKey;
    if (!idempotencyTable_.insert(key))
        return finishWith(request, Outcome::NotRun, "the table of idempotency keys is full");
    auto reply = std::move(request->onReply);
    request->onReply = [this, key, reply = std::move(reply)](const CallerReply& ended) {
        reply(ended);
        onExecuted(key, ended);
    };
    request->sendDeadline = leaseExpiry_;
    request->stateMachine.setMayHaveRun(false);
    dispatcher_.dispatch(request);
}

void RequestDeduplicator::onExecuted(const std::string& key, const CallerReply& reply)
{
    for (const auto& notifyWaiter : idempotencyTable_.complete(key, reply, clock_.now()))
        notifyWaiter(reply);
}

void RequestDeduplicator::forward(
    const CallerRequestPtr& request, const KeyOwner& owner, std::vector<KeyOwner> remainingOwners, bool isLookup)
{
    auto address = foundation::parseAddress(owner.address);
    if (!address)
        return finishWith(request, Outcome::Unknown, "the owner of the idempotency key has no valid address");
    dispatcher_.scheduleTimeout(request, request->deadline);
    request->stateMachine.onAttemptStarted();
    auto message = std::make_shared<httpserver::HttpRequest>(request->message);
    message->set("Turmericsill-Forwarded", isLookup ? "lookup" : "run");
    message->set("Turmericsill-Roster", std::to_string(owner.rosterVersion));
    message->set("Turmericsill-Idempotent", "false");
    const auto remainingTime = std::chrono::duration_cast<milliseconds>(request->deadline - clock_.now());
    message->set("Turmericsill-Timeout-Ms", std::to_string(std::max<std::int64_t>(1, remainingTime.count())));
    message->set("traceparent", request->trace.header());
    boost::intrusive_ptr<ForwardObserver> observer = new ForwardObserver(*this, request, std::move(remainingOwners));
    request->forwardedMessage = message;
    peers_.start({ "forward", owner.entry, *address, maximumConnectionsPerPeer, true }, *message, request->deadline,
        request->deadline, observer);
}

void RequestDeduplicator::retryLater(const CallerRequestPtr& request, RequestOrigin origin)
{
    dispatcher_.scheduleTimeout(request, request->deadline);
    timers_.schedule(clock_.now() + ownerRetryInterval, [this, request, origin] { submitKeyed(request, origin); });
}

void RequestDeduplicator::finishWith(const CallerRequestPtr& request, Outcome outcome, const std::string& reason)
{
    if (request->stateMachine.isDone()) {
        CallerReply reply;
        reply.reason = reason;
        return dispatcher_.finish(request, std::move(reply));
    }
    request->stateMachine.setMayHaveRun(outcome == Outcome::Unknown);
    dispatcher_.cancel(request, serviceUnavailable, reason);
}

// A key of the form "MILLISECONDS-REST" contains the wall-clock time of the first attempt. For other keys, the first
// attempt is assumed to be at most assumedRetryWindow ago.
WallTime RequestDeduplicator::firstAttemptTime(const std::string& key) const
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(key.data(), key.data() + key.size(), value);
    const bool hasTime = parsed.ec == std::errc() && parsed.ptr != key.data() + key.size() && *parsed.ptr == '-';
    const WallTime statedTime { milliseconds(value) };
    const WallTime now = clock_.wallNow();
    const bool isPlausible = hasTime && statedTime <= now + maximumClockSkew && statedTime > now - keyRetention * 2;
    return isPlausible ? statedTime : now - assumedRetryWindow;
}

} // namespace turmericsill::callers
