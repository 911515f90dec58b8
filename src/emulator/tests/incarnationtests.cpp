#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::step;

namespace {

const std::string changing = "i-1"; ///< Instance that starts again as another kind.
const std::vector<milliseconds> listingDelays { milliseconds(0), milliseconds(800), milliseconds(5000) };

InstanceKind kind(const std::string& label, std::int64_t milliCores = 8000)
{
    InstanceKind result;
    result.pool = "desk";
    result.capacity = { milliCores, 16000, 0 };
    result.labels = { label, "r1" };
    return result;
}

struct IncarnationFixture : EmulationFixture {
    explicit IncarnationFixture(std::uint64_t seed)
        : EmulationFixture(seed)
    {
        // The only instance with the label, idle until jobs ask for it.
        emulation.platform().restartInstanceAs(changing, kind("kind-a"), milliseconds(0));
        emulation.advanceTime(milliseconds(3000));
    }

    /// Submits jobs, a few tens of milliseconds apart, for some time.
    void submitFor(milliseconds duration, const std::string& label, std::int64_t milliCores)
    {
        for (auto left = duration; left > milliseconds(0); left -= milliseconds(50)) {
            auto labelled = step(1, milliCores);
            labelled.requiredLabel = label;
            emulation.submit("e-2", nextJob++, job({ labelled }));
            emulation.advanceTime(milliseconds(50));
        }
    }

    bool hasRunOn(const std::string& instance) const
    {
        for (const auto& line : sink.lines) {
            if (line.find("run.ordered") == 0 && line.find("instance=" + instance) != std::string::npos)
                return true;
        }
        return false;
    }

    jobs::JobId nextJob = 0xf100;
};

} // namespace

// The report of an incarnation arrives later than its answers. With the labels of the incarnation before, its instance
// got the tasks of a kind that it no longer was.
TEST_CASE("incarnations: an instance that starts again as another kind gets no task of its former kind", "[emulation]")
{
    for (const auto delay : listingDelays) {
        IncarnationFixture fixture(101);
        fixture.submitFor(milliseconds(500), "kind-a", 500);
        CHECK(fixture.hasRunOn(changing));
        fixture.emulation.platform().restartInstanceAs(changing, kind("kind-b"), delay);
        fixture.submitFor(milliseconds(8000), "kind-a", 500);
        CHECK(fixture.violations().empty());
        // Its capacity is not lost: it gets the tasks of the kind that it is.
        fixture.sink.lines.clear();
        fixture.submitFor(milliseconds(500), "kind-b", 500);
        CHECK(fixture.hasRunOn(changing));
        CHECK(fixture.violations().empty());
    }
}

TEST_CASE("incarnations: an instance that starts again with less capacity is not overcommitted", "[emulation]")
{
    for (const auto delay : listingDelays) {
        IncarnationFixture fixture(102);
        fixture.submitFor(milliseconds(500), "kind-a", 3000);
        fixture.emulation.platform().restartInstanceAs(changing, kind("kind-a", 2000), delay);
        fixture.submitFor(milliseconds(8000), "kind-a", 1500);
        CHECK(fixture.violations().empty());
        fixture.sink.lines.clear();
        fixture.emulation.advanceTime(milliseconds(2000));
        CHECK(fixture.hasRunOn(changing));
    }
}

TEST_CASE("incarnations: an instance that leaves the pool gets no task of it", "[emulation]")
{
    for (const auto delay : listingDelays) {
        IncarnationFixture fixture(103);
        fixture.submitFor(milliseconds(500), "kind-a", 500);
        InstanceKind other = kind("kind-a");
        other.pool = "other-desk";
        fixture.emulation.platform().restartInstanceAs(changing, other, delay);
        fixture.submitFor(milliseconds(8000), "kind-a", 500);
        CHECK(fixture.violations().empty());
    }
}

