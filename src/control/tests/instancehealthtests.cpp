#include "control/instancehealth.h"
#include "foundation/tests/mocks/manualclock.h"
#include "telemetry/tests/mocks/nulleventsink.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::control;

namespace {

struct Fixture {
    foundation::mocks::ManualClock clock;
    telemetry::mocks::NullEventSink events;
    InstanceHealth health { clock, events };
};

} // namespace

// Without the exclusion, an instance that fails every task would keep taking tasks from the queue until they have used
// up their attempts.
TEST_CASE("health: an instance that fails every run is excluded, then on probation until a run succeeds", "[control]")
{
    Fixture fixture;
    for (int i = 0; i < 2; ++i)
        fixture.health.recordRunOutcome("i-1", jobs::RunOutcome::Failed);
    CHECK_FALSE(fixture.health.isExcluded("i-1"));
    fixture.health.recordRunOutcome("i-1", jobs::RunOutcome::Failed);
    CHECK(fixture.health.isExcluded("i-1"));
    CHECK_FALSE(fixture.health.isExcluded("i-2"));
    fixture.clock.time += std::chrono::seconds(3);
    CHECK_FALSE(fixture.health.isExcluded("i-1"));
    CHECK(fixture.health.isOnProbation("i-1"));
    fixture.health.recordRunOutcome("i-1", jobs::RunOutcome::Failed);
    CHECK(fixture.health.isExcluded("i-1"));
    fixture.clock.time += std::chrono::seconds(3);
    fixture.health.recordRunOutcome("i-1", jobs::RunOutcome::Done);
    CHECK_FALSE(fixture.health.isOnProbation("i-1"));
}

TEST_CASE("health: a job that always fails does not exclude an instance that completes other work", "[control]")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.health.recordRunOutcome("i-1", jobs::RunOutcome::Failed);
        fixture.health.recordRunOutcome("i-1", jobs::RunOutcome::Failed);
        fixture.health.recordRunOutcome("i-1", jobs::RunOutcome::Done);
        CHECK_FALSE(fixture.health.isExcluded("i-1"));
    }
}

TEST_CASE("health: stops, expired leases and restarts do not exclude an instance, a refusal does", "[control]")
{
    Fixture fixture;
    for (const auto outcome :
        { jobs::RunOutcome::Stopped, jobs::RunOutcome::LeaseExpired, jobs::RunOutcome::InstanceGone,
            jobs::RunOutcome::NeverStarted, jobs::RunOutcome::PeerEnded, jobs::RunOutcome::GangIncomplete })
        fixture.health.recordRunOutcome("i-1", outcome);
    CHECK_FALSE(fixture.health.isExcluded("i-1"));
    fixture.health.recordRefusal("i-1");
    CHECK(fixture.health.isExcluded("i-1"));
    fixture.health.reset("i-1");
    CHECK_FALSE(fixture.health.isExcluded("i-1"));
}
