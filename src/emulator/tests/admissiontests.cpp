#include "emulator/tests/fixtures.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace turmericsill;
using namespace turmericsill::emulator;
using entry::RequestOutcome;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::step;

namespace {

/// Two teams with four jobs a second each, and jobs that have 2.6 s: 0.8 s of work on 8 of 32 cores.
fleet::FleetConfiguration configurationWithTeams()
{
    fleet::FleetConfiguration configuration = fixtures::configuration();
    configuration.queues.front().criticalPathFactor = 2;
    configuration.queues.front().objectiveMargin = milliseconds(1000);
    configuration.teams.emplace();
    for (const char* name : { "growers", "millers" }) {
        (*configuration.teams)[name].name = name;
        (*configuration.teams)[name].weight = 4;
    }
    return configuration;
}

control::ControlSettings settingsWithBurst()
{
    control::ControlSettings settings = EmulationFixture::settings();
    settings.teamBurstJobs = 4;
    return settings;
}

/// Submissions to all live entries in turn.
struct LoadFixture : EmulationFixture {
    explicit LoadFixture(std::uint64_t seed)
        : EmulationFixture(seed, configurationWithTeams(), settingsWithBurst())
    {
        emulation.advanceTime(milliseconds(3000));
    }

    void submit(const std::string& team)
    {
        const auto entries = emulation.liveEntries();
        const jobs::JobId id = ++lastId;
        emulation.submit(
            entries[id % entries.size()], id, job({ step(4, 2000) }),
            [this, team, id](const entry::RequestResult& result) {
                ++outcomes[team][result.outcome];
                if (result.outcome == RequestOutcome::Overloaded)
                    rejected.emplace_back(id, result.retryAfter);
                if (result.outcome == RequestOutcome::Overloaded && isLearning)
                    ++rejectedWhileLearning;
            },
            team);
    }

    /// The growers submit at eight times their rate, the millers at a quarter of theirs.
    void flood(int seconds)
    {
        for (int i = 0; i < seconds * 32; ++i) {
            submit("growers");
            if (i % 32 == 0)
                submit("millers");
            emulation.advanceTime(milliseconds(31));
        }
    }

    jobs::JobId lastId = 0x100;
    std::map<std::string, std::map<RequestOutcome, int>> outcomes; ///< Key: team.
    std::vector<std::pair<jobs::JobId, milliseconds>> rejected; ///< Jobs with their delays.
    bool isLearning = false;
    int rejectedWhileLearning = 0;
};

} // namespace

// One team at eight times its rate delayed all teams, and no caller learned of it.
TEST_CASE("admission: a flood of one team is refused at every entry and leaves no trace", "[emulation]")
{
    LoadFixture fixture(61);
    fixture.flood(12);
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK(fixture.outcomes["millers"][RequestOutcome::Stored] == 12);
    CHECK(fixture.outcomes["growers"][RequestOutcome::Overloaded] > 100);
    CHECK(fixture.outcomes["growers"][RequestOutcome::Stored] > 12 * 4);
    CHECK(fixture.countEvents("admission.load") > 0);
    REQUIRE_FALSE(fixture.rejected.empty());
    const auto refusals = std::count_if(fixture.sink.lines.begin(), fixture.sink.lines.end(),
        [](const std::string& line) { return line.find("outcome=refused-overload") != std::string::npos; });
    CHECK(refusals == static_cast<std::ptrdiff_t>(fixture.rejected.size()));
    for (const auto& [id, retryAfter] : fixture.rejected) {
        CHECK(fixture.emulation.entry("e-1")->follower().table().find(id) == nullptr);
        CHECK(retryAfter > milliseconds(0));
    }
    fixture.emulation.advanceTime(milliseconds(20000));
    for (const auto& name : fixture.emulation.liveEntries())
        CHECK(fixture.emulation.entry(name)->follower().table().openJobs().empty());
    CHECK(fixture.violations().empty());
}

