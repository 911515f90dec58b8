#include "control/internal/recordstore.h"
#include "control/internal/submissiongate.h"
#include "control/tests/mocks/heldlog.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "telemetry/tests/mocks/nulleventsink.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace turmericsill;
using namespace turmericsill::control;
using namespace std::chrono_literals;
using eventlog::StoreReceipt;
using foundation::milliseconds;
using foundation::Result;

namespace {

constexpr std::int64_t poolMilliCores = 4000;

/// Counts what is reported of admission.
class LoadRecorder : public telemetry::IEventSink {
public:
    void write(std::string_view event, std::initializer_list<telemetry::EventField> fields) override
    {
        if (event != "admission.load")
            return;
        ++reports;
        for (const auto& field : fields) {
            if (const auto* number = std::get_if<std::uint64_t>(&field.value))
                sums[std::string(field.name)] += *number;
        }
    }

    int reports = 0;
    std::map<std::string, std::uint64_t> sums; ///< Key: field.
};

/// A gate and a record store at a pool of four cores in full use, with a queue whose jobs have 2 s. The team "growers"
/// may submit two jobs at once and one a second.
struct GateFixture {
    explicit GateFixture(bool hasTeams = true, std::size_t memoryLimit = std::numeric_limits<std::size_t>::max())
        : jobMemoryLimit(memoryLimit)
    {
        fleet::Queue queue;
        queue.name = "calls";
        queue.pool = "desk";
        queue.criticalPathFactor = 2;
        configuration.version = 1;
        configuration.queues.push_back(queue);
        if (hasTeams) {
            configuration.teams.emplace();
            for (const char* name : { "growers", "millers" }) {
                (*configuration.teams)[name].name = name;
                (*configuration.teams)[name].weight = 1;
            }
        }
        report.incarnation = { "i1", 1 };
        report.pool = "desk";
        report.capacity = { poolMilliCores, 16000, 0 };
        scheduling::InstanceView view;
        view.report = &report;
        instances.update(view);
        follower.start();
        readLog();
    }

    /// Reads the log to its end.
    void readLog()
    {
        for (int i = 0; i < 3; ++i) {
            log.answerReads(100);
            clock.time += 30ms;
            timers.runDue(clock.now());
        }
        log.answerReads(100);
    }

    /// Passes the time in which a new controller rejects nothing.
    void passLearningTime()
    {
        clock.time += 2s;
        readLog();
    }

    jobs::JobSubmitted submission(jobs::JobId id, const std::string& team)
    {
        const auto wallTime = std::chrono::duration_cast<milliseconds>(clock.wallNow().time_since_epoch());
        jobs::JobSubmitted record { id, "calls", "desk", wallTime, {}, 1, team };
        jobs::StepSpec step;
        step.taskCount = 1;
        step.resourcesPerTask = { 1000, 100, 0 };
        step.estimatedDuration = 1s;
        record.spec.steps.add(step);
        return record;
    }

    /// Stores records; returns the receipt if the call was answered at once.
    std::optional<StoreReceipt> store(std::vector<jobs::Record> submitted, bool mayReject = true)
    {
        std::optional<StoreReceipt> receipt;
        records.storeCallerRecords(std::move(submitted), gate, mayReject, [&](const Result<StoreReceipt>& answer) {
            REQUIRE(answer);
            receipt = *answer;
        });
        return receipt;
    }

    /// Submits a job; returns whether it was rejected.
    bool isRejected(jobs::JobSubmitted record, bool mayReject = true)
    {
        const jobs::JobId id = record.job;
        store({ std::move(record) }, mayReject);
        return !follower.table().find(id);
    }

    /// Submits jobs of the growers, which with their first two use up their rate; returns the number of rejections.
    int flood(jobs::JobId firstId, int count, bool mayReject = true)
    {
        int rejected = 0;
        for (int i = 0; i < count; ++i)
            rejected += isRejected(submission(firstId + static_cast<jobs::JobId>(i), "growers"), mayReject) ? 1 : 0;
        return rejected;
    }

    std::size_t jobMemoryLimit;
    mocks::HeldLog log;
    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    telemetry::mocks::NullEventSink noEvents;
    LoadRecorder events;
    fleet::FleetConfiguration configuration;
    fleet::InstanceReport report;
    scheduling::InstanceIndex instances;
    scheduling::PoolBacklog backlog;
    eventlog::JobFollower follower { log, log, clock, timers, {} };
    eventlog::ControllerWriter writer { log, clock, timers, noEvents, 1, 1, [](const foundation::Error&) {} };
    RecordStore records { follower, writer };
    SubmissionGate gate { gateContext(), 1, jobMemoryLimit };

private:
    SubmissionGateContext gateContext()
    {
        return { follower, clock, events, [this](const std::string&) -> auto& { return instances;
    }
    , [this](const std::string&) { return &backlog; }
};
} // namespace
}
;

} // namespace

