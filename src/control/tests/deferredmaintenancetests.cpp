#include "control/internal/deferredmaintenance.h"
#include "foundation/tests/mocks/manualclock.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace turmericsill;
using namespace turmericsill::control;
using foundation::milliseconds;

namespace {

/// Records the names of events and their reasons.
class EventRecorder : public telemetry::IEventSink {
public:
    void write(std::string_view event, std::initializer_list<telemetry::EventField> fields) override
    {
        std::string line(event);
        for (const auto& field : fields) {
            if (field.name == "reason")
                line += " " + std::get<std::string>(field.value);
        }
        lines.push_back(line);
    }

    std::vector<std::string> lines;
};

struct DeferralFixture {
    void defer(const std::string& machine, EvacuationObstacle obstacle, const std::string& pool = {},
        std::int64_t milliCores = 0)
    {
        deferred.defer(machine, 7, { obstacle, {}, pool, { milliCores, 100, 0 } }, milliseconds(500));
    }

    foundation::mocks::ManualClock clock;
    EventRecorder events;
    DeferredMaintenance deferred { clock, events };
};

} // namespace

TEST_CASE("deferred maintenance: a machine is tried again after the delay", "[control]")
{
    DeferralFixture fixture;
    CHECK(fixture.deferred.isRetryDue("m-1"));
    fixture.defer("m-1", EvacuationObstacle::DisruptionBudget);
    CHECK_FALSE(fixture.deferred.isRetryDue("m-1"));
    fixture.clock.time += milliseconds(500);
    CHECK(fixture.deferred.isRetryDue("m-1"));
}

// A machine whose obstacle changes at each attempt fills the log of a small entry.
TEST_CASE(
    "deferred maintenance: a deferral and the changes of its reason are reported, at most one in 2 s", "[control]")
{
    DeferralFixture fixture;
    for (int attempt = 0; attempt < 8; ++attempt) {
        fixture.defer("m-1", attempt % 2 == 0 ? EvacuationObstacle::NoPlace : EvacuationObstacle::DisruptionBudget);
        fixture.clock.time += milliseconds(500);
    }
    fixture.deferred.end("m-1");
    fixture.deferred.end("m-1");
    CHECK(fixture.events.lines
        == std::vector<std::string> {
            "upkeep.deferred no-place", "upkeep.deferred disruption-budget", "upkeep.resumed" });
}

// No machine came to a pool whose two machines could not be emptied onto each other, and their maintenance was late.
TEST_CASE("deferred maintenance: tasks without a place are a demand for machines of their pool", "[control]")
{
    DeferralFixture fixture;
    fixture.defer("m-1", EvacuationObstacle::NoPlace, "desk", 5000);
    fixture.defer("m-2", EvacuationObstacle::NoPlace, "desk", 9000);
    fixture.defer("m-3", EvacuationObstacle::DisruptionBudget);
    auto unplaced = fixture.deferred.unplacedByPool();
    REQUIRE(unplaced.size() == 1);
    CHECK(unplaced.at("desk").milliCores == 9000);
    fixture.deferred.end("m-2");
    CHECK(fixture.deferred.unplacedByPool().at("desk").milliCores == 5000);
    fixture.defer("m-1", EvacuationObstacle::DisruptionBudget);
    CHECK(fixture.deferred.unplacedByPool().empty());
}
