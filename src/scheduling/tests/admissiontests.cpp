#include "scheduling/admission.h"
#include "scheduling/teamrates.h"
#include "scheduling/tests/teamfixtures.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <utility>

using namespace turmericsill;
using namespace turmericsill::scheduling;
using namespace std::chrono_literals;
using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

constexpr SteadyTime start { 100s };
constexpr std::int64_t core = 1000;

WaitingWork workOf(jobs::JobId id, const std::string& team, double coreSeconds, bool exceedsTeamRate = false)
{
    return { { 1, true, exceedsTeamRate, false, coreSeconds, id }, team, coreSeconds, core };
}

AdmissionRequest request(milliseconds wait, bool exceedsTeamRate, jobs::JobId id = 1)
{
    return { id, exceedsTeamRate, 3s, 1s, wait };
}

/// A pool whose jobs each take a core for a second and have 3 s to be completed. It serves them in the order of their
/// rank; the job ids of a team are spread over the range.
class PoolModel {
public:
    PoolModel(const std::map<std::string, double>& weights, std::int64_t cores)
        : configuration_(withTeams(weights))
        , cores_(cores)
    {
        rates_.setConfiguration(configuration_, start);
    }

    void submit(const std::string& team, SteadyTime now)
    {
        WaitingWork work = workOf((++lastId_ * 0x9e3779b97f4a7c15ULL) >> 16, team, 1, rates_.isExhausted(team, now));
        const bool isBeyondRate = work.rank.exceedsTeamRate;
        const auto held = static_cast<std::int64_t>(running_.size());
        const PoolSupply supply { cores_ * core, (cores_ - held) * core, arrivingCores * core };
        const milliseconds wait = estimatedWait(sums_.ahead(work, configuration_), supply);
        if (admission_.decide({ work.rank.job, isBeyondRate, 3s, 1s, wait }, now)) {
            ++(isBeyondRate ? rejectedBeyondRate : rejectedWithinRate);
            firstRejection = firstRejection.value_or(now);
            lastRejection = now;
            return;
        }
        ++accepted[team];
        if (!isBeyondRate)
            rates_.takeToken(team, now);
        sums_.add(work);
        submittedAt_[work.rank.job] = now;
        waiting_.insert({ work.rank, work });
    }

    void serve(SteadyTime now)
    {
        running_.erase(running_.begin(), running_.upper_bound(now));
        while (!waiting_.empty() && static_cast<std::int64_t>(running_.size()) < cores_) {
            const WaitingWork work = waiting_.begin()->second;
            waiting_.erase(waiting_.begin());
            running_.insert(now + 1s);
            auto& wait = work.rank.exceedsTeamRate ? longestWaitBeyondRate : longestWait;
            wait = std::max(wait, std::chrono::duration_cast<milliseconds>(now - submittedAt_[work.rank.job]));
        }
        std::vector<WaitingWork> work;
        for (const auto& [rank, item] : waiting_)
            work.push_back(item);
        sums_.assign(std::move(work), configuration_);
    }

    void addArrivedCores() { cores_ += std::exchange(arrivingCores, 0); }

    std::int64_t arrivingCores = 0;
    std::map<std::string, int> accepted; ///< Key: team.
    int rejectedBeyondRate = 0;
    int rejectedWithinRate = 0;
    std::optional<SteadyTime> firstRejection;
    SteadyTime lastRejection {};
    milliseconds longestWait { 0 }; ///< Of the jobs within their team's rate.
    milliseconds longestWaitBeyondRate { 0 };

private:
    fleet::FleetConfiguration configuration_;
    TeamRates rates_ { 20 };
    AdmissionControl admission_;
    PoolWork sums_;
    std::int64_t cores_;
    jobs::JobId lastId_ = 0;
    std::map<JobRank, WaitingWork> waiting_;
    std::multiset<SteadyTime> running_; ///< Ends of the runs.
    std::map<jobs::JobId, SteadyTime> submittedAt_;
};

/// Submits jobs at even intervals, each team at its number of jobs a second, and serves the pool every 50 ms.
void play(PoolModel& pool, SteadyTime from, milliseconds duration, const std::map<std::string, int>& jobsPerSecond)
{
    for (milliseconds passed { 0 }; passed < duration; passed += 10ms) {
        for (const auto& [team, rate] : jobsPerSecond) {
            const auto due = [rate = rate](milliseconds time) { return time.count() * rate / 1000; };
            for (auto i = due(passed); i < due(passed + 10ms); ++i)
                pool.submit(team, from + passed);
        }
        if (passed % 50ms == 0ms)
            pool.serve(from + passed);
    }
}

