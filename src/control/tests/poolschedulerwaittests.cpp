#include "control/internal/poolscheduler.h"
#include "control/tests/mocks/heldlog.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>

using namespace turmericsill;
using namespace turmericsill::control;
using foundation::milliseconds;

namespace {

constexpr std::uint64_t ownEpoch = 3;
constexpr std::size_t wholeLog = 100; ///< More records than any case writes.

jobs::Resources cores(std::int64_t count) { return { count * 1000, count * 100, 0 }; }

/// Keeps the outcomes of the waits for racks.
class OutcomeSink : public telemetry::IEventSink {
public:
    void write(std::string_view event, std::initializer_list<telemetry::EventField> fields) override
    {
        CHECK(event == "placement.waited");
        for (const auto& field : fields) {
            if (field.name == "outcome")
                outcomes.push_back(std::get<std::string>(field.value));
        }
    }

    std::vector<std::string> outcomes;
};

/// A job whose rack "r1" is full for another 300 ms, and a free instance on the rack "r2".
struct SchedulerFixture {
    explicit SchedulerFixture(double remoteSlowdown)
        : scheduler(std::make_unique<PoolScheduler>(follower, clock, events, remoteSlowdown))
    {
        queue.name = "plain";
        queue.pool = "desk";
        queue.criticalPathFactor = 10;
        configuration.version = 1;
        configuration.queues.push_back(queue);
        // A new controller plans before the first job comes.
        scheduler->setConfiguration(configuration);
        addInstances(*scheduler);
        plan();
        submit();
        scheduler->updateJob(1);
    }

    void submit()
    {
        jobs::StepSpec step;
        step.taskCount = 1;
        step.resourcesPerTask = cores(1);
        step.estimatedDuration = milliseconds(1000);
        step.dataRack = "r1";
        jobs::JobSubmitted record;
        record.job = 1;
        record.queue = "plain";
        record.pool = "desk";
        record.receivedAt = std::chrono::duration_cast<milliseconds>(clock.wallNow().time_since_epoch());
        record.spec.steps = { step };
        log.add(record, ownEpoch);
        follower.readToEnd([](const foundation::Result<void>&) {});
        log.answerReads(wholeLog);
    }

    void addInstances(PoolScheduler& target)
    {
        target.updateInstance(viewOf(full, 0));
        target.updateInstance(viewOf(idle, 4));
    }

    scheduling::InstanceView viewOf(const fleet::InstanceReport& report, std::int64_t freeCores) const
    {
        scheduling::InstanceView view;
        view.report = &report;
        view.free = cores(freeCores);
        if (freeCores == 0)
            view.releases = { { clock.time + milliseconds(300), cores(1) } };
        return view;
    }

    static fleet::InstanceReport reportOf(const std::string& name, const std::string& rack)
    {
        fleet::InstanceReport report;
        report.incarnation = { name, 1 };
        report.pool = "desk";
        report.labels = { "a", rack };
        report.capacity = cores(4);
        return report;
    }

    /// Plans what is due; returns the instance of the placement, if there is one.
    std::optional<std::string> plan()
    {
        std::optional<std::string> result;
        scheduler->planChangedPools({}, [&](const std::string&, const scheduling::PoolPlan& plan) {
            ++plans;
            if (!plan.placements.empty())
                result = plan.placements.front().incarnation.instance;
        });
        return result;
    }

    std::optional<std::string> planAfter(milliseconds duration)
    {
        clock.time += duration;
        return plan();
    }

    mocks::HeldLog log;
    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    eventlog::JobFollower follower { log, log, clock, timers, {} };
    OutcomeSink events;
    fleet::Queue queue;
    fleet::FleetConfiguration configuration;
    fleet::InstanceReport full = reportOf("i-full", "r1");
    fleet::InstanceReport idle = reportOf("i-idle", "r2");
    std::unique_ptr<PoolScheduler> scheduler;
    int plans = 0;
};

} // namespace

// Nothing changes in the pool when a wait ends; without a plan of its own the task would wait on.
TEST_CASE("pool scheduler: the end of a wait for a rack makes a plan due", "[control]")
{
    SchedulerFixture fixture(3);
    CHECK_FALSE(fixture.plan());
    CHECK(fixture.scheduler->unplacedByPool().at("desk") == jobs::Resources());
    const int plans = fixture.plans;
    CHECK_FALSE(fixture.planAfter(milliseconds(650)));
    CHECK(fixture.plans == plans);
    CHECK(fixture.planAfter(milliseconds(50)) == "i-idle");
    CHECK(fixture.events.outcomes == std::vector<std::string> { "remote" });
}

TEST_CASE("pool scheduler: a slot that becomes free ends a wait for a rack", "[control]")
{
    SchedulerFixture fixture(3);
    CHECK_FALSE(fixture.plan());
    fixture.scheduler->updateInstance(fixture.viewOf(fixture.full, 1));
    CHECK(fixture.planAfter(milliseconds(310)) == "i-full");
    CHECK(fixture.events.outcomes == std::vector<std::string> { "local" });
    CHECK_FALSE(fixture.planAfter(milliseconds(5000)));
}

// Crashed, draining and cordoned instances all leave the scheduler.
TEST_CASE("pool scheduler: the removal of the rack's instances ends a wait at once", "[control]")
{
    SchedulerFixture fixture(3);
    CHECK_FALSE(fixture.plan());
    fixture.scheduler->removeInstance("i-full");
    CHECK(fixture.planAfter(milliseconds(2)) == "i-idle");
    CHECK(fixture.events.outcomes == std::vector<std::string> { "remote" });
}

// The job is 1.5 s old for the new controller, and a wait of 0.7 s would exceed the 2 s that a step may wait.
TEST_CASE("pool scheduler: a new controller counts a wait from the submission of the job", "[control]")
{
    SchedulerFixture fixture(3);
    CHECK_FALSE(fixture.plan());
    fixture.clock.time += milliseconds(1500);
    fixture.scheduler = std::make_unique<PoolScheduler>(fixture.follower, fixture.clock, fixture.events, 3);
    fixture.scheduler->setConfiguration(fixture.configuration);
    fixture.addInstances(*fixture.scheduler);
    CHECK(fixture.plan() == "i-idle");
}

TEST_CASE("pool scheduler: without remote slowdown a task starts on another rack at once", "[control]")
{
    SchedulerFixture fixture(1);
    CHECK(fixture.plan() == "i-idle");
    CHECK(fixture.events.outcomes.empty());
}