// A refused job can be submitted again with the same id.
TEST_CASE("admission: a rejected job is accepted when the flood is over", "[emulation]")
{
    LoadFixture fixture(62);
    fixture.flood(4);
    REQUIRE_FALSE(fixture.rejected.empty());
    fixture.emulation.advanceTime(milliseconds(20000));
    const jobs::JobId id = fixture.rejected.front().first;
    std::optional<RequestOutcome> outcome;
    fixture.emulation.submit(
        "e-2", id, job({ step(4, 2000) }), [&](const entry::RequestResult& result) { outcome = result.outcome; },
        "growers");
    fixture.emulation.advanceTime(milliseconds(3000));
    CHECK(outcome == RequestOutcome::Stored);
    const jobs::Job* stored = fixture.emulation.entry("e-3")->follower().table().find(id);
    REQUIRE(stored);
    CHECK(stored->state() == jobs::JobState::Completed);
    CHECK(fixture.violations().empty());
}

// A new controller knows neither how the backlog was served nor which machines come.
TEST_CASE("admission: rejections pause after a change of controller and no accepted job is lost", "[emulation]")
{
    LoadFixture fixture(63);
    fixture.flood(4);
    REQUIRE_FALSE(fixture.rejected.empty());
    fixture.emulation.killEntry(fixture.emulation.controller());
    fixture.isLearning = true;
    while (fixture.emulation.controller().empty())
        fixture.flood(1);
    fixture.flood(1);
    CHECK(fixture.rejectedWhileLearning == 0);
    fixture.isLearning = false;
    const auto rejectedBefore = fixture.rejected.size();
    fixture.flood(4);
    CHECK(fixture.rejected.size() > rejectedBefore);
    fixture.emulation.advanceTime(milliseconds(40000));
    CHECK(fixture.outcomes["millers"][RequestOutcome::Overloaded] == 0);
    for (const auto& name : fixture.emulation.liveEntries())
        CHECK(fixture.emulation.entry(name)->follower().table().openJobs().empty());
    CHECK(fixture.violations().empty());
}

// Lost answers and changes of controller leave records whose fate the entry does not know. A caller that is told of a
// rejection must be able to rely on it all the same: each id is submitted once here.
TEST_CASE("admission: no refused job is stored and no accepted one is lost, whatever fails", "[emulation]")
{
    std::size_t refusals = 0;
    for (const std::uint64_t seed : { 71, 72, 73, 74, 75, 76 }) {
        LoadFixture fixture(seed);
        auto& faults = fixture.emulation.platform().faults();
        fixture.flood(3);
        faults.lostAppendAnswerRatio = 0.2;
        faults.lateAppendRatio = 0.1;
        faults.storeLatency = milliseconds(seed % 2 == 0 ? 4 : 90);
        fixture.flood(2);
        faults.entriesPartitionedFromStore = { fixture.emulation.controller() };
        fixture.flood(2);
        faults.entriesPartitionedFromStore.clear();
        fixture.flood(2);
        if (const std::string controller = fixture.emulation.controller(); !controller.empty()) {
            fixture.emulation.killEntry(controller);
            fixture.flood(2);
            fixture.emulation.startEntry(controller);
        }
        fixture.flood(2);
        faults = InjectedFaults();
        fixture.emulation.advanceTime(milliseconds(30000));
        const auto& table = fixture.emulation.entry("e-1")->follower().table();
        INFO("seed " << seed);
        for (const auto& [id, retryAfter] : fixture.rejected)
            CHECK(table.find(id) == nullptr);
        for (const jobs::JobId id : fixture.emulation.platform().invariants().acceptedJobs())
            CHECK(table.find(id) != nullptr);
        CHECK(fixture.violations().empty());
        refusals += fixture.rejected.size();
    }
    CHECK(refusals > 100);
}

// Deployments without teams must see nothing of admission control.
TEST_CASE("admission: without teams the same load is accepted", "[emulation]")
{
    EmulationFixture fixture(64);
    fixture.emulation.advanceTime(milliseconds(3000));
    int stored = 0;
    for (jobs::JobId id = 0x100; id < 0x100 + 128; ++id) {
        fixture.emulation.submit("e-1", id, job({ step(4, 2000) }),
            [&](const entry::RequestResult& result) { stored += result.outcome == RequestOutcome::Stored; });
        fixture.emulation.advanceTime(milliseconds(31));
    }
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK(stored == 128);
    CHECK(fixture.countEvents("admission.load") == 0);
}
