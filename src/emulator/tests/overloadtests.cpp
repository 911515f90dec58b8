#include "emulator/tests/fixtures.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::statusOf;
using fixtures::step;

namespace {

/// Value of a field of the event that tells the end of a job; -1 if there is none.
std::int64_t endedField(EmulationFixture& fixture, jobs::JobId id, const std::string& field)
{
    const std::string prefix = "job.ended job=" + jobs::toText(id);
    const auto& lines = fixture.sink.lines;
    const auto line
        = std::find_if(lines.begin(), lines.end(), [&](const auto& text) { return text.rfind(prefix, 0) == 0; });
    const auto position = line == lines.end() ? std::string::npos : line->find(" " + field + "=");
    return position == std::string::npos ? -1 : std::stoll(line->substr(position + field.size() + 2));
}

} // namespace

// The time of a job that is late has to show where it waited: for room, for the log, or for the answer of an instance.
TEST_CASE("overload: the end of a job tells how long it waited for room", "[emulation]")
{
    EmulationFixture fixture(51);
    const std::string controller = fixture.emulation.controller();
    fixture.emulation.submit(controller, 0xc1, job({ step(16, 2000) }));
    fixture.emulation.advanceTime(milliseconds(100));
    fixture.emulation.submit(controller, 0xc2, job({ step(16, 2000) }));
    fixture.emulation.advanceTime(milliseconds(6000));
    REQUIRE(statusOf(fixture, controller, 0xc2).state == jobs::JobState::Completed);
    CHECK(endedField(fixture, 0xc1, "tasks") == 16);
    CHECK(endedField(fixture, 0xc1, "path_ms") == 800);
    CHECK(endedField(fixture, 0xc1, "waiting_ms") < 100);
    CHECK(endedField(fixture, 0xc2, "waiting_ms") > 200);
    CHECK(endedField(fixture, 0xc2, "waiting_ms") < endedField(fixture, 0xc2, "age_ms"));
    CHECK(fixture.violations().empty());
}

// Load pattern: a burst of more than the pool serves in time, then few jobs that are larger. Served by size alone,
// these wait for all of the burst, which is late already.
TEST_CASE("overload: a backlog of late jobs does not delay large fresh ones and is served afterwards", "[emulation]")
{
    fleet::FleetConfiguration configuration = fixtures::configuration();
    configuration.queues.front().criticalPathFactor = 1.6;
    configuration.queues.front().objectiveMargin = milliseconds(1500);
    EmulationFixture fixture(52, configuration);
    const std::string controller = fixture.emulation.controller();
    constexpr jobs::JobId firstOfBurst = 0xd00;
    constexpr jobs::JobId burstEnd = firstOfBurst + 24;
    for (jobs::JobId id = firstOfBurst; id < burstEnd; ++id)
        fixture.emulation.submit(controller, id, job({ step(8, 2000) }));
    fixture.emulation.advanceTime(milliseconds(3000));
    const auto unfinishedOfBurst = [&] {
        std::size_t unfinished = 0;
        for (jobs::JobId id = firstOfBurst; id < burstEnd; ++id)
            unfinished += statusOf(fixture, controller, id).state != jobs::JobState::Completed;
        return unfinished;
    };
    fixture.emulation.submit(controller, 0xe1, job({ step(16, 2000) }));
    // Two rounds of tasks of up to 1.7 s: those that run, and those of the fresh job.
    fixture.emulation.advanceTime(milliseconds(3600));
    CHECK(statusOf(fixture, controller, 0xe1).state == jobs::JobState::Completed);
    CHECK(unfinishedOfBurst() > 0);
    fixture.emulation.advanceTime(milliseconds(14000));
    CHECK(unfinishedOfBurst() == 0);
    CHECK(fixture.violations().empty());
}
