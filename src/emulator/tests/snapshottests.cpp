#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::longRunningStep;
using fixtures::statusOf;
using fixtures::step;

namespace {

constexpr jobs::JobId firstJob = 0xa100;
constexpr milliseconds submissionInterval { 10 };

/// Snapshots come by the size of the log alone.
control::ControlSettings growthSettings()
{
    control::ControlSettings result;
    result.snapshotInterval = std::chrono::minutes(10);
    result.snapshotGrowth = 8 << 10;
    return result;
}

/// Submits short jobs for a time, so that the controller always has records that are not in the log yet.
struct LoadFixture : EmulationFixture {
    explicit LoadFixture(std::uint64_t seed)
        : EmulationFixture(seed, fixtures::configuration(), growthSettings())
    {
        emulation.platform().faults().appendDuration = milliseconds(30);
    }

    void load(milliseconds duration)
    {
        for (milliseconds elapsed { 0 }; elapsed < duration; elapsed += submissionInterval) {
            if (const auto entries = emulation.liveEntries(); !entries.empty())
                emulation.submit(entries.front(), nextJob++, job({ step(2, 100), step(1, 100, { 0 }) }));
            emulation.advanceTime(submissionInterval);
        }
    }

    jobs::JobId nextJob = firstJob;
};

/// Submits a long-running job and ends the first entry, so that the second one controls.
void passControlToSecondEntry(EmulationFixture& fixture)
{
    fixture.emulation.submit("e-2", firstJob, job({ longRunningStep(4, 500) }));
    fixture.emulation.advanceTime(milliseconds(3000));
    REQUIRE(fixture.emulation.controller() == "e-1");
    fixture.emulation.killEntry("e-1");
    fixture.emulation.advanceTime(milliseconds(4000));
    REQUIRE(fixture.emulation.controller() == "e-2");
}

} // namespace

// All entries lose power after a surge. What they read before one of them may control was as long as the day: a
// controller with records that are not in the log wrote no snapshot.
TEST_CASE("snapshots: a controller under load writes them as the log grows", "[emulation]")
{
    LoadFixture fixture(131);
    fixture.load(milliseconds(6000));
    CHECK(fixture.countEvents("snapshot.written") >= 2);
    CHECK(fixture.violations().empty());
}

// A snapshot under load is collected in steps, while jobs go on. What an entry builds from it and from the log must be
// what the log says, at whichever moment all entries are lost.
TEST_CASE("snapshots: jobs are finished once when all entries are lost while one is written", "[emulation]")
{
    for (int delay = 0; delay < 400; delay += 23) {
        LoadFixture fixture(132);
        fixture.load(milliseconds(1500 + delay));
        fixture.killAllEntries();
        fixture.startAllEntries();
        fixture.load(milliseconds(500));
        fixture.emulation.advanceTime(milliseconds(20000));
        std::size_t unfinished = 0;
        for (const auto id : fixture.emulation.platform().invariants().acceptedJobs())
            unfinished += statusOf(fixture, "e-2", id).state != jobs::JobState::Completed;
        CHECK(unfinished == 0);
        CHECK(fixture.violations().empty());
    }
}

// A final job stands in the snapshot without its steps. The log may still hold its records, or those of its
// cancellation.
TEST_CASE("snapshots: final jobs are reported after all entries have started again", "[emulation]")
{
    LoadFixture fixture(133);
    auto lasting = longRunningStep(2, 100);
    fixture.emulation.submit("e-1", 0xb1, job({ lasting }));
    fixture.emulation.submit("e-1", 0xb2, job({ step(2, 100) }));
    auto scheduled = job({ step(1, 100) });
    scheduled.schedule
        = { 2, std::chrono::duration_cast<milliseconds>(fixture.emulation.clock().wallNow().time_since_epoch()),
              milliseconds(500) };
    fixture.emulation.submit("e-1", 0xb3, scheduled);
    fixture.load(milliseconds(1000));
    fixture.emulation.cancel("e-2", 0xb1);
    fixture.load(milliseconds(4000));
    const auto written = fixture.countEvents("snapshot.written");
    for (int round = 0; round < 20 && fixture.countEvents("snapshot.written") == written; ++round)
        fixture.load(milliseconds(500));
    REQUIRE(fixture.countEvents("snapshot.written") > written);
    fixture.killAllEntries();
    fixture.startAllEntries();
    fixture.emulation.advanceTime(milliseconds(6000));
    for (const auto& name : fixture.emulation.liveEntries()) {
        CHECK(statusOf(fixture, name, 0xb1).state == jobs::JobState::Cancelled);
        CHECK(statusOf(fixture, name, 0xb2).state == jobs::JobState::Completed);
        CHECK(statusOf(fixture, name, 0xb3).state == jobs::JobState::Completed);
    }
    CHECK(fixture.violations().empty());
}