TEST_CASE("incarnations: an instance that changes its kind twice gets no task of either former kind", "[emulation]")
{
    for (const auto delay : listingDelays) {
        IncarnationFixture fixture(104);
        fixture.submitFor(milliseconds(500), "kind-a", 500);
        fixture.emulation.platform().restartInstanceAs(changing, kind("kind-b"), delay);
        fixture.submitFor(milliseconds(900), "kind-a", 500);
        fixture.emulation.platform().restartInstanceAs(changing, kind("kind-c"), delay);
        fixture.submitFor(milliseconds(2000), "kind-a", 500);
        fixture.submitFor(milliseconds(5000), "kind-b", 500);
        CHECK(fixture.violations().empty());
    }
}

// The directory of a new controller holds the report of the former incarnation.
TEST_CASE("incarnations: a new controller does not rely on the report of a former incarnation", "[emulation]")
{
    for (const auto delay : listingDelays) {
        IncarnationFixture fixture(105);
        fixture.submitFor(milliseconds(500), "kind-a", 500);
        fixture.emulation.platform().restartInstanceAs(changing, kind("kind-b"), delay);
        const std::string controller = fixture.emulation.controller();
        fixture.emulation.killEntry(controller);
        fixture.emulation.startEntry(controller);
        fixture.submitFor(milliseconds(9000), "kind-a", 500);
        CHECK(fixture.violations().empty());
        fixture.sink.lines.clear();
        fixture.submitFor(milliseconds(500), "kind-b", 500);
        CHECK(fixture.hasRunOn(changing));
    }
}

TEST_CASE("incarnations: an instance whose report is late because of the store returns to service", "[emulation]")
{
    IncarnationFixture fixture(106);
    fixture.submitFor(milliseconds(500), "kind-a", 500);
    fixture.emulation.platform().faults().isDirectoryDown = true;
    fixture.emulation.platform().restartInstanceAs(changing, kind("kind-b"), milliseconds(0));
    fixture.submitFor(milliseconds(3000), "kind-a", 500);
    fixture.emulation.platform().faults().isDirectoryDown = false;
    fixture.emulation.advanceTime(milliseconds(2000));
    CHECK(fixture.violations().empty());
    fixture.sink.lines.clear();
    fixture.submitFor(milliseconds(500), "kind-b", 500);
    CHECK(fixture.hasRunOn(changing));
}

// An idle instance is called every few seconds only, so it may end and start again between two calls.
TEST_CASE("incarnations: an idle instance that starts again unnoticed gets no task of its former kind", "[emulation]")
{
    for (const auto delay : listingDelays) {
        IncarnationFixture fixture(107);
        fixture.emulation.platform().restartInstanceAs(changing, kind("kind-b"), delay);
        fixture.emulation.advanceTime(milliseconds(550));
        fixture.submitFor(milliseconds(2000), "kind-a", 500);
        CHECK(fixture.violations().empty());
    }
}

// Orders that are under way when the instance ends get no answer.
TEST_CASE("incarnations: an order without an answer is not repeated to another kind of the instance", "[emulation]")
{
    for (const auto delay : listingDelays) {
        for (int moment = 0; moment < 60; moment += 2) {
            IncarnationFixture fixture(108);
            fixture.submitFor(milliseconds(500), "kind-a", 500);
            auto labelled = step(4, 500);
            labelled.requiredLabel = "kind-a";
            fixture.emulation.submit("e-2", fixture.nextJob++, job({ labelled }));
            fixture.emulation.advanceTime(milliseconds(moment));
            // The answers of the last moments of an instance are lost with it.
            fixture.emulation.platform().faults().lostOrderAnswerRatio = 1;
            fixture.emulation.advanceTime(milliseconds(4));
            fixture.emulation.platform().restartInstanceAs(changing, kind("kind-b"), delay);
            fixture.emulation.advanceTime(milliseconds(100));
            fixture.emulation.platform().faults().lostOrderAnswerRatio = 0;
            fixture.emulation.advanceTime(milliseconds(6000));
            CHECK(fixture.violations().empty());
        }
    }
}
