#include "scheduling/teamusage.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::scheduling;

namespace {

void fillJob(jobs::Job& job, jobs::JobId id, const std::string& team, std::uint32_t active, std::uint32_t tasks)
{
    job.id = id;
    job.team = team;
    jobs::StepSpec step;
    step.taskCount = tasks;
    step.resourcesPerTask = { 1000, 200, 1 };
    job.spec.steps = { step };
    job.startOccurrence(0);
    job.occurrences.at(0).steps[0].active = active;
    job.activeRuns = active;
}

} // namespace

// A job changes several times between plans. Usage that is added for each change grows without limit.
TEST_CASE("team usage: repeated updates of a job replace each other", "[scheduling]")
{
    TeamUsage usage;
    jobs::Job job;
    fillJob(job, 1, "a", 3, 4);
    CHECK_FALSE(usage.update(job, "desk"));
    CHECK_FALSE(usage.update(job, "desk"));
    CHECK(usage.team("a").held == jobs::Resources { 3000, 600, 3 });
    CHECK(usage.reservedMilliCores("desk") == 3000);
    usage.addPlacements(job, "desk", job.spec.steps[0], 1);
    CHECK(usage.team("a").held.milliCores == 4000);
    CHECK(usage.team("a").runs == 4);
    // The placement was not recorded.
    CHECK(usage.update(job, "desk"));
    CHECK(usage.team("a").held.milliCores == 3000);
    CHECK(usage.update(job, "shop") == false);
    CHECK(usage.reservedMilliCores("desk") == 0);
    CHECK(usage.reservedMilliCores("shop") == 3000);
    CHECK(usage.remove(1));
    CHECK_FALSE(usage.remove(1));
    CHECK(usage.team("a").held == jobs::Resources {});
    CHECK(usage.team("a").runs == 0);
}

// The runs of a job whose first placements are in the plan in progress are not in the table yet.
TEST_CASE("team usage: placements of a job without earlier runs count until its next update", "[scheduling]")
{
    TeamUsage usage;
    jobs::Job job;
    fillJob(job, 1, "a", 0, 4);
    usage.addPlacements(job, "desk", job.spec.steps[0], 2);
    usage.addPlacements(job, "desk", job.spec.steps[0], 1);
    CHECK(usage.team("a").runs == 3);
    CHECK(usage.update(job, "desk"));
    CHECK(usage.team("a").runs == 0);
    CHECK(usage.reservedMilliCores("desk") == 0);
}

// A cap of 0 limits nothing; taken as a limit, it stops every team whose cap leaves a resource out.
TEST_CASE("team usage: the tightest resource limits the tasks and a cap of 0 limits none", "[scheduling]")
{
    TeamUsage::Team team;
    CHECK(TeamUsage::tasksUnderCap(team, { 1000, 100, 1 }, 50) == 50);
    team.cap = { 10000, 0, 3 };
    CHECK(TeamUsage::tasksUnderCap(team, { 1000, 100000, 0 }, 50) == 10);
    CHECK(TeamUsage::tasksUnderCap(team, { 1000, 100, 1 }, 50) == 3);
    team.held = { 9500, 0, 0 };
    team.runs = 9;
    CHECK(TeamUsage::tasksUnderCap(team, { 1000, 100, 0 }, 50) == 0);
    CHECK(TeamUsage::tasksUnderCap(team, { 500, 100, 0 }, 50) == 1);
    CHECK(TeamUsage::tasksUnderCap(team, { 0, 100, 0 }, 50) == 50);
    // Above a lowered cap.
    team.held.milliCores = 20000;
    CHECK(TeamUsage::tasksUnderCap(team, { 500, 100, 0 }, 50) == 0);
}

// Gangs and tasks that exceed the cap alone: one task may start, never two, and only beside no other run.
TEST_CASE("team usage: one task that exceeds the cap fits beside no other run", "[scheduling]")
{
    TeamUsage::Team team;
    team.cap = { 1000, 0, 0 };
    CHECK(TeamUsage::tasksUnderCap(team, { 3000, 0, 0 }, 5) == 1);
    CHECK(TeamUsage::tasksUnderCap(team, { 3000, 0, 0 }, 0) == 0);
    team.runs = 1;
    CHECK(TeamUsage::tasksUnderCap(team, { 3000, 0, 0 }, 5) == 0);
}

// A team that was removed from the configuration has jobs that run on; its former cap must not hold them back.
TEST_CASE("team usage: a team that is removed from the configuration keeps its usage and loses its cap", "[scheduling]")
{
    TeamUsage usage;
    usage.setTeams({ { "a", { "a", {}, 5, { 2000, 0, 0 } } }, { "b", { "b", {}, 5, {} } } });
    jobs::Job job;
    fillJob(job, 1, "a", 2, 4);
    usage.update(job, "desk");
    usage.setTeams({});
    CHECK(usage.team("a").held.milliCores == 2000);
    CHECK(usage.team("a").cap == jobs::Resources {});
    CHECK(usage.team("a").weight == TeamUsage::unknownTeamWeight);
    CHECK(usage.teams().count("b") == 0);
}

// Machines must not be moved for work that the cap does not let start.
TEST_CASE("team usage: demand is limited to what the cap leaves", "[scheduling]")
{
    TeamUsage::Team team;
    CHECK(TeamUsage::demandUnderCap(team, {}, { 4000, 400, 0 }) == jobs::Resources { 4000, 400, 0 });
    team.cap = { 5000, 0, 0 };
    team.held = { 2000, 200, 0 };
    CHECK(TeamUsage::demandUnderCap(team, {}, { 6000, 600, 0 }) == jobs::Resources { 3000, 300, 0 });
    CHECK(TeamUsage::demandUnderCap(team, { 3000, 300, 0 }, { 6000, 600, 0 }) == jobs::Resources {});
}
