#include "control/instancehealth.h"
#include "foundation/tests/mocks/manualclock.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::control;

namespace {

class QuietSink : public telemetry::IEventSink {
public:
    void write(std::string_view, std::initializer_list<telemetry::EventField>) override { }
};

struct World {
    foundation::mocks::ManualClock clock;
    QuietSink events;
    InstanceHealth health { clock, events };
};

} // namespace

// An instance that fails all that it starts would otherwise draw the whole queue and use up its attempts.
TEST_CASE("health: an instance that fails everything is left out, then tried with one task", "[control]")
{
    World world;
    for (int i = 0; i < 2; ++i)
        world.health.noteEnd("i-1", jobs::RunEnd::Failed);
    CHECK_FALSE(world.health.isExcluded("i-1"));
    world.health.noteEnd("i-1", jobs::RunEnd::Failed);
    CHECK(world.health.isExcluded("i-1"));
    CHECK_FALSE(world.health.isExcluded("i-2"));
    world.clock.time += std::chrono::seconds(3);
    CHECK_FALSE(world.health.isExcluded("i-1"));
    CHECK(world.health.isOnTrial("i-1"));
    world.health.noteEnd("i-1", jobs::RunEnd::Failed);
    CHECK(world.health.isExcluded("i-1"));
    world.clock.time += std::chrono::seconds(3);
    world.health.noteEnd("i-1", jobs::RunEnd::Done);
    CHECK_FALSE(world.health.isOnTrial("i-1"));
}

TEST_CASE("health: a job that always fails condemns no instance that does other work", "[control]")
{
    World world;
    for (int i = 0; i < 20; ++i) {
        world.health.noteEnd("i-1", jobs::RunEnd::Failed);
        world.health.noteEnd("i-1", jobs::RunEnd::Failed);
        world.health.noteEnd("i-1", jobs::RunEnd::Done);
        CHECK_FALSE(world.health.isExcluded("i-1"));
    }
}

TEST_CASE("health: stops, leases and changes of life say nothing about an instance", "[control]")
{
    World world;
    for (const auto how : { jobs::RunEnd::Stopped, jobs::RunEnd::LeaseExpired, jobs::RunEnd::InstanceGone,
             jobs::RunEnd::NeverStarted, jobs::RunEnd::PeerEnded, jobs::RunEnd::GangIncomplete })
        world.health.noteEnd("i-1", how);
    CHECK_FALSE(world.health.isExcluded("i-1"));
    world.health.noteRefusal("i-1");
    CHECK(world.health.isExcluded("i-1"));
    world.health.forget("i-1");
    CHECK_FALSE(world.health.isExcluded("i-1"));
}
