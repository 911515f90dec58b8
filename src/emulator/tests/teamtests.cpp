#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::step;

namespace {

constexpr std::size_t cappedTasks = 6;

fleet::FleetConfiguration teamConfiguration()
{
    fleet::FleetConfiguration result = fixtures::configuration();
    result.teams.emplace();
    (*result.teams)["capped"] = { "capped", { "key-1" }, 1, { cappedTasks * 1000, 0, 0 } };
    (*result.teams)["other"] = { "other", { "key-2" }, 1, {} };
    return result;
}

void submitAs(EmulationFixture& fixture, const std::string& team, jobs::JobId id, const jobs::JobSpec& spec)
{
    Emulation& emulation = fixture.emulation;
    emulation.platform().invariants().onSubmitted(id, spec);
    emulation.platform().invariants().onOutcomeUnknown(id);
    emulation.entry(emulation.controller())
        ->service()
        .submit(emulation.platform().configuration().queues.front(), team, id, spec,
            emulation.clock().now() + milliseconds(3000), [](entry::RequestResult) {});
}

void cancelAs(EmulationFixture& fixture, const std::string& team, jobs::JobId id)
{
    Emulation& emulation = fixture.emulation;
    emulation.platform().invariants().onCancelRequested(id);
    emulation.entry(emulation.controller())
        ->service()
        .cancel({ emulation.platform().configuration().queues.front().name, team }, id,
            emulation.clock().now() + milliseconds(3000), [](entry::RequestResult) {});
}

/// Number of tasks of the jobs from `first` to `last` that run on the instances.
std::size_t runningTasks(EmulationFixture& fixture, jobs::JobId first, jobs::JobId last)
{
    std::size_t running = 0;
    for (const auto& [name, instance] : fixture.emulation.platform().instances()) {
        for (const jobs::TaskId& task : instance->runningTasks())
            running += task.job >= first && task.job <= last;
    }
    return running;
}

} // namespace

// A controller that takes over knows the runs of its predecessor from the log only. Counted from its own orders, the
// team gets its cap once more, while the runs of cancelled jobs go on as well.
TEST_CASE("teams: a team stays within its cap across cancellations and a change of controller", "[emulation]")
{
    EmulationFixture fixture(61, teamConfiguration());
    for (jobs::JobId id = 0xa1; id <= 0xa4; ++id)
        submitAs(fixture, "capped", id, job({ step(10, 1000) }));
    submitAs(fixture, "other", 0xb1, job({ step(16, 1000) }));
    std::size_t highest = 0;
    std::size_t highestOfOther = 0;
    constexpr int steps = 700;
    for (int i = 0; i < steps; ++i) {
        fixture.emulation.advanceTime(milliseconds(20));
        highest = std::max(highest, runningTasks(fixture, 0xa1, 0xa4));
        if (i < 20)
            highestOfOther = std::max(highestOfOther, runningTasks(fixture, 0xb1, 0xb1));
        if (i == 50)
            cancelAs(fixture, "capped", 0xa1);
        if (i == 80)
            fixture.emulation.killEntry(fixture.emulation.controller());
    }
    CHECK(highest == cappedTasks);
    CHECK(highestOfOther == 16);
    const jobs::JobTable& table = fixture.emulation.entry(fixture.emulation.controller())->follower().table();
    for (jobs::JobId id = 0xa2; id <= 0xa4; ++id)
        CHECK(table.find(id)->state() == jobs::JobState::Completed);
    CHECK(fixture.countEvents("team.usage team=capped") > 0);
    CHECK(fixture.violations().empty());
}