// The flag decides on the order of service by each later controller, and must be in the record.
TEST_CASE("submission gate: jobs beyond their team's rate are marked in the record", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.flood(1, 5, false);
    CHECK_FALSE(fixture.follower.table().find(2)->exceedsTeamRate);
    CHECK(fixture.follower.table().find(3)->exceedsTeamRate);
    CHECK(fixture.follower.table().find(5)->exceedsTeamRate);
    fixture.store({ fixture.submission(6, "millers"), fixture.submission(7, "") });
    CHECK_FALSE(fixture.follower.table().find(6)->exceedsTeamRate);
    CHECK_FALSE(fixture.follower.table().find(7)->exceedsTeamRate);
}

// A flag that another entry has set by itself must not be believed.
TEST_CASE("submission gate: the flag of a forwarded record is replaced", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    jobs::JobSubmitted record = fixture.submission(1, "growers");
    record.exceedsTeamRate = true;
    fixture.store({ record });
    CHECK_FALSE(fixture.follower.table().find(1)->exceedsTeamRate);
}

TEST_CASE("submission gate: only jobs beyond the rate are rejected when the pool is contended", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.passLearningTime();
    // Four jobs a second: those that must wait for over a second miss their objective of 2 s.
    const int rejected = fixture.flood(1, 20);
    CHECK(rejected > 10);
    CHECK(rejected <= 16);
    CHECK_FALSE(fixture.isRejected(fixture.submission(100, "millers")));
    CHECK_FALSE(fixture.isRejected(fixture.submission(101, "")));
}

// A pool with room, or one that is about to get it, serves the surplus of a team.
TEST_CASE("submission gate: jobs beyond the rate are accepted where there is capacity", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.passLearningTime();
    SECTION("free")
    {
        scheduling::InstanceView view;
        view.report = &fixture.report;
        view.free = { poolMilliCores / 2, 8000, 0 };
        fixture.instances.update(view);
    }
    SECTION("arriving") { fixture.gate.setArriving({ { "desk", 40000 } }); }
    CHECK(fixture.flood(1, 20) == 0);
}

// A controller that has just begun knows neither the instances nor what runs on them.
TEST_CASE("submission gate: a new controller rejects nothing for 2 s", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    CHECK(fixture.flood(1, 50) == 0);
    fixture.clock.time += 1800ms;
    CHECK(fixture.flood(101, 50) == 0);
    fixture.clock.time += 200ms;
    fixture.readLog();
    CHECK(fixture.flood(201, 50) > 0);
}

// The log may hold a job that another entry has stored and that this one has not read.
TEST_CASE("submission gate: a controller that does not read the log rejects nothing", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.passLearningTime();
    fixture.clock.time += 2s;
    CHECK(fixture.flood(1, 50) == 0);
}

// An entry of the former version would take a rejection for acceptance, and the job would be lost.
TEST_CASE("submission gate: nothing is rejected for an entry that does not understand rejections", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.passLearningTime();
    CHECK(fixture.flood(1, 50, false) == 0);
    CHECK(fixture.flood(101, 50, true) > 0);
}

TEST_CASE("submission gate: nothing is rejected or marked without teams in the configuration", "[control]")
{
    GateFixture fixture(false);
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.passLearningTime();
    CHECK(fixture.flood(1, 50) == 0);
    CHECK_FALSE(fixture.follower.table().find(50)->exceedsTeamRate);
    fixture.clock.time += 1s;
    fixture.gate.tick();
    CHECK(fixture.events.reports == 0);
}

// The caller of a stored job whose answer was lost repeats it, often when the fleet is at its busiest.
TEST_CASE("submission gate: a known job is never rejected and takes no token", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.passLearningTime();
    CHECK_FALSE(fixture.isRejected(fixture.submission(1, "growers")));
    for (int i = 0; i < 20; ++i)
        fixture.store({ fixture.submission(1, "growers"), fixture.submission(1, "growers") });
    CHECK_FALSE(fixture.isRejected(fixture.submission(2, "growers")));
    CHECK_FALSE(fixture.follower.table().find(2)->exceedsTeamRate);
    fixture.flood(10, 50);
    // Its answer waits until the record is stored, so it is not among those that are rejected at once.
    CHECK_FALSE(fixture.store({ fixture.submission(1, "growers") }));
}

