#include "callers/requeststatemachine.h"

#include <catch2/catch.hpp>
#include <functional>
#include <vector>

using turmericsill::callers::Outcome;
using turmericsill::callers::RequestStateMachine;
using State = RequestStateMachine::State;

namespace {

using Event = std::function<void(RequestStateMachine&)>;

const Event attemptStarted = [](RequestStateMachine& stateMachine) { stateMachine.onAttemptStarted(); };
const Event firstByteSent = [](RequestStateMachine& stateMachine) { stateMachine.onFirstByteSent(); };
const Event responseReceived = [](RequestStateMachine& stateMachine) { stateMachine.onResponse(); };
const Event cancelled = [](RequestStateMachine& stateMachine) { stateMachine.onCancelled(); };
const Event failedBeforeSendCanRetry = [](RequestStateMachine& stateMachine) { stateMachine.onFailedBeforeSend(true); };
const Event failedBeforeSendNoRetry = [](RequestStateMachine& stateMachine) { stateMachine.onFailedBeforeSend(false); };
const Event refusedCanRetry = [](RequestStateMachine& stateMachine) { stateMachine.onRefused(true); };
const Event refusedNoRetry = [](RequestStateMachine& stateMachine) { stateMachine.onRefused(false); };
const Event failedAfterSendCanRetry = [](RequestStateMachine& stateMachine) { stateMachine.onFailedAfterSend(true); };
const Event failedAfterSendNoRetry = [](RequestStateMachine& stateMachine) { stateMachine.onFailedAfterSend(false); };

State stateAfter(bool idempotent, const std::vector<Event>& events)
{
    RequestStateMachine stateMachine(idempotent);
    for (const auto& event : events)
        event(stateMachine);
    return stateMachine.state();
}

} // namespace

TEST_CASE("request state machine: every transition of a request that has not run", "[outcome]")
{
    for (const bool idempotent : { false, true }) {
        CHECK(stateAfter(idempotent, {}) == State::Queued);
        CHECK(stateAfter(idempotent, { attemptStarted }) == State::Connecting);
        CHECK(stateAfter(idempotent, { attemptStarted, firstByteSent }) == State::Sent);
        CHECK(stateAfter(idempotent, { attemptStarted, firstByteSent, responseReceived }) == State::Answered);
        CHECK(stateAfter(idempotent, { cancelled }) == State::NotRun);
        CHECK(stateAfter(idempotent, { attemptStarted, cancelled }) == State::NotRun);
        CHECK(stateAfter(idempotent, { attemptStarted, firstByteSent, cancelled }) == State::Unknown);
        CHECK(stateAfter(idempotent, { attemptStarted, failedBeforeSendCanRetry }) == State::Queued);
        CHECK(stateAfter(idempotent, { attemptStarted, failedBeforeSendNoRetry }) == State::NotRun);
        CHECK(stateAfter(idempotent, { attemptStarted, firstByteSent, refusedCanRetry }) == State::Queued);
        CHECK(stateAfter(idempotent, { attemptStarted, firstByteSent, refusedNoRetry }) == State::NotRun);
        CHECK(stateAfter(idempotent, { attemptStarted, firstByteSent, failedAfterSendNoRetry }) == State::Unknown);
    }
}

TEST_CASE(
    "request state machine: only an idempotent request is retried after a failure that follows sending", "[outcome]")
{
    CHECK(stateAfter(false, { attemptStarted, firstByteSent, failedAfterSendCanRetry }) == State::Unknown);
    CHECK(stateAfter(true, { attemptStarted, firstByteSent, failedAfterSendCanRetry }) == State::Queued);
}

TEST_CASE("request state machine: a request that may have run never ends as not run", "[outcome]")
{
    const std::vector<Event> mayHaveRun { attemptStarted, firstByteSent, failedAfterSendCanRetry };
    const std::vector<std::vector<Event>> endings { { cancelled }, { attemptStarted, cancelled },
        { attemptStarted, failedBeforeSendNoRetry }, { attemptStarted, firstByteSent, refusedNoRetry },
        { attemptStarted, firstByteSent, cancelled }, { attemptStarted, firstByteSent, failedAfterSendNoRetry } };
    for (const auto& end : endings) {
        std::vector<Event> events = mayHaveRun;
        events.insert(events.end(), end.begin(), end.end());
        CHECK(stateAfter(true, events) == State::Unknown);
    }
    CHECK(
        stateAfter(true,
            { attemptStarted, firstByteSent, failedAfterSendCanRetry, attemptStarted, firstByteSent, responseReceived })
        == State::Answered);
}

TEST_CASE("request state machine: late and out-of-order events are ignored", "[outcome]")
{
    const std::vector<Event> allEvents { attemptStarted, firstByteSent, responseReceived, cancelled,
        failedBeforeSendCanRetry, failedBeforeSendNoRetry, refusedCanRetry, refusedNoRetry, failedAfterSendCanRetry,
        failedAfterSendNoRetry };
    const std::vector<std::vector<Event>> finalSequences { { attemptStarted, firstByteSent, responseReceived },
        { cancelled }, { attemptStarted, firstByteSent, cancelled } };
    for (const auto& finalSequence : finalSequences) {
        const State state = stateAfter(true, finalSequence);
        for (const auto& lateEvent : allEvents) {
            std::vector<Event> events = finalSequence;
            events.push_back(lateEvent);
            CHECK(stateAfter(true, events) == state);
        }
    }
    CHECK(stateAfter(true, { responseReceived }) == State::Queued);
    CHECK(stateAfter(true, { firstByteSent }) == State::Queued);
    CHECK(stateAfter(true, { attemptStarted, responseReceived }) == State::Connecting);
}
