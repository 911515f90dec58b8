#include "fleetlog/fleetlog.h"
#include "fleetlog/snapshotwriter.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"

#include <catch2/catch.hpp>
#include <map>

using namespace turmericsill;
using namespace turmericsill::fleetlog;
using namespace std::chrono_literals;
using foundation::Errc;
using foundation::failure;
using foundation::milliseconds;

namespace {

/// In-memory log that responds after 1 ms and can simulate faults.
class FakeLog : public platform::ILogClient {
public:
    enum class Fault { None, Unavailable, ResponseLost };

    FakeLog(foundation::TimerQueue& queue, const foundation::mocks::ManualClock& manualClock)
        : timers(queue)
        , clock(manualClock)
    {
    }

    void append(
        const std::string& stream, std::vector<std::string> payloads, milliseconds, AppendCallback done) override
    {
        ++appendCalls;
        if (fault == Fault::Unavailable)
            return respond([done] { done(failure(Errc::Unavailable, "log.append")); });
        const std::uint64_t offset = firstOffset[stream] + streams[stream].size();
        for (auto& payload : payloads)
            streams[stream].push_back(std::move(payload));
        if (fault == Fault::ResponseLost)
            return respond([done] { done(failure(Errc::Timeout, "log.append")); });
        respond([done, offset] { done(offset); });
    }

    void read(
        const std::string& stream, std::uint64_t from, std::size_t maximum, milliseconds, ReadCallback done) override
    {
        if (fault == Fault::Unavailable)
            return respond([done] { done(failure(Errc::Unavailable, "log.read")); });
        if (from < firstOffset[stream])
            return respond([done] { done(failure(Errc::RetentionPassed, "log.read")); });
        platform::LogPage page;
        page.firstOffset = from;
        page.endOffset = firstOffset[stream] + streams[stream].size();
        for (std::uint64_t offset = from; offset < page.endOffset && page.payloads.size() < maximum; ++offset)
            page.payloads.push_back(streams[stream][offset - firstOffset[stream]]);
        respond([done, page] { done(page); });
    }

    void dropBefore(const std::string& stream, std::uint64_t before)
    {
        auto& records = streams[stream];
        records.erase(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(before - firstOffset[stream]));
        firstOffset[stream] = before;
    }

    void respond(std::function<void()> callback) { timers.schedule(clock.now() + 1ms, std::move(callback)); }

    foundation::TimerQueue& timers;
    const foundation::mocks::ManualClock& clock;
    std::map<std::string, std::vector<std::string>> streams;
    std::map<std::string, std::uint64_t> firstOffset;
    Fault fault = Fault::None;
    int appendCalls = 0;
};

struct FleetLogFixture {
    void advance(milliseconds duration)
    {
        for (milliseconds passed { 0 }; passed < duration; passed += 1ms) {
            clock.time += 1ms;
            timers.runDue(clock.now());
        }
    }

    std::unique_ptr<FleetLog> start(const std::string& entry)
    {
        auto log = std::make_unique<FleetLog>(fake, timers, clock, "s", entry, 1, 40ms);
        log->follower().onUpdate([this, raw = log.get()](const StateUpdate& update) {
            last = update;
            if (snapshots)
                snapshots->onUpdate(update, raw->follower().stateMachine());
        });
        log->follower().start();
        return log;
    }

    /// Submits a join and returns the location that receives its outcome.
    std::shared_ptr<std::optional<AppendOutcome>> join(FleetLog& log, const std::string& entry)
    {
        auto outcome = std::make_shared<std::optional<AppendOutcome>>();
        log.submit(fleetstate::EntryJoin { entry, 1, "dc", "127.0.0.1:1", "127.0.0.1:2" },
            [outcome](AppendOutcome reported, const std::string&) { *outcome = reported; });
        return outcome;
    }

    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    FakeLog fake { timers, clock };
    StateUpdate last;
    std::unique_ptr<SnapshotWriter> snapshots;
};

} // namespace

TEST_CASE("log writer: an outcome is reported after the state that contains the record was published", "[fleetlog]")
{
    FleetLogFixture fixture;
    auto log = fixture.start("a");
    fixture.advance(20ms);
    bool wasInState = false;
    log->submit(fleetstate::EntryJoin { "a", 1, "dc", "127.0.0.1:1", "127.0.0.1:2" },
        [&](AppendOutcome outcome, const std::string&) {
            CHECK(outcome == AppendOutcome::Accepted);
            wasInState = fixture.last.state->roster.count("a") == 1;
        });
    fixture.advance(100ms);
    CHECK(wasInState);
}

TEST_CASE("log writer: records submitted within one interval share one append call", "[fleetlog]")
{
    FleetLogFixture fixture;
    auto log = fixture.start("a");
    fixture.advance(100ms);
    std::vector<std::shared_ptr<std::optional<AppendOutcome>>> outcomes;
    for (int index = 0; index < 50; ++index)
        outcomes.push_back(fixture.join(*log, "e" + std::to_string(index)));
    fixture.advance(300ms);
    CHECK(fixture.fake.appendCalls <= 2);
    for (const auto& outcome : outcomes)
        CHECK(*outcome == AppendOutcome::Accepted);
}