const std::map<std::string, double> teamWeights { { "growers", 10 }, { "millers", 5 }, { "packers", 5 } };

} // namespace

// A job must never be refused while the pool keeps up.
TEST_CASE("admission: a quiet load rejects nothing", "[scheduling]")
{
    PoolModel pool(teamWeights, 30);
    play(pool, start, 20s, { { "growers", 10 }, { "millers", 5 }, { "packers", 5 } });
    CHECK(pool.rejectedBeyondRate == 0);
    CHECK(pool.rejectedWithinRate == 0);
    CHECK(pool.accepted.at("growers") == 200);
}

// One team at eight times its rate delayed the jobs of all teams; 1,117 accepted jobs were not done in time.
TEST_CASE(
    "admission: a flood of one team is rejected once the pool is contended, and no other team's job is", "[scheduling]")
{
    PoolModel pool(teamWeights, 30);
    play(pool, start, 12s, { { "growers", 80 }, { "millers", 5 }, { "packers", 5 } });
    CHECK(pool.accepted.at("millers") == 60);
    CHECK(pool.accepted.at("packers") == 60);
    CHECK(pool.rejectedWithinRate == 0);
    CHECK(pool.rejectedBeyondRate > 400);
    REQUIRE(pool.firstRejection);
    CHECK(*pool.firstRejection >= start + 1s);
    CHECK(pool.longestWait.count() <= 2000); // A job takes 1 s and has 3 s.
    // Accepted jobs beyond the rate fill what the others leave: nearly a third of the pool.
    CHECK(pool.accepted.at("growers") >= 200);
    CHECK(pool.longestWaitBeyondRate.count() <= 10000);
    play(pool, start + 12s, 10s, { { "growers", 10 }, { "millers", 5 }, { "packers", 5 } });
    CHECK(pool.lastRejection < start + 16s);
    CHECK(pool.rejectedWithinRate == 0);
}

// Machines that are moved in serve a surge of five times the mean within seconds. Rejections in the meantime would
// refuse jobs that are done in time.
TEST_CASE("admission: a surge that arriving machines will serve rejects nothing within the rate", "[scheduling]")
{
    PoolModel pool({ { "growers", 50 }, { "millers", 25 }, { "packers", 25 } }, 30);
    pool.arrivingCores = 110;
    play(pool, start, 3500ms, { { "growers", 50 }, { "millers", 25 }, { "packers", 25 } });
    pool.addArrivedCores();
    play(pool, start + 3500ms, 8500ms, { { "growers", 50 }, { "millers", 25 }, { "packers", 25 } });
    CHECK(pool.rejectedWithinRate == 0);
    CHECK(pool.rejectedBeyondRate == 0);
}

// Without machines to come, jobs were accepted that could not earn anything any more.
TEST_CASE("admission: jobs that would be completed after three times their objective are rejected", "[scheduling]")
{
    PoolModel pool({ { "growers", 50 }, { "millers", 25 }, { "packers", 25 } }, 30);
    play(pool, start, 4s, { { "growers", 50 }, { "millers", 25 }, { "packers", 25 } });
    CHECK(pool.rejectedWithinRate == 0); // At most 280 core-seconds wait, 9.3 s of work; 9 s and a margin are allowed.
    play(pool, start + 4s, 36s, { { "growers", 50 }, { "millers", 25 }, { "packers", 25 } });
    CHECK(pool.rejectedWithinRate > 1000);
}

TEST_CASE("admission: rejections go on until the wait has fallen below the lower limit", "[scheduling]")
{
    AdmissionControl admission;
    CHECK_FALSE(admission.decide(request(1900ms, true), start));
    CHECK_FALSE(admission.isRejecting(start));
    CHECK(admission.decide(request(2100ms, true), start));
    CHECK(admission.isRejecting(start));
    CHECK(admission.decide(request(1900ms, true), start + 500ms));
    CHECK(admission.decide(request(1100ms, true), start + 1400ms));
    CHECK_FALSE(admission.decide(request(900ms, true), start + 1500ms));
    CHECK_FALSE(admission.isRejecting(start + 2400ms));
    CHECK_FALSE(admission.decide(request(1900ms, true), start + 2400ms));
}

