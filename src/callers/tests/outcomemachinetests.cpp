#include "callers/outcomemachine.h"

#include <catch2/catch.hpp>
#include <functional>
#include <vector>

using turmericsill::callers::Outcome;
using turmericsill::callers::OutcomeMachine;
using Phase = OutcomeMachine::Phase;

namespace {

using Event = std::function<void(OutcomeMachine&)>;

const Event dispatched = [](OutcomeMachine& machine) { machine.onDispatched(); };
const Event sent = [](OutcomeMachine& machine) { machine.onSent(); };
const Event answered = [](OutcomeMachine& machine) { machine.onAnswer(); };
const Event givenUp = [](OutcomeMachine& machine) { machine.onGivenUp(); };
const Event notSentRetry = [](OutcomeMachine& machine) { machine.onNotSent(true); };
const Event notSentEnd = [](OutcomeMachine& machine) { machine.onNotSent(false); };
const Event refusedRetry = [](OutcomeMachine& machine) { machine.onRefused(true); };
const Event refusedEnd = [](OutcomeMachine& machine) { machine.onRefused(false); };
const Event brokenRetry = [](OutcomeMachine& machine) { machine.onBroken(true); };
const Event brokenEnd = [](OutcomeMachine& machine) { machine.onBroken(false); };

Phase phaseAfter(bool idempotent, const std::vector<Event>& events)
{
    OutcomeMachine machine(idempotent);
    for (const auto& event : events)
        event(machine);
    return machine.phase();
}

} // namespace

TEST_CASE("outcome: every transition of a request that has not run", "[outcome]")
{
    for (const bool idempotent : { false, true }) {
        CHECK(phaseAfter(idempotent, {}) == Phase::Queued);
        CHECK(phaseAfter(idempotent, { dispatched }) == Phase::Connecting);
        CHECK(phaseAfter(idempotent, { dispatched, sent }) == Phase::Sent);
        CHECK(phaseAfter(idempotent, { dispatched, sent, answered }) == Phase::Answered);
        CHECK(phaseAfter(idempotent, { givenUp }) == Phase::NotRun);
        CHECK(phaseAfter(idempotent, { dispatched, givenUp }) == Phase::NotRun);
        CHECK(phaseAfter(idempotent, { dispatched, sent, givenUp }) == Phase::Unknown);
        CHECK(phaseAfter(idempotent, { dispatched, notSentRetry }) == Phase::Queued);
        CHECK(phaseAfter(idempotent, { dispatched, notSentEnd }) == Phase::NotRun);
        CHECK(phaseAfter(idempotent, { dispatched, sent, refusedRetry }) == Phase::Queued);
        CHECK(phaseAfter(idempotent, { dispatched, sent, refusedEnd }) == Phase::NotRun);
        CHECK(phaseAfter(idempotent, { dispatched, sent, brokenEnd }) == Phase::Unknown);
    }
}

TEST_CASE("outcome: only an idempotent request runs again after its connection broke", "[outcome]")
{
    CHECK(phaseAfter(false, { dispatched, sent, brokenRetry }) == Phase::Unknown);
    CHECK(phaseAfter(true, { dispatched, sent, brokenRetry }) == Phase::Queued);
}

TEST_CASE("outcome: a request that may have run is never called not run", "[outcome]")
{
    const std::vector<Event> maybeRan { dispatched, sent, brokenRetry };
    const std::vector<std::vector<Event>> ends { { givenUp }, { dispatched, givenUp }, { dispatched, notSentEnd },
        { dispatched, sent, refusedEnd }, { dispatched, sent, givenUp }, { dispatched, sent, brokenEnd } };
    for (const auto& end : ends) {
        std::vector<Event> events = maybeRan;
        events.insert(events.end(), end.begin(), end.end());
        CHECK(phaseAfter(true, events) == Phase::Unknown);
    }
    CHECK(phaseAfter(true, { dispatched, sent, brokenRetry, dispatched, sent, answered }) == Phase::Answered);
}

TEST_CASE("outcome: events that come late or out of order change nothing", "[outcome]")
{
    const std::vector<Event> all { dispatched, sent, answered, givenUp, notSentRetry, notSentEnd, refusedRetry,
        refusedEnd, brokenRetry, brokenEnd };
    const std::vector<std::vector<Event>> ended { { dispatched, sent, answered }, { givenUp },
        { dispatched, sent, givenUp } };
    for (const auto& start : ended) {
        const Phase phase = phaseAfter(true, start);
        for (const auto& late : all) {
            std::vector<Event> events = start;
            events.push_back(late);
            CHECK(phaseAfter(true, events) == phase);
        }
    }
    CHECK(phaseAfter(true, { answered }) == Phase::Queued);
    CHECK(phaseAfter(true, { sent }) == Phase::Queued);
    CHECK(phaseAfter(true, { dispatched, answered }) == Phase::Connecting);
}
