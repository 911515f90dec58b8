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

/// A log in memory whose answers come after a delay and can be made to fail.
class FakeLog : public platform::ILogClient {
public:
    enum class Fault { None, Refused, AnswerLost };

    FakeLog(foundation::TimerQueue& queue, const foundation::mocks::ManualClock& manualClock)
        : timers(queue)
        , clock(manualClock)
    {
    }

    void append(
        const std::string& stream, std::vector<std::string> payloads, milliseconds, AppendCallback done) override
    {
        ++appendCalls;
        if (fault == Fault::Refused)
            return later([done] { done(failure(Errc::Unavailable, "log.append")); });
        const std::uint64_t offset = first[stream] + streams[stream].size();
        for (auto& payload : payloads)
            streams[stream].push_back(std::move(payload));
        if (fault == Fault::AnswerLost)
            return later([done] { done(failure(Errc::Timeout, "log.append")); });
        later([done, offset] { done(offset); });
    }

    void read(
        const std::string& stream, std::uint64_t from, std::size_t maximum, milliseconds, ReadCallback done) override
    {
        if (fault == Fault::Refused)
            return later([done] { done(failure(Errc::Unavailable, "log.read")); });
        if (from < first[stream])
            return later([done] { done(failure(Errc::RetentionPassed, "log.read")); });
        platform::LogPage page;
        page.from = from;
        page.tail = first[stream] + streams[stream].size();
        for (std::uint64_t offset = from; offset < page.tail && page.payloads.size() < maximum; ++offset)
            page.payloads.push_back(streams[stream][offset - first[stream]]);
        later([done, page] { done(page); });
    }

    void drop(const std::string& stream, std::uint64_t before)
    {
        auto& records = streams[stream];
        records.erase(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(before - first[stream]));
        first[stream] = before;
    }

    void later(std::function<void()> callback) { timers.schedule(clock.now() + 1ms, std::move(callback)); }

    foundation::TimerQueue& timers;
    const foundation::mocks::ManualClock& clock;
    std::map<std::string, std::vector<std::string>> streams;
    std::map<std::string, std::uint64_t> first;
    Fault fault = Fault::None;
    int appendCalls = 0;
};

struct Bench {
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
                snapshots->onUpdate(update, raw->follower().fold());
        });
        log->follower().start();
        return log;
    }

    /// Submits a join and returns the cell that its outcome will be put into.
    std::shared_ptr<std::optional<AppendOutcome>> join(FleetLog& log, const std::string& entry)
    {
        auto outcome = std::make_shared<std::optional<AppendOutcome>>();
        log.submit(fleetstate::EntryJoin { entry, 1, "dc", "127.0.0.1:1", "127.0.0.1:2" },
            [outcome](AppendOutcome told, const std::string&) { *outcome = told; });
        return outcome;
    }

    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    FakeLog fake { timers, clock };
    StateUpdate last;
    std::unique_ptr<SnapshotWriter> snapshots;
};

} // namespace

TEST_CASE("log writer: a record is told of once it was read back, after the state that contains it", "[fleetlog]")
{
    Bench bench;
    auto log = bench.start("a");
    bench.advance(20ms);
    bool stateHadIt = false;
    log->submit(fleetstate::EntryJoin { "a", 1, "dc", "127.0.0.1:1", "127.0.0.1:2" },
        [&](AppendOutcome outcome, const std::string&) {
            CHECK(outcome == AppendOutcome::Accepted);
            stateHadIt = bench.last.state->roster.count("a") == 1;
        });
    bench.advance(100ms);
    CHECK(stateHadIt);
}

TEST_CASE("log writer: records of one interval share one append", "[fleetlog]")
{
    Bench bench;
    auto log = bench.start("a");
    bench.advance(100ms);
    std::vector<std::shared_ptr<std::optional<AppendOutcome>>> outcomes;
    for (int index = 0; index < 50; ++index)
        outcomes.push_back(bench.join(*log, "e" + std::to_string(index)));
    bench.advance(300ms);
    CHECK(bench.fake.appendCalls <= 2);
    for (const auto& outcome : outcomes)
        CHECK(*outcome == AppendOutcome::Accepted);
}

