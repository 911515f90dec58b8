#include "callers/atmostonce.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmericsill::callers {

using foundation::milliseconds;
using foundation::SteadyTime;
using foundation::WallTime;

namespace {

    constexpr milliseconds rememberedWindow { 600000 };
    constexpr milliseconds repeatHorizon { 30000 };
    constexpr std::size_t maximumKeys = 200000;
    constexpr std::size_t maximumAnswerBytes = 16u << 20;
    constexpr std::size_t peerConnections = 512;
    constexpr milliseconds retryInterval { 20 };

    /// Largest difference between a caller's clock and an entry's for which the promise holds.
    constexpr milliseconds clockSkew { 2000 };

    constexpr unsigned serviceUnavailable = 503; ///< Replaced by that of the outcome when it is unknown.
    constexpr const char* lookupAbsent = "absent";

} // namespace

/// One request on its way to another entry.
class AtMostOnce::Forward final : public IAttemptObserver {
public:
    Forward(AtMostOnce& owner, CallerRequestPtr forwarded, std::vector<FormerHome> remainingHomes)
        : atMostOnce(owner)
        , request(std::move(forwarded))
        , remaining(std::move(remainingHomes))
    {
    }

    bool onSending() override
    {
        if (request->machine.isDone())
            return false;
        request->machine.onSent();
        return true;
    }

    void onAnswer(httpserver::HttpResponse answer) override
    {
        if (request->machine.isDone())
            return;
        const auto outcome = answer["Turmericsill-Outcome"];
        if (outcome == "answered") {
            request->machine.onAnswer();
            CallerReply reply;
            reply.answer = std::move(answer);
            return atMostOnce.dispatcher_.finish(request, std::move(reply));
        }
        if (outcome != "not-run")
            return atMostOnce.endAs(request, Outcome::Unknown, "the outcome is unknown at another entry");
        const bool absent = answer["Turmericsill-Lookup"] == lookupAbsent;
        const bool notHome = answer["Turmericsill-Home"] == "other";
        if (absent && !atMostOnce.coversFirstAttempt(*request, answer["Turmericsill-Memory-Since-Ms"].to_string()))
            return atMostOnce.endAs(request, Outcome::Unknown, "a former home of this key was its home too short");
        const std::string reason = answer.body().substr(0, answer.body().find('\n'));
        // The home vouches for a request that it did not run.
        request->machine.assumeMayHaveRun(absent || notHome);
        request->machine.onRefused(absent || notHome);
        if (request->machine.isDone())
            return atMostOnce.endAs(request, Outcome::NotRun, reason);
        if (absent)
            return atMostOnce.askFormerHomes(request, std::move(remaining));
        // The two entries follow different rosters for a moment.
        atMostOnce.tryAgain(request, RequestOrigin::Caller);
    }

    void onFailure(const foundation::Error& error) override
    {
        if (request->machine.isDone())
            return;
        if (request->machine.phase() != OutcomeMachine::Phase::Connecting) {
            request->machine.onBroken(false);
            return atMostOnce.endAs(request, Outcome::Unknown, error.message());
        }
        // An entry that cannot be reached may be gone; the log will say so and name another home.
        request->machine.onNotSent(true);
        atMostOnce.tryAgain(request, RequestOrigin::Caller);
    }

    AtMostOnce& atMostOnce;
    CallerRequestPtr request;
    std::vector<FormerHome> remaining; ///< Former homes that are still to be asked.
};

AtMostOnce::AtMostOnce(std::string entry, Dispatcher& dispatcher, IEndpointTransport& peers,
    foundation::ITimerQueue& timers, const foundation::IClock& clock)
    : entry_(entry)
    , dispatcher_(dispatcher)
    , peers_(peers)
    , timers_(timers)
    , clock_(clock)
    , directory_(std::move(entry))
    , journal_(rememberedWindow, maximumKeys, maximumAnswerBytes)
{
}

void AtMostOnce::submit(const CallerRequestPtr& request, RequestOrigin origin)
{
    if (request->idempotent || request->idempotencyKey.empty())
        return dispatcher_.submit(request);
    dispatcher_.accept(request);
    // Until a home has shown that no earlier copy ran, this one cannot be called not run.
    request->machine.assumeMayHaveRun(true);
    submitKeyed(request, origin);
}

