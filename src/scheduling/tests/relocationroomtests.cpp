#include "scheduling/relocationroom.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace turmericsill;
using namespace turmericsill::scheduling;

namespace {

/// A pool of instances of eight cores, and a job of one long-running step.
struct RoomFixture {
    explicit RoomFixture(std::int64_t milliCores)
    {
        job.id = 7;
        jobs::StepSpec spec;
        spec.taskCount = 4;
        spec.resourcesPerTask = { milliCores, 100, 0 };
        spec.isLongRunning = true;
        job.spec.steps.add(spec);
        job.startOccurrence(0);
    }

    InstanceView viewOf(const std::string& name)
    {
        auto report = std::make_unique<fleet::InstanceReport>();
        report->incarnation = { name, 1 };
        report->labels = { "a", "r1" };
        report->capacity = { 8000, 16000, 0 };
        InstanceView view;
        view.report = report.get();
        view.free = report->capacity;
        reports.push_back(std::move(report));
        return view;
    }

    jobs::StepSpec& spec() { return job.spec.steps.edit(0); }
    jobs::TaskId task(std::uint32_t index) const { return { job.id, 0, 0, index }; }

    jobs::Job job;
    InstanceIndex instances;
    std::vector<std::unique_ptr<fleet::InstanceReport>> reports;
};

} // namespace

// Two tasks that were promised the same place were both stopped, and one of them had nowhere to go.
TEST_CASE("relocations: a place is promised to one task only, and is free again afterwards", "[scheduling]")
{
    RoomFixture fixture(5000);
    fixture.instances.update(fixture.viewOf("i-1"));
    {
        RelocationRoom room(fixture.instances, {}, {}, false);
        CHECK(room.reserve(fixture.job, fixture.task(0), false));
        CHECK_FALSE(room.reserve(fixture.job, fixture.task(1), false));
    }
    CHECK(fixture.instances.freeMilliCores() == 8000);
    RelocationRoom room(fixture.instances, {}, { "i-1" }, false);
    CHECK_FALSE(room.reserve(fixture.job, fixture.task(0), false));
}

// A task was stopped for room on an instance that it could not start on.
TEST_CASE("relocations: a place must meet the restrictions that hold when the task starts", "[scheduling]")
{
    RoomFixture fixture(1000);
    InstanceView view = fixture.viewOf("i-1");
    bool isTicketRequired = false;
    SECTION("label") { fixture.spec().requiredLabel = "b"; }
    SECTION("tasks for each instance")
    {
        fixture.spec().maximumPerInstance = 1;
        view.tasksByStep[stepOf(fixture.task(3))] = 1;
    }
    SECTION("probation")
    {
        view.isOnProbation = true;
        view.tasksByStep[stepOf(fixture.task(3))] = 1;
    }
    SECTION("observation of a task that may crash its instance") { view.isObserved = true; }
    SECTION("ticket") { isTicketRequired = true; }
    SECTION("memory") { view.free.memoryMb = 99; }
    fixture.instances.update(std::move(view));
    RelocationRoom room(fixture.instances, {}, {}, false);
    CHECK_FALSE(room.reserve(fixture.job, fixture.task(0), isTicketRequired));
}

// In a pool in full use there is never room for all tasks of a machine at once, so that its maintenance came too late.
TEST_CASE("relocations: room that short tasks hold counts where their end is awaited", "[scheduling]")
{
    RoomFixture fixture(3000);
    InstanceView view = fixture.viewOf("i-1");
    view.free = { 1000, 8000, 0 };
    view.shortTasks = { 5000, 4000, 0 };
    fixture.instances.update(std::move(view));
    RelocationRoom now(fixture.instances, {}, {}, false);
    CHECK_FALSE(now.reserve(fixture.job, fixture.task(0), false));
    RelocationRoom later(fixture.instances, {}, {}, true);
    CHECK(later.reserve(fixture.job, fixture.task(0), false));
    CHECK(later.reserve(fixture.job, fixture.task(1), false));
    CHECK_FALSE(later.reserve(fixture.job, fixture.task(2), false));
}
