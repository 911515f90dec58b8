#include "scheduling/placementplanner.h"
#include "scheduling/teamshares.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <set>

using namespace turmericsill;
using namespace turmericsill::scheduling;
using foundation::milliseconds;

namespace {

constexpr std::int64_t machineMilliCores = 8000;
constexpr std::uint32_t randomCases = 300;

/// A pool with jobs of several teams.
struct ShareFixture {
    explicit ShareFixture(std::size_t instanceCount)
    {
        for (std::size_t i = 0; i < instanceCount; ++i) {
            auto report = std::make_unique<fleet::InstanceReport>();
            report->incarnation = { "i-" + std::to_string(i), 1 };
            report->capacity = { machineMilliCores, 16000, 4 };
            InstanceView view;
            view.report = report.get();
            view.free = report->capacity;
            index.update(view);
            reports.push_back(std::move(report));
        }
    }

    void addJob(jobs::JobId id, const std::string& team, const jobs::StepSpec& step, bool exceedsRate, bool usesTeams)
    {
        auto job = std::make_unique<jobs::Job>();
        job->id = id;
        job->team = team;
        job->exceedsTeamRate = exceedsRate;
        job->spec.steps = { step };
        job->startOccurrence(0);
        backlog.update(*job, &queue, {}, usesTeams);
        jobs[id] = std::move(job);
    }

    PoolPlan plan(TeamShares* teams)
    {
        PlanConstraints constraints;
        constraints.teams = teams;
        const PlacementPlanner planner([this](jobs::JobId id) { return jobs.at(id).get(); });
        return planner.plan(index, backlog, constraints);
    }

    fleet::Queue queue;
    std::vector<std::unique_ptr<fleet::InstanceReport>> reports;
    InstanceIndex index;
    PoolBacklog backlog;
    std::map<jobs::JobId, std::unique_ptr<jobs::Job>> jobs;
    TeamUsage usage;
};

jobs::StepSpec randomStep(std::mt19937& random)
{
    jobs::StepSpec step;
    step.taskCount = 1 + random() % 12;
    step.resourcesPerTask = { static_cast<std::int64_t>(random() % 12) * 250, 100, random() % 8 == 0 };
    step.estimatedDuration = milliseconds(1000);
    step.isGang = random() % 5 == 0;
    step.isBestEffort = random() % 8 == 0;
    step.isLongRunning = !step.isGang && random() % 8 == 0;
    return step;
}

} // namespace

// A team with running but without waiting work takes part in the division; a team without either does not.
TEST_CASE("team shares: the pool is divided among the teams with work by their weights", "[scheduling]")
{
    ShareFixture fixture(4);
    fixture.usage.setTeams({ { "a", { "a", {}, 1, {} } }, { "b", { "b", {}, 3, {} } }, { "c", { "c", {}, 4, {} } } });
    jobs::StepSpec step;
    step.taskCount = 4;
    step.resourcesPerTask = { 1000, 100, 0 };
    fixture.addJob(1, "a", step, false, true);
    fixture.addJob(2, "b", step, false, true);
    fixture.usage.addPlacements(*fixture.jobs.at(2), "desk", step, 2);
    fixture.backlog.remove(2);
    const auto shares = sharesOfPool(fixture.usage, fixture.backlog, "desk", 8000);
    CHECK(shares == std::map<std::string, double> { { "a", 2000 }, { "b", 6000 } });
    CHECK(
        sharesOfPool(fixture.usage, fixture.backlog, "shop", 8000) == std::map<std::string, double> { { "a", 8000 } });
}

// Shares must cost nothing where they do not apply: the jobs of a single team are placed as without teams.
TEST_CASE("team shares: a single team without a cap is served as if there were no teams", "[scheduling]")
{
    for (std::uint32_t seed = 0; seed < randomCases; ++seed) {
        std::mt19937 random(seed);
        ShareFixture withTeams(3);
        ShareFixture without(3);
        for (jobs::JobId id = 1; id <= 20; ++id) {
            jobs::StepSpec step = randomStep(random);
            step.isLongRunning = false;
            withTeams.addJob(id, "a", step, false, true);
            without.addJob(id, "a", step, false, false);
        }
        TeamShares teams(withTeams.usage, withTeams.backlog, "desk", withTeams.index.freeMilliCores());
        const PoolPlan one = withTeams.plan(&teams);
        const PoolPlan other = without.plan(nullptr);
        INFO("seed " << seed);
        REQUIRE(one.placements.size() == other.placements.size());
        for (std::size_t i = 0; i < one.placements.size(); ++i) {
            REQUIRE(one.placements[i].task == other.placements[i].task);
            REQUIRE(one.placements[i].incarnation == other.placements[i].incarnation);
        }
        REQUIRE(one.unplaced == other.unplaced);
    }
}

