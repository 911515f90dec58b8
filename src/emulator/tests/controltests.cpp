#include "emulator/tests/fixtures.h"
#include "jobs/recordcodec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <tuple>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::job;
using fixtures::step;
using fixtures::World;

namespace {

entry::JobStatus statusOf(World& world, const std::string& entryName, jobs::JobId id)
{
    entry::JobStatus seen;
    world.emulation.look(entryName, id, [&](entry::JobStatus status) { seen = status; });
    world.emulation.run(milliseconds(50));
    return seen;
}

std::size_t runsOf(World& world, jobs::JobId id)
{
    std::size_t runs = 0;
    for (const auto& [name, instance] : world.emulation.platform().instances()) {
        for (const auto& task : instance->running())
            runs += task.job == id;
    }
    return runs;
}

/// An entry that does not control.
std::string otherEntry(World& world)
{
    for (const auto& name : world.emulation.liveEntries()) {
        if (name != world.emulation.controller())
            return name;
    }
    return {};
}

} // namespace

TEST_CASE("control: a job of two steps runs in order and is shown as completed by every entry", "[emulation]")
{
    World world(1);
    world.emulation.submit("e-1", 0xa1, job({ step(6, 2000), step(3, 2000, { 0 }) }));
    world.emulation.run(milliseconds(100));
    CHECK(runsOf(world, 0xa1) == 6);
    CHECK(statusOf(world, "e-2", 0xa1).state == jobs::JobState::Running);
    world.emulation.run(milliseconds(5000));
    for (const char* name : { "e-1", "e-2", "e-3" })
        CHECK(statusOf(world, name, 0xa1).state == jobs::JobState::Completed);
    CHECK(world.broken().empty());
}

TEST_CASE("control: a new controller takes the runs over without starting one again", "[emulation]")
{
    World world(2);
    world.emulation.submit(otherEntry(world), 0xa2, job({ step(8, 2000) }));
    world.emulation.run(milliseconds(100));
    REQUIRE(runsOf(world, 0xa2) == 8);
    const std::string former = world.emulation.controller();
    world.emulation.killEntry(former);
    world.emulation.run(milliseconds(5000));
    REQUIRE(!world.emulation.controller().empty());
    CHECK(world.emulation.controller() != former);
    CHECK(statusOf(world, otherEntry(world), 0xa2).state == jobs::JobState::Completed);
    CHECK(world.broken().empty());
}

// A new controller knows no end of the former one's lease; it must not take that for a lease that is over.
TEST_CASE("control: runs that are inherited and answered for do not expire at the take-over", "[emulation]")
{
    World world(3);
    auto lasting = step(4, 2000);
    lasting.isLongRunning = true;
    world.emulation.submit("e-1", 0xa3, job({ lasting }));
    // Short tasks beside them end at the time of the take-over, so that renewals wait for the log.
    for (jobs::JobId id = 0x100; id < 0x110; ++id)
        world.emulation.submit("e-2", id, job({ step(1, 500) }));
    world.emulation.run(milliseconds(600));
    for (int round = 0; round < 4; ++round) {
        const std::string former = world.emulation.controller();
        world.emulation.killEntry(former);
        world.emulation.startEntry(former);
        world.emulation.run(milliseconds(3000));
        for (const auto& line : world.sink.lines)
            REQUIRE(line.find("lease-expired") == std::string::npos);
    }
    CHECK(runsOf(world, 0xa3) == 4);
    CHECK(world.broken().empty());
}

// The controller folds its records before they are stored; callers must not see them until they are.
TEST_CASE("control: a job is shown as completed only once its last end stands in the log", "[emulation]")
{
    World world(4);
    const std::string controller = world.emulation.controller();
    world.emulation.submit(controller, 0xa4, job({ step(4, 2000) }));
    world.emulation.run(milliseconds(100));
    REQUIRE(runsOf(world, 0xa4) == 4);
    world.emulation.platform().faults().storeDown = true;
    world.emulation.run(milliseconds(4000));
    REQUIRE(runsOf(world, 0xa4) == 0);
    CHECK(statusOf(world, controller, 0xa4).state == jobs::JobState::Running);
    world.emulation.platform().faults().storeDown = false;
    world.emulation.run(milliseconds(1500));
    CHECK(statusOf(world, world.emulation.controller(), 0xa4).state == jobs::JobState::Completed);
    CHECK(world.broken().empty());
}