// The rejection of one team's surplus must not lower the limit for the jobs of all teams.
TEST_CASE("admission: rejections beyond the rate do not affect jobs within it", "[scheduling]")
{
    AdmissionControl admission;
    CHECK(admission.decide(request(7s, true), start));
    CHECK_FALSE(admission.decide(request(10s, false), start));
    CHECK(admission.decide(request(11s, false), start));
    CHECK(admission.decide(request(8500ms, false), start + 500ms));
    CHECK_FALSE(admission.decide(request(7900ms, false), start + 500ms));
}

// Estimates of short jobs are off by more than the job's objective allows.
TEST_CASE("admission: a short wait rejects nothing whatever the objective", "[scheduling]")
{
    AdmissionControl admission;
    CHECK_FALSE(admission.decide({ 1, true, 100ms, 100ms, 450ms }, start));
    CHECK_FALSE(admission.decide({ 1, false, 100ms, 100ms, 1150ms }, start));
}

// Callers that were all told the same time would return together and be rejected again.
TEST_CASE("admission: the delays of rejected jobs cover the backlog and are spread", "[scheduling]")
{
    AdmissionControl admission;
    std::map<std::int64_t, int> jobsBySecond;
    for (jobs::JobId id = 1; id <= 1000; ++id) {
        const auto retryAfter = admission.decide(request(4s, true, (id * 0x9e3779b97f4a7c15ULL) >> 8), start);
        REQUIRE(retryAfter);
        CHECK(*retryAfter >= 4s);
        CHECK(*retryAfter < 6s);
        ++jobsBySecond[std::chrono::ceil<std::chrono::seconds>(*retryAfter).count()];
    }
    CHECK(jobsBySecond[5] > 300);
    CHECK(jobsBySecond[6] > 300);
    CHECK(*admission.decide(request(24h, true), start) < 33s);
}

TEST_CASE("admission: the work ahead is that of the jobs that are served before", "[scheduling]")
{
    const auto configuration = withTeams(teamWeights);
    PoolWork work;
    WaitingWork urgent = workOf(1, "millers", 7);
    urgent.rank.priority = 0;
    WaitingWork late = workOf(2, "millers", 1);
    late.rank.isLate = true;
    work.assign({ workOf(5, "growers", 100), workOf(4, "growers", 2), workOf(9, "growers", 1, true), late, urgent },
        configuration);
    work.add(workOf(6, "growers", 3));
    work.add(workOf(7, "packers", 4));

    const WorkAhead ahead = work.ahead(workOf(10, "growers", 10), configuration);
    CHECK(ahead.ofEarlierClasses == Approx(7));
    CHECK(ahead.ofClass == Approx(9));
    CHECK(ahead.ofTeam == Approx(5));
    CHECK(ahead.teamShare == Approx(10.0 / 15));
    const WorkAhead beyondRate = work.ahead(workOf(10, "growers", 10, true), configuration);
    CHECK(beyondRate.ofEarlierClasses == Approx(7 + 100 + 2 + 1 + 3 + 4));
    CHECK(beyondRate.ofClass == Approx(1));
    CHECK(ahead.readyMilliCores == 5 * core); // Of the jobs 1, 4, 6 and 7, and of the job itself.
    CHECK(ahead.teamReadyMilliCores == 3 * core);
    CHECK(beyondRate.readyMilliCores == 8 * core);
    CHECK(work.ahead(workOf(10, "packers", 0.5), configuration).teamShare == Approx(5.0 / 20));
}

// A team with little work gets its share of the pool, however much another team has waiting.
TEST_CASE("admission: a job waits no longer than for its own team's work in the team's share", "[scheduling]")
{
    const PoolSupply supply { 10 * core, 0, 0 };
    CHECK(estimatedWait({ 0, 1000, 0, 0.1, core }, supply) == 0ms);
    CHECK(estimatedWait({ 0, 1000, 5, 0.1, core }, supply) == 5s);
    CHECK(estimatedWait({ 20, 1000, 5, 0.1, core }, supply) == 7s);
    CHECK(estimatedWait({ 0, 30, 5, 0.1, core }, supply) == 3s);
}

