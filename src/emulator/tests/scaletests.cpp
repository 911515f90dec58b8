#include "emulator/tests/fixtures.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

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

/// Sum of a field over all events of a name.
std::uint64_t sumOf(const EmulationFixture& fixture, const std::string& event, const std::string& field)
{
    std::uint64_t sum = 0;
    for (const auto& line : fixture.sink.lines) {
        const auto found = line.find(" " + field + "=");
        if (line.rfind(event + " ", 0) == 0 && found != std::string::npos)
            sum += std::stoull(line.substr(found + field.size() + 2));
    }
    return sum;
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

// Without the calls beside the processor time, a controller that is the limit looks like a pool that is.
TEST_CASE("scale: the load report tells the calls to instances and what the process has used", "[emulation]")
{
    EmulationFixture fixture(42);
    for (const jobs::JobId id : { firstJob, firstJob + 1 })
        fixture.emulation.submit(fixture.emulation.controller(), id, job({ step(8, 2000) }));
    fixture.emulation.advanceTime(milliseconds(500));
    fixture.emulation.cancel(fixture.emulation.controller(), firstJob + 1);
    fixture.emulation.advanceTime(milliseconds(4500));
    const auto orders = static_cast<std::uint64_t>(std::count_if(fixture.sink.lines.begin(), fixture.sink.lines.end(),
        [](const std::string& line) { return line.rfind("run.ordered ", 0) == 0; }));
    CHECK(orders >= 8);
    CHECK(sumOf(fixture, "control.load", "starts") == orders);
    CHECK(sumOf(fixture, "control.load", "placements") >= orders);
    CHECK(sumOf(fixture, "control.load", "stops") > 0);
    CHECK(sumOf(fixture, "control.load", "renewals") > 0);
    for (const auto& line : fixture.sink.lines) {
        if (line.rfind("control.load ", 0) != 0)
            continue;
        for (const char* field : { " processor_ms=", " sent_bytes=", " received_bytes=" })
            CHECK(line.find(field) != std::string::npos);
    }
}
