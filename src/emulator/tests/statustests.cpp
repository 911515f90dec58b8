#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::longRunningStep;
using fixtures::step;

namespace {

constexpr jobs::JobId firstJob = 0xf100;
constexpr milliseconds wait { 500 };

/// The answer to a request for the state of a job, and how long it took.
struct Answer {
    entry::JobStatus status;
    milliseconds took { 0 };
};

/// Asks an entry for the state of a job. Empty if it does not answer within `limit`.
std::optional<Answer> ask(EmulationFixture& fixture, const std::string& entryName, jobs::JobId id, milliseconds limit)
{
    std::optional<Answer> answer;
    const auto askedAt = fixture.emulation.clock().now();
    const auto elapsed
        = [&] { return std::chrono::duration_cast<milliseconds>(fixture.emulation.clock().now() - askedAt); };
    fixture.emulation.queryStatus(
        entryName, id,
        [&](entry::JobStatus status) {
            answer = { status, elapsed() };
        },
        wait);
    while (!answer && elapsed() < limit)
        fixture.emulation.advanceTime(milliseconds(1));
    return answer;
}

void startLongRunningJob(EmulationFixture& fixture)
{
    fixture.emulation.submit("e-1", firstJob, job({ longRunningStep(1, 500) }));
    fixture.emulation.advanceTime(milliseconds(1000));
}

/// Submits a job of one task and runs it until its controller has learned of the end, which is not stored yet.
void runToUnstoredEnd(EmulationFixture& fixture, jobs::JobId id)
{
    const auto ended = fixture.countEvents("run.ended");
    fixture.emulation.submit("e-1", id, job({ step(1, 500) }));
    for (int waited = 0; waited < 5000 && fixture.countEvents("run.ended") == ended; ++waited)
        fixture.emulation.advanceTime(milliseconds(1));
    REQUIRE(fixture.countEvents("run.ended") == ended + 1);
}

} // namespace

// Callers ask when the last task of their job has ended. An answer from before the end was stored sends them away, and
// they learn of the end only when they ask again.
TEST_CASE("status: a caller that asks while the end of its job is being stored is told of the end", "[emulation]")
{
    EmulationFixture fixture(121);
    jobs::JobId id = firstJob;
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        runToUnstoredEnd(fixture, ++id);
        const auto answer = ask(fixture, name, id, wait);
        REQUIRE(answer);
        CHECK(answer->status.state == jobs::JobState::Completed);
        CHECK(answer->took < milliseconds(100));
    }
    CHECK(fixture.violations().empty());
}

TEST_CASE("status: the answer about a job that remains in progress comes when the wait is over", "[emulation]")
{
    EmulationFixture fixture(122);
    startLongRunningJob(fixture);
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        const auto answer = ask(fixture, name, firstJob, wait + milliseconds(100));
        REQUIRE(answer);
        CHECK(answer->status.lookup == entry::JobLookup::Found);
        CHECK(answer->status.state == jobs::JobState::Running);
        CHECK(answer->took >= wait);
    }
}

TEST_CASE("status: a caller whose job is cancelled while the answer waits is told so", "[emulation]")
{
    EmulationFixture fixture(123);
    fixture.emulation.submit("e-1", firstJob, job({ step(64, 8000) }));
    fixture.emulation.advanceTime(milliseconds(300));
    std::optional<entry::JobStatus> status;
    fixture.emulation.queryStatus(
        "e-2", firstJob, [&](entry::JobStatus answer) { status = answer; }, wait);
    fixture.emulation.cancel("e-3", firstJob);
    fixture.emulation.advanceTime(milliseconds(150));
    REQUIRE(status);
    CHECK(status->state == jobs::JobState::Cancelled);
}

// An unknown job may be one whose submission another entry has just stored, or none at all.
TEST_CASE("status: an unknown job is looked for in the log and not waited for", "[emulation]")
{
    EmulationFixture fixture(124);
    const auto answer = ask(fixture, "e-2", firstJob, wait);
    REQUIRE(answer);
    CHECK(answer->status.lookup == entry::JobLookup::NotFound);
    CHECK(answer->took < milliseconds(100));
}

// The table of an entry is rebuilt while a caller waits: it must not be told that its job does not exist.
TEST_CASE("status: a caller that waits while its entry reads the log anew is told of its job", "[emulation]")
{
    EmulationFixture fixture(125);
    fixture.emulation.submit("e-1", firstJob, job({ step(64, 8000) }));
    fixture.emulation.advanceTime(milliseconds(300));
    for (int delay = 0; delay < 600; delay += 50) {
        const std::string controller = fixture.emulation.controller();
        REQUIRE_FALSE(controller.empty());
        std::optional<entry::JobStatus> status;
        fixture.emulation.queryStatus(
            controller, firstJob, [&](entry::JobStatus answer) { status = answer; }, wait);
        fixture.emulation.advanceTime(milliseconds(delay));
        fixture.emulation.entry(controller)->control().stop([] {});
        fixture.emulation.advanceTime(milliseconds(1000));
        REQUIRE(status);
        CHECK(status->lookup == entry::JobLookup::Found);
        fixture.emulation.killEntry(controller);
        fixture.emulation.startEntry(controller);
        fixture.emulation.advanceTime(milliseconds(4000));
    }
}

// A store that does not answer must not keep a caller waiting: the entry tells what it knows.
TEST_CASE("status: a caller is answered about a known job while the store does not respond", "[emulation]")
{
    EmulationFixture fixture(126);
    startLongRunningJob(fixture);
    fixture.emulation.platform().faults().isStoreDown = true;
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        const auto answer = ask(fixture, name, firstJob, wait + milliseconds(500));
        REQUIRE(answer);
        CHECK(answer->status.lookup == entry::JobLookup::Found);
        CHECK(answer->status.state == jobs::JobState::Running);
    }
}

// An entry on a slow link may read the log seconds behind its end. Callers got no answer until it had read everything.
TEST_CASE("status: an entry that is behind the log answers all the same", "[emulation]")
{
    EmulationFixture fixture(127);
    startLongRunningJob(fixture);
    const std::string behind = fixture.emulation.controller() == "e-3" ? "e-2" : "e-3";
    fixture.emulation.platform().faults().linkBytesPerSecond[behind] = 1000;
    for (jobs::JobId id = firstJob + 1; id < firstJob + 100; ++id)
        fixture.emulation.submit("e-1", id, job({ step(1, 500) }));
    fixture.emulation.advanceTime(milliseconds(500));
    const auto known = ask(fixture, behind, firstJob, milliseconds(1100));
    REQUIRE(known);
    CHECK(known->status.lookup == entry::JobLookup::Found);
    CHECK(known->status.state == jobs::JobState::Running);
    const auto unread = ask(fixture, behind, firstJob + 99, milliseconds(1100));
    REQUIRE(unread);
    CHECK(unread->status.lookup == entry::JobLookup::Unavailable);
}