TEST_CASE(
    "log writer: a lost append response is resolved by reading back, and the record is applied once", "[fleetlog]")
{
    FleetLogFixture fixture;
    auto log = fixture.start("a");
    fixture.advance(100ms);
    fixture.fake.fault = FakeLog::Fault::ResponseLost;
    auto outcome = fixture.join(*log, "a");
    fixture.advance(2s);
    CHECK(*outcome == AppendOutcome::Accepted);
    CHECK(fixture.last.state->rosterVersion == 1);
}

TEST_CASE("log writer: a record that cannot have been appended is reported as NotAppended", "[fleetlog]")
{
    FleetLogFixture fixture;
    auto log = fixture.start("a");
    fixture.advance(100ms);
    fixture.fake.fault = FakeLog::Fault::Unavailable;
    auto outcome = fixture.join(*log, "a");
    fixture.advance(12s);
    CHECK(*outcome == AppendOutcome::NotAppended);
    CHECK(fixture.fake.streams["s"].empty());
    CHECK_FALSE(fixture.last.logReachable);
    CHECK(fixture.fake.appendCalls < 30);
}

TEST_CASE("snapshots: an entry starts from the newest complete snapshot and the records after it", "[fleetlog]")
{
    FleetLogFixture fixture;
    auto writer = fixture.start("a");
    fixture.snapshots = std::make_unique<SnapshotWriter>(fixture.fake, "s.snapshots", "a", 10);
    fixture.advance(20ms);
    fixture.join(*writer, "a");
    fixture.advance(100ms);
    writer->submit(fleetstate::EntryAdmit { "a", 1, "a" }, [](AppendOutcome, const std::string&) {});
    for (int index = 0; index < 25; ++index) {
        fixture.join(*writer, "e" + std::to_string(index));
        fixture.advance(100ms);
    }
    REQUIRE(fixture.snapshots->writtenCount() == 2);
    const std::uint64_t digest = writer->follower().stateMachine().state()->digest();
    fixture.snapshots.reset();

    // The log drops records that the snapshot contains, and the newest records of the snapshot stream are incomplete
    // or damaged.
    fixture.fake.dropBefore("s", 20);
    fixture.fake.streams["s.snapshots"].push_back(
        R"({"id":"x","part":0,"parts":2,"next_offset":99,"checksum":1,"data":"AAAA"})");
    fixture.fake.streams["s.snapshots"].push_back("damaged");
    FleetLogFixture unusedFixture;
    auto reader = std::make_unique<FleetLog>(fixture.fake, fixture.timers, fixture.clock, "s", "b", 1, 40ms);
    std::uint64_t restoredOffset = 0;
    reader->follower().onSnapshot([&](std::uint64_t nextOffset) { restoredOffset = nextOffset; });
    reader->follower().start();
    fixture.advance(100ms);
    CHECK(restoredOffset >= 20);
    CHECK(reader->follower().stateMachine().state()->digest() == digest);
}

TEST_CASE("snapshots: a follower that fell behind the retention of the log continues from a snapshot", "[fleetlog]")
{
    FleetLogFixture fixture;
    auto log = fixture.start("a");
    fixture.advance(20ms);
    fleetstate::FleetStateMachine sourceStateMachine;
    for (std::uint64_t offset = 0; offset < 5; ++offset)
        sourceStateMachine.apply(offset,
            { "r" + std::to_string(offset), "z", {},
                fleetstate::EntryJoin { "e" + std::to_string(offset), 1, "dc", "127.0.0.1:1", "127.0.0.1:2" } });
    for (auto& part : splitSnapshot("z.5", 5, sourceStateMachine.encodeSnapshot()))
        fixture.fake.streams["s.snapshots"].push_back(part);
    fixture.fake.firstOffset["s"] = 5;
    fixture.advance(200ms);
    CHECK(log->follower().stateMachine().state()->digest() == sourceStateMachine.state()->digest());
    CHECK(fixture.last.haltReason.empty());
}

TEST_CASE("snapshots: without a snapshot, a log that has dropped its first records halts the follower with a reason",
    "[fleetlog]")
{
    FleetLogFixture fixture;
    fixture.fake.firstOffset["s"] = 5;
    auto log = fixture.start("a");
    fixture.advance(100ms);
    CHECK(fixture.last.haltReason == "the log no longer retains offset 0, and no snapshot covers it");
    CHECK_FALSE(fixture.last.caughtUp);
}

TEST_CASE("snapshots: a large snapshot is split into parts and reassembled", "[fleetlog]")
{
    std::string bytes;
    for (int index = 0; index < 300000; ++index)
        bytes += std::to_string(index);
    auto records = splitSnapshot("id", 7, bytes);
    CHECK(records.size() == 4);
    auto assembled = assembleNewest(records);
    REQUIRE(assembled);
    CHECK(assembled->nextOffset == 7);
    CHECK(assembled->bytes == bytes);
    records.erase(records.begin() + 1);
    CHECK_FALSE(assembleNewest(records));
}