void AtMostOnce::abandon(const CallerRequestPtr& request)
{
    // Other copies may wait for the same run, so a run goes on without its caller.
    if (request->idempotent || request->idempotencyKey.empty())
        dispatcher_.abandon(request);
}

void AtMostOnce::submitKeyed(const CallerRequestPtr& request, RequestOrigin origin)
{
    if (request->machine.isDone())
        return;
    journal_.expire(clock_.now());
    const std::string& key = request->idempotencyKey;
    if (journal_.stateOf(key) != KeyJournal::State::Absent)
        return answerFromJournal(request);
    if (origin == RequestOrigin::Lookup) {
        return answerLookup(request);
    }
    const FormerHome home = directory_.homeOf(key);
    if (home.entry == entry_)
        return submitAtHome(request);
    if (origin == RequestOrigin::Forwarded) {
        request->replyFields = { { "Turmericsill-Home", "other" } };
        return endAs(request, Outcome::NotRun, "not the home of this key");
    }
    if (home.address.empty())
        return tryAgain(request, origin);
    forward(request, home, {}, false);
}

// A former home never runs the request; it tells since when it would have seen one.
void AtMostOnce::answerLookup(const CallerRequestPtr& request)
{
    const auto since = directory_.memorySince(request->idempotencyKey, request->lookupRoster);
    if (!since)
        return endAs(request, Outcome::Unknown, "does not know that it was the home of this key");
    const auto sinceMs = std::chrono::duration_cast<milliseconds>(since->time_since_epoch()).count();
    request->replyFields
        = { { "Turmericsill-Lookup", lookupAbsent }, { "Turmericsill-Memory-Since-Ms", std::to_string(sinceMs) } };
    endAs(request, Outcome::NotRun, "not known at a former home");
}

void AtMostOnce::answerFromJournal(const CallerRequestPtr& request)
{
    const std::string& key = request->idempotencyKey;
    const KeyJournal::State state = journal_.stateOf(key);
    if (state == KeyJournal::State::InProgress)
        return joinRunning(request);
    const CallerReply* answered = journal_.answerOf(key);
    if (!answered)
        return endAs(request, Outcome::Unknown,
            state == KeyJournal::State::Answered ? "ran before; its answer is no longer kept" : "may have run before");
    request->machine.onDispatched();
    request->machine.onSent();
    request->machine.onAnswer();
    dispatcher_.finish(request, *answered);
}

void AtMostOnce::joinRunning(const CallerRequestPtr& request)
{
    dispatcher_.armTimer(request, request->deadline);
    // From here on the request's own fate is that of the run, which may already be at work.
    request->machine.onDispatched();
    request->machine.onSent();
    journal_.join(request->idempotencyKey, [this, request](const CallerReply& reply) {
        if (request->machine.isDone())
            return;
        if (reply.outcome == Outcome::Answered) {
            request->machine.onAnswer();
        } else if (reply.outcome == Outcome::NotRun) {
            request->machine.assumeMayHaveRun(false);
            request->machine.onRefused(false);
        } else {
            request->machine.onGivenUp();
        }
        dispatcher_.finish(request, reply);
    });
}

void AtMostOnce::submitAtHome(const CallerRequestPtr& request)
{
    if (clock_.now() >= certainUntil_)
        return tryAgain(request, RequestOrigin::Caller);
    const WallTime firstAttempt = firstAttemptOf(request->idempotencyKey);
    if (firstAttempt < clock_.wallNow() - rememberedWindow)
        return endAs(request, Outcome::Unknown, "the key is older than what entries remember");
    auto former = directory_.formerHomes(request->idempotencyKey, firstAttempt - clockSkew);
    if (!former)
        return tryAgain(request, RequestOrigin::Caller);
    askFormerHomes(request, std::move(*former));
}