TEST_CASE("log writer: a lost answer is resolved by reading back, and the record is folded once", "[fleetlog]")
{
    Bench bench;
    auto log = bench.start("a");
    bench.advance(100ms);
    bench.fake.fault = FakeLog::Fault::AnswerLost;
    auto outcome = bench.join(*log, "a");
    bench.advance(2s);
    CHECK(*outcome == AppendOutcome::Accepted);
    CHECK(bench.last.state->rosterVersion == 1);
}

TEST_CASE("log writer: what surely was not appended is told apart from what may have been", "[fleetlog]")
{
    Bench bench;
    auto log = bench.start("a");
    bench.advance(100ms);
    bench.fake.fault = FakeLog::Fault::Refused;
    auto outcome = bench.join(*log, "a");
    bench.advance(12s);
    CHECK(*outcome == AppendOutcome::NotAppended);
    CHECK(bench.fake.streams["s"].empty());
    CHECK_FALSE(bench.last.logReachable);
    CHECK(bench.fake.appendCalls < 30);
}

TEST_CASE("snapshots: an entry starts from the newest whole one and the tail", "[fleetlog]")
{
    Bench bench;
    auto writer = bench.start("a");
    bench.snapshots = std::make_unique<SnapshotWriter>(bench.fake, "s.snapshots", "a", 10);
    bench.advance(20ms);
    bench.join(*writer, "a");
    bench.advance(100ms);
    writer->submit(fleetstate::EntryAdmit { "a", 1, "a" }, [](AppendOutcome, const std::string&) {});
    for (int index = 0; index < 25; ++index) {
        bench.join(*writer, "e" + std::to_string(index));
        bench.advance(100ms);
    }
    REQUIRE(bench.snapshots->written() == 2);
    const std::uint64_t digest = writer->follower().fold().state()->digest();
    bench.snapshots.reset();

    // Its records before the snapshot are gone, and a later snapshot is damaged.
    bench.fake.drop("s", 20);
    bench.fake.streams["s.snapshots"].push_back(
        R"({"id":"x","part":0,"parts":2,"next_offset":99,"checksum":1,"data":"AAAA"})");
    bench.fake.streams["s.snapshots"].push_back("damaged");
    Bench other;
    auto reader = std::make_unique<FleetLog>(bench.fake, bench.timers, bench.clock, "s", "b", 1, 40ms);
    std::uint64_t startedAt = 0;
    reader->follower().onSnapshot([&](std::uint64_t nextOffset) { startedAt = nextOffset; });
    reader->follower().start();
    bench.advance(100ms);
    CHECK(startedAt >= 20);
    CHECK(reader->follower().fold().state()->digest() == digest);
}

TEST_CASE("snapshots: a follower that fell behind what the log keeps goes on from a snapshot", "[fleetlog]")
{
    Bench bench;
    auto log = bench.start("a");
    bench.advance(20ms);
    fleetstate::Fold ahead;
    for (std::uint64_t offset = 0; offset < 5; ++offset)
        ahead.apply(offset,
            { "r" + std::to_string(offset), "z", {},
                fleetstate::EntryJoin { "e" + std::to_string(offset), 1, "dc", "127.0.0.1:1", "127.0.0.1:2" } });
    for (auto& part : splitSnapshot("z.5", 5, ahead.encodeSnapshot()))
        bench.fake.streams["s.snapshots"].push_back(part);
    bench.fake.first["s"] = 5;
    bench.advance(200ms);
    CHECK(log->follower().fold().state()->digest() == ahead.state()->digest());
    CHECK(bench.last.haltReason.empty());
}

TEST_CASE(
    "snapshots: without one, a log that has dropped its first records stops the start with its reason", "[fleetlog]")
{
    Bench bench;
    bench.fake.first["s"] = 5;
    auto log = bench.start("a");
    bench.advance(100ms);
    CHECK(bench.last.haltReason == "the log no longer keeps offset 0, and no snapshot contains it");
    CHECK_FALSE(bench.last.caughtUp);
}

TEST_CASE("snapshots: a large one is cut into parts and put together again", "[fleetlog]")
{
    std::string bytes;
    for (int index = 0; index < 300000; ++index)
        bytes += std::to_string(index);
    auto records = splitSnapshot("id", 7, bytes);
    CHECK(records.size() == 4);
    auto whole = assembleNewest(records);
    REQUIRE(whole);
    CHECK(whole->nextOffset == 7);
    CHECK(whole->bytes == bytes);
    records.erase(records.begin() + 1);
    CHECK_FALSE(assembleNewest(records));
}