TEST_CASE("control: all entries killed at once lose nothing that was accepted", "[emulation]")
{
    World world(5);
    for (jobs::JobId id = 0x200; id < 0x208; ++id)
        world.emulation.submit("e-1", id, job({ step(4, 1000), step(2, 1000, { 0 }) }));
    world.emulation.run(milliseconds(300));
    for (const auto& name : world.emulation.liveEntries())
        world.emulation.killEntry(name);
    world.emulation.run(milliseconds(1500));
    for (const char* name : { "e-1", "e-2", "e-3" })
        world.emulation.startEntry(name);
    world.emulation.run(milliseconds(12000));
    for (const auto id : world.emulation.platform().rulebook().acceptedJobs())
        CHECK(statusOf(world, "e-1", id).state == jobs::JobState::Completed);
    CHECK(world.emulation.platform().rulebook().acceptedJobs().size() == 8);
    CHECK(world.broken().empty());
}

// Its address is unknown until its entry is read; the run that may be there still counts.
TEST_CASE(
    "control: a run on an instance that has left is restarted, former controllers having been asked", "[emulation]")
{
    World world(6);
    auto lasting = step(1, 2000);
    lasting.isLongRunning = true;
    world.emulation.submit("e-1", 0xa6, job({ lasting }));
    world.emulation.run(milliseconds(300));
    std::string host;
    for (const auto& [name, instance] : world.emulation.platform().instances()) {
        if (!instance->running().empty())
            host = name;
    }
    REQUIRE(!host.empty());
    for (const auto& name : world.emulation.liveEntries())
        world.emulation.killEntry(name);
    world.emulation.platform().crash(host);
    world.emulation.platform().unlist(host);
    for (const char* name : { "e-1", "e-2", "e-3" })
        world.emulation.startEntry(name);
    // The lease of 5 s by the slowest clock, and the time to begin control.
    world.emulation.run(milliseconds(9000));
    CHECK(runsOf(world, 0xa6) == 1);
    CHECK(world.broken().empty());
}

TEST_CASE("control: a draining instance gives its long-running tasks away", "[emulation]")
{
    World world(7);
    auto lasting = step(2, 2000);
    lasting.isLongRunning = true;
    lasting.hasDisruptionBudget = true;
    lasting.disruptionBudget = 1;
    world.emulation.submit("e-1", 0xa7, job({ lasting }));
    world.emulation.run(milliseconds(300));
    std::string host;
    for (const auto& [name, instance] : world.emulation.platform().instances()) {
        if (!instance->running().empty())
            host = name;
    }
    world.emulation.platform().setDraining(host);
    world.emulation.run(milliseconds(2000));
    CHECK(world.emulation.platform().instances().at(host)->running().empty());
    CHECK(runsOf(world, 0xa7) == 2);
    CHECK(world.broken().empty());
}

TEST_CASE("control: a cancelled job stops, also when the cancellation is read first", "[emulation]")
{
    World world(8);
    world.emulation.submit("e-1", 0xa8, job({ step(4, 2000) }));
    world.emulation.run(milliseconds(100));
    world.emulation.cancel("e-2", 0xa8);
    world.emulation.cancel("e-3", 0xa9);
    world.emulation.run(milliseconds(100));
    world.emulation.submit("e-1", 0xa9, job({ step(1, 1000) }));
    world.emulation.run(milliseconds(1000));
    CHECK(runsOf(world, 0xa8) == 0);
    CHECK(runsOf(world, 0xa9) == 0);
    CHECK(statusOf(world, "e-1", 0xa8).state == jobs::JobState::Cancelled);
    CHECK(statusOf(world, "e-1", 0xa9).state == jobs::JobState::Cancelled);
    CHECK(world.broken().empty());
}

// Repeated orders must not put the end of the lease off, or the instance's runs are never over.
TEST_CASE("control: an instance that answers no order loses its runs when its lease is over", "[emulation]")
{
    World world(9);
    auto lasting = step(1, 6000);
    lasting.isLongRunning = true;
    world.emulation.submit("e-1", 0xb1, job({ lasting }));
    world.emulation.run(milliseconds(300));
    std::string host;
    for (const auto& [name, instance] : world.emulation.platform().instances()) {
        if (!instance->running().empty())
            host = name;
    }
    REQUIRE(!host.empty());
    // The small task fits best on the instance that has just fallen silent.
    world.emulation.platform().faults().unreachableInstances.insert(host);
    world.emulation.submit("e-2", 0xb2, job({ step(1, 2000) }));
    // The lease of 5 s by the slowest clock, after the last renewal that was answered.
    world.emulation.run(milliseconds(8000));
    std::size_t elsewhere = 0;
    for (const auto& [name, instance] : world.emulation.platform().instances())
        elsewhere += name != host && instance->isRunning({ 0xb1, 0, 0, 0 });
    CHECK(elsewhere == 1);
    CHECK(statusOf(world, "e-1", 0xb2).state == jobs::JobState::Completed);
    CHECK(world.broken().empty());
}