// Final jobs are kept for minutes. Written with each snapshot, they would make it larger than what has changed.
TEST_CASE("snapshots: a final job is written once and removed when it expires", "[emulation]")
{
    control::ControlSettings settings = EmulationFixture::settings();
    settings.statusRetention = milliseconds(12000);
    EmulationFixture fixture(134, fixtures::configuration(), settings);
    const auto& log = fixture.emulation.platform().log();
    constexpr std::size_t jobs = 20;
    for (jobs::JobId id = firstJob; id < firstJob + jobs; ++id)
        fixture.emulation.submit("e-1", id, job({ step(1, 100) }));
    fixture.emulation.advanceTime(milliseconds(5500));
    CHECK(log.load().size() == jobs + 1);
    const auto saved = log.savedEntries();
    const auto written = fixture.countEvents("snapshot.written");
    fixture.emulation.advanceTime(milliseconds(4500));
    CHECK(fixture.countEvents("snapshot.written") >= written + 2);
    CHECK(log.savedEntries() - saved == fixture.countEvents("snapshot.written") - written); // Headers.
    fixture.emulation.advanceTime(milliseconds(10000));
    CHECK(log.load().size() == 1);
}

// Each controller waited for the interval before its first snapshot. When none lasts that long, the log outlives its
// retention without one, and no entry can build the table any more.
TEST_CASE("snapshots: controllers that each last for less than the interval write them", "[emulation]")
{
    control::ControlSettings settings = EmulationFixture::settings();
    settings.snapshotInterval = milliseconds(4000);
    EmulationFixture fixture(135, fixtures::configuration(), settings);
    for (int reign = 0; reign < 3; ++reign) {
        fixture.emulation.advanceTime(milliseconds(2500));
        const auto written = fixture.countEvents("snapshot.written");
        const std::string controller = fixture.emulation.controller();
        REQUIRE(!controller.empty());
        fixture.emulation.killEntry(controller);
        fixture.emulation.advanceTime(milliseconds(1000));
        fixture.emulation.startEntry(controller);
        fixture.emulation.advanceTime(milliseconds(2500));
        CHECK(fixture.countEvents("snapshot.written") > written);
    }
    CHECK(fixture.violations().empty());
}
// An entry whose snapshot is older than the log cannot claim control. As the candidate it kept the entries that hold
// the whole state from claiming it.
TEST_CASE("snapshots: an entry that cannot build the table leaves control to the others", "[emulation]")
{
    control::ControlSettings settings = EmulationFixture::settings();
    settings.snapshotInterval = std::chrono::minutes(10);
    EmulationFixture fixture(136, fixtures::configuration(), settings);
    auto& platform = fixture.emulation.platform();
    passControlToSecondEntry(fixture);
    fixture.emulation.submit("e-3", firstJob + 1, job({ longRunningStep(4, 500) }));
    fixture.emulation.advanceTime(milliseconds(1000));
    platform.log().dropRecords();
    fixture.emulation.startEntry("e-1");
    fixture.emulation.advanceTime(milliseconds(2000));
    fixture.emulation.killEntry("e-2");
    fixture.emulation.advanceTime(milliseconds(8000));
    CHECK(!fixture.emulation.controller().empty());
    fixture.emulation.submit("e-3", firstJob + 2, job({ step(1, 500) }));
    fixture.emulation.advanceTime(milliseconds(4000));
    for (const char* name : { "e-1", "e-3" }) {
        CHECK(statusOf(fixture, name, firstJob + 1).state == jobs::JobState::Running);
        CHECK(statusOf(fixture, name, firstJob + 2).state == jobs::JobState::Completed);
    }
    CHECK(fixture.violations().empty());
}

// A candidate joins the group although its reads of the log fail. It must not keep the others from control either.
TEST_CASE("snapshots: a candidate that does not reach the end of the log leaves control to the others", "[emulation]")
{
    EmulationFixture fixture(137);
    auto& faults = fixture.emulation.platform().faults();
    passControlToSecondEntry(fixture);
    faults.linkBytesPerSecond["e-1"] = 1;
    fixture.emulation.startEntry("e-1");
    fixture.emulation.advanceTime(milliseconds(1000));
    fixture.emulation.killEntry("e-2");
    fixture.emulation.advanceTime(milliseconds(20000));
    CHECK(fixture.emulation.controller() == "e-3");
    faults.linkBytesPerSecond.clear();
    fixture.emulation.advanceTime(milliseconds(3000));
    for (const char* name : { "e-1", "e-3" })
        CHECK(statusOf(fixture, name, firstJob).state == jobs::JobState::Running);
}
