#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::step;

namespace {

constexpr int instanceCount = 1100;
constexpr jobs::JobId firstJob = 0x9000;
constexpr jobs::JobId jobCount = 400;
constexpr std::uint32_t tasksPerJob = 25;

std::size_t unfinishedJobs(EmulationFixture& fixture)
{
    std::size_t unfinished = 0;
    for (jobs::JobId id = firstJob; id < firstJob + jobCount; ++id) {
        fixture.emulation.queryStatus(fixture.emulation.controller(), id,
            [&](entry::JobStatus status) { unfinished += status.state != jobs::JobState::Completed; });
    }
    return unfinished;
}

} // namespace

// Load pattern: a surge of more than twice what the pool runs at a time. A controller whose work follows the number of
// instances and waiting tasks falls behind at this size and does not recover after the surge.
TEST_CASE("scale: a surge of 10,000 tasks on 1,100 instances is served as fast as the instances allow", "[emulation]")
{
    EmulationFixture fixture(41);
    for (int i = 0; i < instanceCount; ++i)
        fixture.emulation.platform().startInstance("w-" + std::to_string(10000 + i), "desk", { 8000, 16000, 0 });
    fixture.emulation.advanceTime(milliseconds(1500));
    for (jobs::JobId id = firstJob; id < firstJob + jobCount; ++id)
        fixture.emulation.submit(fixture.emulation.controller(), id, job({ step(tasksPerJob, 2000) }));
    // Four tasks fit on an instance, and a task takes 0.2 to 1.7 s: three rounds in the worst case.
    fixture.emulation.advanceTime(milliseconds(3 * 1700 + 900));
    CHECK(unfinishedJobs(fixture) == 0);
    CHECK(fixture.violations().empty());
}