TEST_CASE("control: jobs outlive the records of the log", "[emulation]")
{
    World world(10);
    auto lasting = step(2, 2000);
    lasting.isLongRunning = true;
    world.emulation.submit("e-1", 0xc1, job({ lasting }));
    world.emulation.submit("e-2", 0xc2, job({ step(2, 1000) }));
    world.emulation.run(milliseconds(6000));
    REQUIRE(runsOf(world, 0xc1) == 2);
    world.emulation.platform().log().dropRecords();
    for (const auto& name : world.emulation.liveEntries())
        world.emulation.killEntry(name);
    for (const char* name : { "e-1", "e-2", "e-3" })
        world.emulation.startEntry(name);
    world.emulation.run(milliseconds(4000));
    CHECK(runsOf(world, 0xc1) == 2);
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        CHECK(statusOf(world, name, 0xc1).state == jobs::JobState::Running);
        CHECK(statusOf(world, name, 0xc2).state == jobs::JobState::Completed);
    }
    CHECK(world.broken().empty());
}

TEST_CASE("control: steps that need advice run only where a ticket allows it", "[emulation]")
{
    World world(11);
    fleet::FleetConfiguration advised = fixtures::configuration();
    advised.queues.front().advice = fleet::AdviceSettings { milliseconds(20), milliseconds(1), milliseconds(2000) };
    world.emulation.platform().setConfiguration(advised);
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        world.emulation.entry(name)->service().setConfiguration(advised);
        world.emulation.entry(name)->control().setConfiguration(advised);
    }
    world.emulation.submit("e-1", 0xd1, job({ step(4, 2000), step(2, 1000, { 0 }) }));
    world.emulation.run(milliseconds(100));
    CHECK(runsOf(world, 0xd1) == 4);
    std::size_t hosts = 0;
    for (const auto& [name, instance] : world.emulation.platform().instances())
        hosts += !instance->running().empty();
    CHECK(hosts <= 2);
    world.emulation.run(milliseconds(5000));
    CHECK(statusOf(world, "e-1", 0xd1).state == jobs::JobState::Completed);
    CHECK(world.broken().empty());
}

// The order of a former controller had its effect, and the machine came back, before this one repeats it.
TEST_CASE("control: an order for upkeep that was carried out before ends no run", "[emulation]")
{
    World world(12);
    world.emulation.run(milliseconds(4000)); // Until the controller may give orders for machines.
    world.emulation.platform().faults().upkeepDoneBefore = true;
    world.emulation.submit("e-1", 0xe1, job({ step(16, 2000) }));
    world.emulation.run(milliseconds(150));
    REQUIRE(runsOf(world, 0xe1) == 16);
    fleet::UpkeepWave wave;
    wave.number = 1;
    wave.duration = milliseconds(100); // Over at once, so that short tasks are not waited for.
    wave.maximumDown = 4;
    for (const char* name : { "i-1", "i-2", "i-3", "i-4" })
        wave.machines.push_back(std::string("machine-of-") + name);
    world.emulation.entry(world.emulation.controller())->control().addWave(wave);
    world.emulation.run(milliseconds(6000));
    CHECK(statusOf(world, "e-1", 0xe1).state == jobs::JobState::Completed);
    for (const auto& line : world.sink.lines)
        CHECK(line.find("instance-gone") == std::string::npos);
    CHECK(world.broken().empty());
}

TEST_CASE("control: a holder that lives keeps control when the group names another candidate", "[emulation]")
{
    World world(13);
    const std::string holder = world.emulation.controller();
    for (int round = 0; round < 3; ++round) {
        world.emulation.platform().log().dealAnew();
        world.emulation.startEntry("a-" + std::to_string(round), 300); // A better candidate each time.
        world.emulation.run(milliseconds(1500));
        CHECK(world.emulation.controller() == holder);
    }
    // The log serves everybody but the holder, which other entries still reach.
    world.emulation.platform().faults().entriesCutFromStore.insert(holder);
    world.emulation.run(milliseconds(4000));
    world.emulation.platform().faults().entriesCutFromStore.clear();
    world.emulation.run(milliseconds(1000));
    CHECK(world.emulation.controller() != holder);
    CHECK(!world.emulation.controller().empty());
}

