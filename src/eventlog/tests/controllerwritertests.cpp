#include "eventlog/controllerwriter.h"
#include "eventlog/tests/mocks/scriptedlog.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "jobs/recordcodec.h"
#include "telemetry/tests/mocks/nulleventsink.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace turmericsill;
using namespace turmericsill::eventlog;
using foundation::Errc;
using jobs::JobExpired;
using jobs::RunEnded;
using jobs::RunOutcome;

namespace {

constexpr int answerLimit = 1000; ///< Far more appends than any case needs.

struct WriterFixture {
    /// The cases rely on the size of checkpoints that compression would reduce to nothing.
    WriterFixture() { writer.setCompresses(false); }

    /// Writes ends of runs with a checkpoint.
    void writeEnds(std::uint32_t count, std::size_t checkpointBytes)
    {
        for (std::uint32_t index = 0; index < count; ++index)
            writer.write(RunEnded { { 1, 0, 0, index }, 1, RunOutcome::Stopped, std::string(checkpointBytes, 'c') });
    }

    /// Answers appends until the writer has nothing left to store, or has given up.
    void answerAppends()
    {
        writer.flush();
        std::size_t answered = 0;
        while (answered < log.requests.size() && answered < answerLimit) {
            answered = log.requests.size();
            log.answerLatest();
        }
    }

    /// Indexes of the tasks whose ends are stored, in their order.
    std::vector<std::uint32_t> storedEnds() const
    {
        std::vector<std::uint32_t> result;
        for (const auto& payload : log.stored) {
            const auto logged = jobs::decode(payload);
            REQUIRE(logged);
            if (const auto* batch = std::get_if<jobs::RunBatch>(&logged->record)) {
                for (const auto& run : batch->records)
                    result.push_back(std::get<RunEnded>(run).task.index);
            }
        }
        return result;
    }

    mocks::ScriptedLog log;
    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    telemetry::mocks::NullEventSink events;
    std::optional<Errc> ended;
    ControllerWriter writer { log, clock, timers, events, 5, 1,
        [this](const foundation::Error& error) { ended = static_cast<Errc>(error.code.value()); } };
};

std::vector<std::uint32_t> numbersUpTo(std::uint32_t count)
{
    std::vector<std::uint32_t> result;
    for (std::uint32_t number = 0; number < count; ++number)
        result.push_back(number);
    return result;
}

} // namespace

// All that was queued went into one append, however large. The store refused it for good, and with it all that the
// controller wrote from then on.
TEST_CASE("controller writer: what is queued is stored in appends that the log accepts, in order", "[eventlog]")
{
    WriterFixture fixture;
    fixture.writeEnds(100, 900);
    fixture.answerAppends();
    CHECK(fixture.storedEnds() == numbersUpTo(100));
    CHECK(fixture.writer.isIdle());
    for (const auto& request : fixture.log.requests) {
        std::size_t bytes = 0;
        for (const auto& payload : request.payloads) {
            CHECK(payload.size() <= fixture.log.limits.recordBytes);
            bytes += fixture.log.limits.framedSize(payload.size());
        }
        CHECK(bytes <= fixture.log.limits.appendBytes);
    }
}

TEST_CASE("controller writer: compressed records are stored in order", "[eventlog]")
{
    WriterFixture fixture;
    fixture.writer.setCompresses(true);
    fixture.writeEnds(100, 900);
    fixture.answerAppends();
    CHECK(fixture.storedEnds() == numbersUpTo(100));
    CHECK(fixture.log.requests.size() == 1);
}

// A start order is sent once its intent is in the log. With several appends for what was queued at once, the first one
// must not count for all.
TEST_CASE("controller writer: a callback waits for the append that holds the record before it", "[eventlog]")
{
    WriterFixture fixture;
    std::vector<std::size_t> storedAtCallback;
    for (std::uint32_t index = 0; index < 100; ++index) {
        fixture.writer.write(RunEnded { { 1, 0, 0, index }, 1, RunOutcome::Stopped, std::string(900, 'c') });
        fixture.writer.whenStored([&] { storedAtCallback.push_back(fixture.storedEnds().size()); });
    }
    fixture.writer.flush();
    CHECK(storedAtCallback.empty());
    fixture.answerAppends();
    REQUIRE(storedAtCallback.size() == 100);
    for (std::size_t index = 0; index < storedAtCallback.size(); ++index)
        CHECK(storedAtCallback[index] > index);
    CHECK(storedAtCallback.front() < 100);
    bool isCalled = false;
    fixture.writer.whenStored([&] { isCalled = true; });
    CHECK(isCalled);
}

// An append that the store rejects was sent again unchanged for ever.
TEST_CASE("controller writer: an append that the log rejects is divided until all of it is stored", "[eventlog]")
{
    WriterFixture fixture;
    fixture.log.acceptedBytes = 2500;
    fixture.writeEnds(60, 900);
    fixture.answerAppends();
    CHECK(fixture.storedEnds() == numbersUpTo(60));
    CHECK_FALSE(fixture.ended);
    std::uint64_t sequence = 1;
    for (const auto& request : fixture.log.requests) {
        const auto current = request.position->sequence;
        CHECK((current == sequence || current == sequence + 1)); // A rejected append uses up no number.
        sequence = current;
    }
}

TEST_CASE("controller writer: the end of a run is stored without a checkpoint that the log rejects", "[eventlog]")
{
    WriterFixture fixture;
    fixture.log.acceptedBytes = 500;
    fixture.writeEnds(3, 900);
    fixture.answerAppends();
    CHECK(fixture.storedEnds() == numbersUpTo(3));
    CHECK_FALSE(fixture.ended);
}

TEST_CASE("controller writer: a record that the log rejects in any form ends the writer", "[eventlog]")
{
    WriterFixture fixture;
    fixture.log.acceptedBytes = 1;
    bool isCalled = false;
    fixture.writer.write(JobExpired { 1 });
    fixture.writer.whenStored([&] { isCalled = true; });
    fixture.answerAppends();
    CHECK(fixture.ended == Errc::Rejected);
    CHECK_FALSE(isCalled);
    fixture.writer.write(JobExpired { 2 });
    fixture.writer.flush();
    CHECK(fixture.log.requests.size() == 1);
}

TEST_CASE(
    "controller writer: an append whose answer is lost counts once the log was read to its payloads", "[eventlog]")
{
    WriterFixture fixture;
    fixture.writeEnds(20, 900);
    bool isStored = false;
    fixture.writer.whenStored([&] { isStored = true; });
    fixture.writer.flush();
    const auto first = fixture.log.requests.front().payloads.size();
    fixture.writer.onLogRead(first - 1);
    CHECK(fixture.log.requests.size() == 1);
    fixture.writer.onLogRead(first);
    REQUIRE(fixture.log.requests.size() == 2);
    CHECK_FALSE(isStored);
    fixture.writer.onLogRead(first + fixture.log.requests.back().payloads.size());
    CHECK(isStored);
}
