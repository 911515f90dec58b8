#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::statusOf;
using fixtures::step;

namespace {

constexpr jobs::JobId scheduledJob = 0xe100;

fleet::FleetConfiguration configurationWithAdvice()
{
    fleet::FleetConfiguration result = fixtures::configuration();
    result.queues.front().advice = fleet::AdviceSettings { milliseconds(5), milliseconds(1), milliseconds(2000) };
    return result;
}

/// Entries whose queue has advice. Until release(), no instance may run an even occurrence, so that the odd ones run
/// first.
struct OccurrenceFixture : EmulationFixture {
    explicit OccurrenceFixture(std::uint64_t seed)
        : EmulationFixture(seed, configurationWithAdvice())
    {
        emulation.platform().setAdvice([this](const std::string& stepName, const std::string&) {
            // A step is named JOB.OCCURRENCE.STEP.
            const std::size_t begin = stepName.find('.') + 1;
            const auto occurrence = std::stoul(stepName.substr(begin, stepName.find('.', begin) - begin));
            return isReleased || occurrence % 2 == 1;
        });
    }

    /// Submits a job whose first occurrence is due at once.
    void submit(std::uint32_t occurrences, milliseconds interval)
    {
        jobs::JobSpec spec = job({ step(1, 200) });
        const auto now = emulation.clock().wallNow().time_since_epoch();
        spec.schedule = { occurrences, std::chrono::duration_cast<milliseconds>(now), interval };
        emulation.submit("e-1", scheduledJob, spec);
        emulation.advanceTime(milliseconds(30));
        REQUIRE(emulation.platform().invariants().acceptedJobs().count(scheduledJob) == 1);
    }

    std::uint32_t countStarted(std::uint32_t occurrences)
    {
        std::uint32_t started = 0;
        for (std::uint32_t number = 0; number < occurrences; ++number)
            started += emulation.platform().invariants().startsOf({ scheduledJob, number, 0, 0 }) > 0;
        return started;
    }

    /// Allows all occurrences to run and checks that the job is completed.
    void releaseAndCheck(std::uint32_t occurrences)
    {
        isReleased = true;
        emulation.advanceTime(milliseconds(15000));
        CHECK(countStarted(occurrences) == occurrences);
        for (const auto& name : emulation.liveEntries())
            CHECK(statusOf(*this, name, scheduledJob).state == jobs::JobState::Completed);
        CHECK(violations().empty());
    }

    bool isReleased = false;
};

} // namespace

// Which occurrences are due was known to one controller only. The next one passed over those that had no recorded start
// and were followed by one that had.
TEST_CASE(
    "occurrences: those that have not begun are started by the next controller, whenever it takes over", "[emulation]")
{
    constexpr std::uint32_t occurrences = 3;
    for (int delay = 0; delay < 600; delay += 20) {
        OccurrenceFixture fixture(91);
        fixture.submit(occurrences, milliseconds(100));
        fixture.emulation.advanceTime(milliseconds(delay));
        const std::string controller = fixture.emulation.controller();
        fixture.emulation.killEntry(controller);
        fixture.emulation.startEntry(controller);
        fixture.emulation.advanceTime(milliseconds(4000));
        fixture.releaseAndCheck(occurrences);
    }
}

TEST_CASE("occurrences: a hundred that begin out of order survive several changes of control", "[emulation]")
{
    constexpr std::uint32_t occurrences = 100;
    OccurrenceFixture fixture(92);
    fixture.submit(occurrences, milliseconds(20));
    for (int change = 0; change < 4; ++change) {
        fixture.emulation.advanceTime(milliseconds(700));
        const std::string controller = fixture.emulation.controller();
        REQUIRE(!controller.empty());
        fixture.emulation.killEntry(controller);
        fixture.emulation.startEntry(controller);
        fixture.emulation.advanceTime(milliseconds(2500));
    }
    CHECK(fixture.countStarted(occurrences) == occurrences / 2);
    fixture.releaseAndCheck(occurrences);
}

TEST_CASE(
    "occurrences: those that have not begun survive the loss of all entries and of the log's records", "[emulation]")
{
    constexpr std::uint32_t occurrences = 3;
    OccurrenceFixture fixture(93);
    fixture.submit(occurrences, milliseconds(100));
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK(fixture.countStarted(occurrences) == 1);
    const auto written = fixture.countEvents("snapshot.written");
    for (int waited = 0; waited < 5000 && fixture.countEvents("snapshot.written") == written; ++waited)
        fixture.emulation.advanceTime(milliseconds(1));
    REQUIRE(fixture.countEvents("snapshot.written") > written);
    fixture.emulation.platform().log().dropRecords();
    fixture.killAllEntries();
    fixture.startAllEntries();
    fixture.emulation.advanceTime(milliseconds(4000));
    fixture.releaseAndCheck(occurrences);
}