// Entries of unlike size: the smallest ones have an eighth of a core.
TEST_CASE("control: an entry with more processor time takes control over from a small one", "[emulation]")
{
    World world(17);
    world.emulation.submit("e-1", 0xa7, job({ step(8, 2000) }));
    world.emulation.startEntry("z-strong", 500);
    world.emulation.run(milliseconds(2000));
    CHECK(world.emulation.controller() == "z-strong");
    world.emulation.killEntry("z-strong");
    world.emulation.run(milliseconds(4000));
    CHECK(!world.emulation.controller().empty());
    CHECK(statusOf(world, "e-1", 0xa7).state == jobs::JobState::Completed);
    CHECK(world.broken().empty());
}

// Load that arrives through many entries while the log takes few appends a second.
TEST_CASE("control: a slow log neither refuses callers nor stops the controller", "[emulation]")
{
    // A caller's record waits for the append under way, at most, and for its own.
    const auto [appendTime, storeDelay, bound]
        = GENERATE(std::tuple(milliseconds(125), milliseconds(100), milliseconds(500)),
            std::tuple(milliseconds(180), milliseconds(260), milliseconds(950)),
            std::tuple(milliseconds(450), milliseconds(300), milliseconds(1550)));
    World world(18);
    constexpr int entries = 16;
    for (int i = 0; i < entries; ++i)
        world.emulation.startEntry("f-" + std::to_string(i));
    world.emulation.run(milliseconds(1000));
    world.emulation.platform().faults().appendTime = appendTime;
    world.emulation.platform().faults().storeDelay = storeDelay;
    std::size_t sent = 0;
    std::size_t accepted = 0;
    std::size_t late = 0;
    const auto began = world.emulation.clock().now();
    while (world.emulation.clock().now() - began < milliseconds(5000)) {
        const jobs::JobId id = 0x5000 + sent;
        const auto sentAt = world.emulation.clock().now();
        world.emulation.submit("f-" + std::to_string(sent++ % entries), id, job({ step(1, 500) }),
            [&, sentAt, bound = bound](entry::RequestResult result) {
                accepted += result.outcome == entry::RequestOutcome::Done;
                late += world.emulation.clock().now() - sentAt > bound;
            });
        world.emulation.run(milliseconds(25));
    }
    world.emulation.run(milliseconds(1500));
    CHECK(accepted == sent);
    CHECK(late == 0);
    std::size_t begun = 0;
    for (jobs::JobId id = 0x5000; id < 0x5000 + sent; ++id)
        begun += statusOf(world, "f-0", id).state != jobs::JobState::Queued;
    CHECK(begun == sent);
    CHECK(world.broken().empty());
}

// Load that arrives while the store is silent: callers are told at once, and can try another entry or come back.
TEST_CASE("submissions: a silent store holds nobody until the deadline", "[emulation]")
{
    World world(14);
    const bool isController = GENERATE(false, true);
    const std::string entryName = isController ? world.emulation.controller() : otherEntry(world);
    std::vector<std::pair<entry::RequestOutcome, milliseconds>> answers;
    const auto submit = [&](jobs::JobId id) {
        const auto sentAt = world.emulation.clock().now();
        world.emulation.submit(entryName, id, job({ step(1, 1000) }), [&, sentAt](entry::RequestResult result) {
            const auto took = std::chrono::duration_cast<milliseconds>(world.emulation.clock().now() - sentAt);
            answers.emplace_back(result.outcome, took);
        });
    };
    world.emulation.platform().faults().storeSilent = true;
    submit(0xef); // Nobody knows yet, so it is sent and may be stored.
    world.emulation.run(milliseconds(1600));
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().first == entry::RequestOutcome::Unknown);
    answers.clear();
    for (jobs::JobId id = 0xf0; id < 0xf8; ++id) {
        submit(id);
        world.emulation.run(milliseconds(100));
    }
    world.emulation.run(milliseconds(1000));
    REQUIRE(answers.size() == 8);
    for (const auto& [outcome, took] : answers) {
        CHECK(outcome == entry::RequestOutcome::NotDone);
        CHECK(took <= milliseconds(250));
    }
    world.emulation.platform().faults().storeSilent = false;
    world.emulation.run(milliseconds(5000));
    CHECK(world.broken().empty());
}

