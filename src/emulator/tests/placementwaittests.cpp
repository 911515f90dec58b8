#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::statusOf;
using fixtures::step;

namespace {

constexpr std::int64_t jobCount = 120;

fleet::FleetConfiguration generousConfiguration()
{
    fleet::FleetConfiguration result = fixtures::configuration();
    result.queues.front().criticalPathFactor = 10;
    return result;
}

control::ControlSettings settingsWith(double remoteSlowdown)
{
    control::ControlSettings result = EmulationFixture::settings();
    result.remoteSlowdown = remoteSlowdown;
    return result;
}

/// Four instances on the rack of the data of all jobs, and four idle ones on another.
struct RackedEmulation : EmulationFixture {
    RackedEmulation(std::uint64_t seed, double remoteSlowdown)
        : EmulationFixture(seed, generousConfiguration(), settingsWith(remoteSlowdown))
    {
        for (const char* name : { "j-1", "j-2", "j-3", "j-4" })
            emulation.platform().startInstance(
                name, { "desk", { 8000, 16000, 0 }, { "a", "r2" }, {} }, milliseconds(0));
        emulation.advanceTime(milliseconds(1000));
    }

    /// Submits jobs for the rack, one every 15 ms: more than its 32 cores serve.
    void submitJobs(jobs::JobId first)
    {
        for (std::int64_t number = 0; number < jobCount; ++number) {
            jobs::StepSpec local = step(1, 1000);
            local.dataRack = "r1";
            const auto entries = emulation.liveEntries();
            emulation.submit(entries.front(), first + static_cast<jobs::JobId>(number), job({ local }));
            emulation.advanceTime(milliseconds(15));
        }
    }

    void checkCompleted(jobs::JobId first)
    {
        for (std::int64_t number = 0; number < jobCount; ++number) {
            const jobs::JobId id = first + static_cast<jobs::JobId>(number);
            CHECK(statusOf(*this, emulation.liveEntries().front(), id).state == jobs::JobState::Completed);
        }
        CHECK(violations().empty());
    }

    std::size_t countWaits(const std::string& outcome) const
    {
        return static_cast<std::size_t>(std::count_if(sink.lines.begin(), sink.lines.end(), [&](const auto& line) {
            return line.compare(0, 16, "placement.waited") == 0 && line.find("outcome=" + outcome) != std::string::npos;
        }));
    }
};

} // namespace

// The runs take from a quarter of their estimate to twice as long.
TEST_CASE("placement wait: jobs for a busy rack wait for it with rough estimates and are all done", "[emulation]")
{
    RackedEmulation fixture(60, 3);
    fixture.submitJobs(0x3000);
    fixture.emulation.advanceTime(milliseconds(6000));
    fixture.checkCompleted(0x3000);
    CHECK(fixture.countWaits("local") > 0);
    CHECK(fixture.countEvents("placement.waited") == fixture.countWaits("local") + fixture.countWaits("remote"));
}

// A wait is known to its controller only.
TEST_CASE("placement wait: jobs that wait when their controller ends start under the next one", "[emulation]")
{
    RackedEmulation fixture(61, 3);
    fixture.submitJobs(0x3100);
    fixture.emulation.killEntry(fixture.emulation.controller());
    fixture.emulation.advanceTime(milliseconds(15000));
    fixture.checkCompleted(0x3100);
}

TEST_CASE("placement wait: nothing waits for its rack without remote slowdown", "[emulation]")
{
    RackedEmulation fixture(60, 1);
    fixture.submitJobs(0x3200);
    fixture.emulation.advanceTime(milliseconds(6000));
    fixture.checkCompleted(0x3200);
    CHECK(fixture.countEvents("placement.waited") == 0);
}