void AtMostOnce::askFormerHomes(const CallerRequestPtr& request, std::vector<FormerHome> former)
{
    if (journal_.stateOf(request->idempotencyKey) != KeyJournal::State::Absent)
        return answerFromJournal(request);
    // The answers of former homes hold only while this entry is still the home.
    if (!directory_.isHome(request->idempotencyKey))
        return tryAgain(request, RequestOrigin::Caller);
    if (former.empty())
        return run(request);
    const FormerHome home = former.back();
    former.pop_back();
    if (home.address.empty())
        return endAs(request, Outcome::Unknown, "a former home of this key is gone");
    forward(request, home, std::move(former), true);
}

bool AtMostOnce::coversFirstAttempt(const CallerRequest& request, const std::string& memorySinceMs) const
{
    std::int64_t since = 0;
    const auto parsed = std::from_chars(memorySinceMs.data(), memorySinceMs.data() + memorySinceMs.size(), since);
    return parsed.ec == std::errc()
        && WallTime(milliseconds(since)) <= firstAttemptOf(request.idempotencyKey) - clockSkew;
}

void AtMostOnce::run(const CallerRequestPtr& request)
{
    const std::string key = request->idempotencyKey;
    if (!journal_.begin(key))
        return endAs(request, Outcome::NotRun, "the journal of keys is full");
    auto reply = std::move(request->onReply);
    request->onReply = [this, key, reply = std::move(reply)](const CallerReply& ended) {
        reply(ended);
        onRunEnded(key, ended);
    };
    request->notAfter = certainUntil_;
    request->machine.assumeMayHaveRun(false);
    dispatcher_.dispatch(request);
}

void AtMostOnce::onRunEnded(const std::string& key, const CallerReply& reply)
{
    for (const auto& waiting : journal_.end(key, reply, clock_.now()))
        waiting(reply);
}

void AtMostOnce::forward(
    const CallerRequestPtr& request, const FormerHome& home, std::vector<FormerHome> remaining, bool lookup)
{
    auto address = foundation::parseAddress(home.address);
    if (!address)
        return endAs(request, Outcome::Unknown, "the home of this key has no address");
    dispatcher_.armTimer(request, request->deadline);
    request->machine.onDispatched();
    auto message = std::make_shared<httpserver::HttpRequest>(request->message);
    message->set("Turmericsill-Forwarded", lookup ? "lookup" : "run");
    message->set("Turmericsill-Roster", std::to_string(home.rosterVersion));
    message->set("Turmericsill-Idempotent", "false");
    const auto left = std::chrono::duration_cast<milliseconds>(request->deadline - clock_.now());
    message->set("Turmericsill-Timeout-Ms", std::to_string(std::max<std::int64_t>(1, left.count())));
    message->set("traceparent", request->trace.header());
    boost::intrusive_ptr<Forward> observer = new Forward(*this, request, std::move(remaining));
    request->forwarded = message;
    peers_.start({ "forward", home.entry, *address, peerConnections, true }, *message, request->deadline,
        request->deadline, observer);
}

void AtMostOnce::tryAgain(const CallerRequestPtr& request, RequestOrigin origin)
{
    dispatcher_.armTimer(request, request->deadline);
    timers_.schedule(clock_.now() + retryInterval, [this, request, origin] { submitKeyed(request, origin); });
}

void AtMostOnce::endAs(const CallerRequestPtr& request, Outcome outcome, const std::string& reason)
{
    if (request->machine.isDone()) {
        CallerReply reply;
        reply.reason = reason;
        return dispatcher_.finish(request, std::move(reply));
    }
    request->machine.assumeMayHaveRun(outcome == Outcome::Unknown);
    dispatcher_.giveUp(request, serviceUnavailable, reason);
}

// "MILLISECONDS-REST" is the calendar time of the first attempt. Copies under a key without it are taken to
// follow each other within the repeat horizon.
WallTime AtMostOnce::firstAttemptOf(const std::string& key) const
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(key.data(), key.data() + key.size(), value);
    const bool hasTime = parsed.ec == std::errc() && parsed.ptr != key.data() + key.size() && *parsed.ptr == '-';
    const WallTime stated { milliseconds(value) };
    const WallTime now = clock_.wallNow();
    const bool plausible = hasTime && stated <= now + clockSkew && stated > now - rememberedWindow * 2;
    return plausible ? stated : now - repeatHorizon;
}

} // namespace turmericsill::callers