// Load that arrives while the store refuses every call: nobody waits for what will not come soon.
TEST_CASE("submissions: a store that refuses is told to callers at once", "[emulation]")
{
    World world(19);
    const std::string entryName = otherEntry(world);
    world.emulation.platform().faults().storeDown = true;
    std::size_t unknown = 0;
    std::size_t notStored = 0;
    for (jobs::JobId id = 0xe0; id < 0xe8; ++id) {
        const auto sentAt = world.emulation.clock().now();
        world.emulation.submit(entryName, id, job({ step(1, 1000) }), [&, sentAt](entry::RequestResult result) {
            const bool isRefused = result.outcome == entry::RequestOutcome::NotDone;
            notStored += isRefused;
            unknown += result.outcome == entry::RequestOutcome::Unknown;
            CHECK((!isRefused || world.emulation.clock().now() - sentAt <= milliseconds(250)));
        });
        world.emulation.run(milliseconds(100));
    }
    world.emulation.run(milliseconds(1500));
    CHECK(unknown <= 1); // Only what the controller had taken before it was refused itself.
    CHECK(notStored + unknown == 8);
    world.emulation.platform().faults().storeDown = false;
    world.emulation.run(milliseconds(5000));
    CHECK(world.broken().empty());
}

// The address of an instance that is gone goes to another one before the controller lets go of the first.
TEST_CASE("control: an instance that was given another's address keeps its connections and its runs", "[emulation]")
{
    World world(15);
    auto& platform = world.emulation.platform();
    platform.setDraining("i-1"); // It gets no work, so that nothing tells the controller of its end.
    world.emulation.run(milliseconds(500));
    platform.crash("i-1");
    platform.passAddress("i-1", "i-9");
    platform.startInstance("i-9", "desk", { 8000, 16000, 0 });
    world.emulation.run(milliseconds(1000));
    auto lasting = step(4, 5000);
    lasting.isLongRunning = true;
    world.emulation.submit("e-1", 0xab1, job({ lasting }));
    world.emulation.run(milliseconds(500));
    REQUIRE(runsOf(world, 0xab1) == 4);
    platform.unlist("i-1");
    world.emulation.run(milliseconds(9000));
    CHECK(runsOf(world, 0xab1) == 4);
    for (const auto& line : world.sink.lines)
        CHECK(line.find("lease-expired") == std::string::npos);
    CHECK(world.broken().empty());
}

// Entries on slow links restart together and find a long log.
TEST_CASE("control: entries behind slow links read a long log and take control", "[emulation]")
{
    World world(16);
    constexpr std::size_t tenMegabitsPerSecond = 1250000;
    jobs::JobSpec large = job({ step(1, 1000) });
    large.payload.assign(4000, 'x');
    for (jobs::JobId id = 0x1000; id < 0x1400; ++id) {
        const jobs::Submitted submitted { id, "calls", "desk", milliseconds(0), large };
        world.emulation.platform().log().append({ { jobs::encode(submitted, 0) }, {} });
        world.emulation.platform().log().append({ { jobs::encode(jobs::Cancelled { id }, 0) }, {} });
    }
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        world.emulation.killEntry(name);
        world.emulation.platform().faults().linkBytesPerSecond[name] = tenMegabitsPerSecond;
    }
    world.emulation.run(milliseconds(2000));
    for (const char* name : { "e-1", "e-2", "e-3" })
        world.emulation.startEntry(name);
    world.emulation.run(milliseconds(6000)); // The log is 3.4 s of such a link.
    CHECK(!world.emulation.controller().empty());
    for (const char* name : { "e-1", "e-2", "e-3" })
        CHECK(statusOf(world, name, 0x13ff).state == jobs::JobState::Cancelled);
}

// A controller that keeps writing but falls behind in reading does not know what other entries appended.
TEST_CASE("control: nothing starts while the controller has not read the log for seconds", "[emulation]")
{
    World world(20);
    const std::string controller = world.emulation.controller();
    world.emulation.platform().faults().linkBytesPerSecond[controller] = 1;
    world.emulation.platform().log().append({ { jobs::encode(jobs::Cancelled { 0x7ff }, 0) }, {} });
    world.emulation.run(milliseconds(3500));
    world.emulation.submit(controller, 0x700, job({ step(2, 1000) }));
    world.emulation.run(milliseconds(500));
    world.emulation.platform().log().append({ { jobs::encode(jobs::Cancelled { 0x700 }, 0) }, {} });
    for (int i = 0; i < 20; ++i) {
        world.emulation.run(milliseconds(100));
        CHECK(runsOf(world, 0x700) == 0);
    }
    world.emulation.platform().faults().linkBytesPerSecond.clear();
    world.emulation.run(milliseconds(5000));
    CHECK(runsOf(world, 0x700) == 0);
    CHECK(statusOf(world, otherEntry(world), 0x700).state == jobs::JobState::Cancelled);
    CHECK(world.broken().empty());
}