TEST_CASE("admission: no wait is estimated for a pool with room or without any capacity", "[scheduling]")
{
    const WorkAhead ahead { 0, 1000, 1000, 1, 200 * core };
    CHECK(estimatedWait(ahead, { 10 * core, 3 * core, 0 }) == 0ms);
    CHECK(estimatedWait(ahead, { 0, 0, 0 }) == 0ms);
    CHECK(estimatedWait(ahead, { 10 * core, core, 40 * core }) == 20s);
    CHECK(estimatedWait(ahead, { 0, 0, 100 * core }) == 10s);
}

// Long jobs that were submitted together and all fit are no reason for one of them to wait.
TEST_CASE(
    "admission: no wait is estimated where what is ahead fits into the free and arriving capacity", "[scheduling]")
{
    const PoolSupply supply { 100 * core, 15 * core, 0 };
    CHECK(estimatedWait({ 0, 300, 300, 1, 15 * core }, supply) == 0ms);
    CHECK(estimatedWait({ 0, 300, 300, 1, 16 * core }, supply) == 3s);
    CHECK(estimatedWait({ 0, 300, 300, 1, 20 * core }, { 100 * core, 15 * core, 5 * core }) == 0ms);
}

// A job that its team's cap holds back waits in a pool with room as well.
TEST_CASE("admission: the work of a team takes at least as long as its cap allows", "[scheduling]")
{
    const PoolSupply supply { 100 * core, 50 * core, 0 };
    CHECK(estimatedWait({ 0, 60, 40, 1, 30 * core, 21 * core, 20 * core }, supply) == 2s);
    CHECK(estimatedWait({ 0, 60, 40, 1, 30 * core, 20 * core, 20 * core }, supply) == 0ms);
    CHECK(estimatedWait({ 0, 60, 40, 1, 30 * core, 21 * core, 0 }, supply) == 0ms);
}

// Tasks that run and are done are no work ahead.
TEST_CASE("admission: the work of a waiting job is that of its tasks that have not started", "[scheduling]")
{
    jobs::Job job;
    job.id = 7;
    job.team = "growers";
    job.exceedsTeamRate = true;
    for (const std::uint32_t count : { 10, 4 }) {
        jobs::StepSpec step;
        step.taskCount = count;
        step.resourcesPerTask = { 500, 100, 0 };
        step.estimatedDuration = 2s;
        job.spec.steps.add(step);
    }
    jobs::StepState& first = job.startOccurrence(0).steps.front();
    first.done = 3;
    first.active = 5;
    JobRank rank;
    rank.priority = 1;
    rank.isShort = true;
    rank.exceedsTeamRate = true;
    rank.remainingCoreSeconds = 11;
    rank.job = 7;
    WaitingStep waiting;
    waiting.need = { 500, 100, 0 };
    waiting.tasks = 2;
    const WaitingWork work = waitingWork(rank, { waiting }, job);
    CHECK(work.readyMilliCores == core);
    CHECK(work.coreSeconds == Approx(2 + 4));
    CHECK(work.rank.exceedsTeamRate);
    CHECK(work.team == "growers");

    fleet::Queue queue;
    queue.priority = 3;
    const WaitingWork submitted = submittedWork({ 8, "calls", "desk", 1ms, job.spec, 1, "growers", true }, queue);
    CHECK(submitted.coreSeconds == Approx(14));
    CHECK(submitted.readyMilliCores == 7 * core);
    CHECK(submitted.rank.remainingCoreSeconds == Approx(14));
    CHECK(submitted.rank.priority == 3);
    CHECK(submitted.rank.exceedsTeamRate);
}

// Machines on their way are reason to wait, and machines that their own pool needs are not.
TEST_CASE("admission: machines being moved and idle machines elsewhere count as arriving", "[scheduling]")
{
    std::map<std::string, PoolDemand> demands;
    demands["desk"].incoming = { 16 * core, 0, 0 };
    demands["yard"].unplaced = { 5 * core, 0, 0 };
    demands["mill"];
    const jobs::Resources capacity { 8 * core, 16000, 0 };
    const std::vector<MachineView> movable { { "off", "standby", capacity, true, 0, 0ms },
        { "idle", "mill", capacity, false, 0, 300ms }, { "used", "mill", capacity, false, 2, 0ms },
        { "own", "desk", capacity, false, 0, 300ms }, { "needed", "yard", capacity, false, 0, 300ms } };
    const auto arriving = arrivingMilliCores(demands, movable);
    CHECK(arriving.at("desk") == (16 + 8 + 8) * core);
    CHECK(arriving.at("mill") == (8 + 8) * core);
    CHECK(arriving.at("yard") == (8 + 8 + 8) * core);
}