// Two passes over steps that are cut by shares and caps: a task must not start twice, a gang not in part, a cap must
// not be exceeded, and a task that fits must not be left waiting.
TEST_CASE("team shares: random backlogs start each task once, within caps, and leave no room unused", "[scheduling]")
{
    for (std::uint32_t seed = 0; seed < randomCases; ++seed) {
        std::mt19937 random(seed);
        ShareFixture fixture(1 + random() % 4);
        std::map<std::string, fleet::Team> declared;
        for (const char* name : { "a", "b", "c" })
            declared[name] = { name, {}, static_cast<double>(1 + random() % 5),
                { static_cast<std::int64_t>(random() % 3) * 4000, static_cast<std::int64_t>(random() % 3) * 500, 0 } };
        fixture.usage.setTeams(declared);
        for (jobs::JobId id = 1; id <= 30; ++id) {
            const char* const teamNames[] = { "", "a", "b", "c" };
            fixture.addJob(id, teamNames[random() % 4], randomStep(random), random() % 4 == 0, true);
        }
        const auto overdueBefore = random() % 2 ? std::optional(foundation::SteadyTime(milliseconds(1))) : std::nullopt;
        TeamShares teams(fixture.usage, fixture.backlog, "desk", fixture.index.freeMilliCores(), overdueBefore);
        const PoolPlan plan = fixture.plan(&teams);
        INFO("seed " << seed);
        std::set<jobs::TaskId> tasks;
        std::map<std::string, jobs::Resources> held;
        std::map<std::string, int> runs;
        std::map<jobs::JobId, std::uint32_t> placedOf;
        for (const auto& placement : plan.placements) {
            REQUIRE(tasks.insert(placement.task).second);
            const jobs::Job& job = *fixture.jobs.at(placement.task.job);
            held[job.team] += job.spec.steps[0].resourcesPerTask;
            ++runs[job.team];
            ++placedOf[job.id];
        }
        for (const auto& [name, team] : declared) {
            REQUIRE(fixture.usage.team(name).held == held[name]);
            REQUIRE((team.cap.milliCores == 0 || held[name].milliCores <= team.cap.milliCores || runs[name] == 1));
            REQUIRE((team.cap.memoryMb == 0 || held[name].memoryMb <= team.cap.memoryMb || runs[name] == 1));
        }
        for (const auto& [id, job] : fixture.jobs) {
            const jobs::StepSpec& step = job->spec.steps[0];
            const std::uint32_t left = step.taskCount - placedOf[id];
            if (step.isGang)
                REQUIRE((left == 0 || left == step.taskCount));
            if (left == 0 || step.isGang)
                continue;
            const bool isHeldByCap = !job->team.empty()
                && TeamUsage::tasksUnderCap(fixture.usage.team(job->team), step.resourcesPerTask, 1) == 0;
            for (const IndexedInstance* instance : fixture.index.instances())
                REQUIRE((isHeldByCap || !resourceRequest(step).fitsInto(instance->view.free)));
        }
    }
}

// Load pattern: a surge of thousands of jobs beyond what the pool serves, in each plan. A plan that looks at the tasks
// of each job in each pass takes all of the controller's processor time.
TEST_CASE("team shares: a plan of a full pool looks up few jobs of a large backlog", "[scheduling]")
{
    ShareFixture fixture(4);
    std::map<std::string, fleet::Team> declared;
    constexpr jobs::JobId jobCount = 5000;
    jobs::StepSpec step;
    step.taskCount = 4;
    step.resourcesPerTask = { 1000, 100, 0 };
    step.estimatedDuration = milliseconds(1000);
    for (jobs::JobId id = 1; id <= jobCount; ++id) {
        const std::string team = "team-" + std::to_string(id % 20);
        // Half of the teams are at their cap once they run a task.
        declared[team] = { team, {}, 1.0 + static_cast<double>(id % 5), { id % 2 == 0 ? 1000 : 0, 0, 0 } };
        fixture.addJob(id, team, step, id % 3 == 0, true);
    }
    fixture.usage.setTeams(declared);
    std::size_t lookUps = 0;
    const PlacementPlanner planner([&](jobs::JobId id) {
        ++lookUps;
        return fixture.jobs.at(id).get();
    });
    TeamShares teams(fixture.usage, fixture.backlog, "desk", fixture.index.freeMilliCores());
    PlanConstraints constraints;
    constraints.teams = &teams;
    const PoolPlan plan = planner.plan(fixture.index, fixture.backlog, constraints);
    CHECK(plan.placements.size() == 4 * 8);
    CHECK(lookUps <= plan.placements.size() + 1);
    // The demand counts once: without limit for half of the teams, and up to their cap for the others.
    const std::uint64_t uncappedTasks = jobCount / 2 * step.taskCount;
    std::uint64_t cappedPlacements = 0;
    for (const auto& placement : plan.placements)
        cappedPlacements += placement.task.job % 2 == 0;
    const std::uint64_t demanded = uncappedTasks - (plan.placements.size() - cappedPlacements) + 10 - cappedPlacements;
    CHECK(plan.unplaced.milliCores == static_cast<std::int64_t>(demanded) * 1000);
}