TEST_CASE("submission gate: long-running and scheduled jobs and cancellations are never rejected", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.passLearningTime();
    REQUIRE(fixture.flood(1, 50) > 0);
    jobs::JobSubmitted service = fixture.submission(101, "growers");
    service.spec.steps.edit(0).isLongRunning = true;
    CHECK_FALSE(fixture.isRejected(service));
    jobs::JobSubmitted nightly = fixture.submission(102, "growers");
    nightly.spec.schedule = { 3, 60s, 60s };
    CHECK_FALSE(fixture.isRejected(nightly));
    CHECK_FALSE(fixture.store({ jobs::JobCancelled { 101 } }));
}

// The callers of the accepted jobs of a call must not be told of a rejection, nor wait for one.
TEST_CASE("submission gate: a receipt names the rejected records of a call", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.passLearningTime();
    REQUIRE(fixture.flood(1, 50) > 0);
    const auto receipt = fixture.store({ fixture.submission(100, "growers"), fixture.submission(101, "growers") });
    REQUIRE(receipt);
    REQUIRE(receipt->rejected.size() == 2);
    CHECK(receipt->rejected[0].index == 0);
    CHECK(receipt->rejected[1].index == 1);
    CHECK(receipt->rejected[0].retryAfter > 500ms);
    // A call with an accepted job is answered once this is stored.
    CHECK_FALSE(fixture.store({ fixture.submission(102, "growers"), fixture.submission(103, "millers") }));
    CHECK_FALSE(fixture.follower.table().find(102));
    CHECK(fixture.follower.table().find(103));
}

// A change of controller during a flood would otherwise permit another burst.
TEST_CASE("submission gate: the rates of a new controller follow from the jobs in the table", "[control]")
{
    GateFixture fixture;
    for (jobs::JobId id = 1; id <= 2; ++id)
        fixture.records.write(fixture.submission(id, "growers"));
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.store({ fixture.submission(3, "growers"), fixture.submission(4, "millers") });
    CHECK(fixture.follower.table().find(3)->exceedsTeamRate);
    CHECK_FALSE(fixture.follower.table().find(4)->exceedsTeamRate);
}

TEST_CASE("submission gate: the load is reported once a second", "[control]")
{
    GateFixture fixture;
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.passLearningTime();
    const int rejected = fixture.flood(1, 50);
    fixture.gate.tick();
    fixture.gate.tick();
    CHECK(fixture.events.reports == 1);
    CHECK(fixture.events.sums["rejected"] == std::uint64_t(rejected));
    CHECK(fixture.events.sums["accepted"] == std::uint64_t(50 - rejected));
    CHECK(fixture.events.sums["beyond_rate"] == 48);
}

// Every entry holds every accepted job, so jobs that were accepted without end ended one entry after the other.
TEST_CASE(
    "submission gate: jobs for which the entries have no memory are rejected, with and without teams", "[control]")
{
    const bool hasTeams = GENERATE(false, true);
    constexpr std::size_t limit = 1 << 20;
    GateFixture fixture(hasTeams, limit);
    fixture.gate.setConfiguration(fixture.configuration);
    fixture.readLog();
    const auto wideJob = [&](jobs::JobId id) {
        jobs::JobSubmitted record = fixture.submission(id, "growers");
        record.spec.steps = std::vector<jobs::StepSpec>(1000, record.spec.steps.front());
        return record;
    };
    int rejected = 0;
    for (jobs::JobId id = 1; id <= 20; ++id)
        rejected += fixture.isRejected(wideJob(id)) ? 1 : 0;
    CHECK(rejected > 0);
    CHECK(rejected < 20);
    CHECK(fixture.follower.table().memory().total() <= limit);
    const auto receipt = fixture.store({ wideJob(21) });
    REQUIRE(receipt);
    REQUIRE(receipt->rejected.size() == 1);
    CHECK(receipt->rejected.front().retryAfter > milliseconds(0));
    // An ordinary job finds room, also beside the jobs of another team, and a repeated one is not rejected.
    CHECK_FALSE(fixture.isRejected(fixture.submission(100, "millers")));
    CHECK(fixture.store({ wideJob(1) })->rejected.empty());
    // Entries of an earlier version cannot tell their callers of a rejection.
    CHECK_FALSE(fixture.isRejected(wideJob(22), false));
}
