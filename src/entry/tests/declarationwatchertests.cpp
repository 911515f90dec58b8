#include "entry/declarationwatcher.h"
#include "foundation/timerqueue.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::entry;
using foundation::milliseconds;

namespace {

class ManualClock : public foundation::IClock {
public:
    foundation::SteadyTime now() const override { return time; }
    foundation::WallTime wallNow() const override { return {}; }

    foundation::SteadyTime time { std::chrono::seconds(1000) };
};

class SilentSink : public telemetry::IEventSink {
public:
    void write(std::string_view, std::initializer_list<telemetry::EventField>) override { }
};

fleet::OperatorChanges configurationOfVersion(std::uint64_t version)
{
    fleet::FleetConfiguration configuration;
    configuration.version = version;
    return { configuration, {}, version };
}

/// Keeps the calls of a watcher open until the test answers them.
class OpenCallsSource : public fleet::IFleetSource {
public:
    struct Call {
        std::uint64_t from = 0;
        milliseconds wait { 0 };
        OperatorCallback done;
    };

    void loadDeclarations(OperatorCallback done) override { loads.push_back(std::move(done)); }
    void watchDeclarations(std::uint64_t from, milliseconds wait, OperatorCallback done) override
    {
        watches.push_back({ from, wait, std::move(done) });
    }
    bool isReceivingDeclarations() const override { return isReceiving; }
    void loadInstances(InstanceCallback) override { }
    void watchInstances(std::uint64_t, milliseconds, InstanceCallback) override { }
    void reportWave(std::uint64_t, bool, std::function<void(foundation::Result<void>)>) override { }

    std::vector<OperatorCallback> loads;
    bool isReceiving = false;
    std::vector<Call> watches; ///< In the order in which they were sent; answered ones too.
};

/// A watcher whose first load was answered with version 1.
struct WatcherFixture {
    WatcherFixture()
        : watcher(source, clock, timers, events)
    {
        watcher.onConfiguration(
            [this](const fleet::FleetConfiguration& configuration) { inForce.push_back(configuration.version); });
        watcher.start();
        source.loads.front()(configurationOfVersion(1));
    }

    void advance(milliseconds duration)
    {
        constexpr milliseconds step { 10 };
        for (milliseconds passed { 0 }; passed < duration; passed += step) {
            clock.time += step;
            timers.runDue(clock.time);
        }
    }

    ManualClock clock;
    SilentSink events;
    foundation::TimerQueue timers;
    OpenCallsSource source;
    DeclarationWatcher watcher;
    std::vector<std::uint64_t> inForce;
};

/// Answers each load and watch with the next of the prepared versions, and leaves the last watch open.
class PreparedSource : public fleet::IFleetSource {
public:
    void loadDeclarations(OperatorCallback done) override { answer(std::move(done)); }
    void watchDeclarations(std::uint64_t, milliseconds, OperatorCallback done) override { answer(std::move(done)); }
    bool isReceivingDeclarations() const override { return false; }
    void loadInstances(InstanceCallback) override { }
    void watchInstances(std::uint64_t, milliseconds, InstanceCallback) override { }
    void reportWave(std::uint64_t, bool, std::function<void(foundation::Result<void>)>) override { }

    std::vector<std::uint64_t> versions;

private:
    void answer(OperatorCallback done)
    {
        if (next_ < versions.size())
            done(configurationOfVersion(versions[next_++]));
    }

    std::size_t next_ = 0;
};

} // namespace

// A read that was answered late, or a store that was asked through another connection, may return what was in force
// before: a queue that was dropped would be served again.
TEST_CASE("declarations: a configuration never gives way to an older one", "[entry]")
{
    ManualClock clock;
    SilentSink events;
    foundation::TimerQueue timers;
    PreparedSource source;
    source.versions = { 7, 5, 7, 12, 11, 12, 13 };
    DeclarationWatcher watcher(source, clock, timers, events);
    std::vector<std::uint64_t> inForce;
    watcher.onConfiguration(
        [&](const fleet::FleetConfiguration& configuration) { inForce.push_back(configuration.version); });
    watcher.start();
    for (int i = 0; i < 100; ++i) {
        clock.time += milliseconds(100);
        timers.runDue(clock.time);
    }
    CHECK(inForce == std::vector<std::uint64_t> { 7, 12, 13 });
    CHECK(watcher.version() == 13);
}

// An entry that does not know how old its knowledge is takes an old configuration for the present one.
TEST_CASE("declarations: the age is the time since when a change may be missing", "[entry]")
{
    WatcherFixture fixture;
    CHECK(fixture.watcher.age() == milliseconds(0));
    fixture.advance(milliseconds(1000));
    CHECK(fixture.watcher.age() == milliseconds(1000));
    // The watch has waited at the store for its whole time, so nothing was written up to then.
    fixture.source.watches.front().done(fleet::OperatorChanges { std::nullopt, {}, 1 });
    CHECK(fixture.watcher.age() == milliseconds(0));
    fixture.advance(milliseconds(300));
    // What was written after the watch was sent may follow the change that it brings.
    fixture.source.watches.back().done(configurationOfVersion(2));
    CHECK(fixture.watcher.age() == milliseconds(300));
}

// A lost answer, or a path that is back while a call still waits for its timeout, leaves the entry with an old
// configuration for longer than a change may take.
TEST_CASE("declarations: a change is in force in time although the answer to the watch is lost", "[entry]")
{
    constexpr milliseconds bound { 2000 };
    constexpr milliseconds readDuration { 100 };
    WatcherFixture fixture;
    REQUIRE(fixture.source.watches.size() == 1);
    const std::size_t lostAnswers = GENERATE(1u, 2u, 3u);
    fixture.advance(bound - readDuration);
    REQUIRE(fixture.source.watches.size() > lostAnswers);
    const auto& answered = fixture.source.watches[lostAnswers];
    CHECK(answered.wait == milliseconds(0));
    answered.done(configurationOfVersion(2));
    CHECK(fixture.inForce == std::vector<std::uint64_t> { 1, 2 });
    CHECK(fixture.watcher.age() < bound);
}

// On a slow link each further read delays the answer that is under way, so that the entry falls behind for good.
TEST_CASE("declarations: nothing is read beside an answer that is arriving", "[entry]")
{
    WatcherFixture fixture;
    fixture.source.isReceiving = true;
    fixture.advance(milliseconds(1900));
    CHECK(fixture.source.watches.size() == 1);
    fixture.source.isReceiving = false; // The transfer has stalled.
    fixture.advance(milliseconds(300));
    CHECK(fixture.source.watches.size() == 2);
}

// Reads that time out must not pile up at a store that does not respond.
TEST_CASE("declarations: the number of reads beside an overdue watch is bounded", "[entry]")
{
    WatcherFixture fixture;
    fixture.advance(milliseconds(60000));
    CHECK(fixture.source.watches.size() == 6);
}

// An answer that was overtaken by a newer one ends at an earlier place: what was read in between would be read again,
// and the age would be that of the newer answer.
TEST_CASE("declarations: an answer that was overtaken changes nothing", "[entry]")
{
    WatcherFixture fixture;
    fixture.advance(milliseconds(1250));
    REQUIRE(fixture.source.watches.size() == 2);
    fixture.source.watches[1].done(configurationOfVersion(5));
    REQUIRE(fixture.source.watches.size() == 3);
    fixture.advance(milliseconds(200));
    const auto age = fixture.watcher.age();
    fixture.source.watches[0].done(configurationOfVersion(3));
    CHECK(fixture.inForce == std::vector<std::uint64_t> { 1, 5 });
    CHECK(fixture.watcher.age() == age);
    CHECK(fixture.source.watches.size() == 3);
    CHECK(fixture.source.watches[2].from == 5);
}

// The changes that a watch would go on with may be deleted. Without a new load the entry would follow nothing any more.
TEST_CASE("declarations: all declarations are loaded when the changes are no longer retained", "[entry]")
{
    WatcherFixture fixture;
    fixture.source.watches[0].done(foundation::failure(foundation::Errc::RetentionPassed, "keyed.watch"));
    fixture.advance(milliseconds(200));
    REQUIRE(fixture.source.loads.size() == 2);
    fixture.advance(milliseconds(1300));
    REQUIRE(fixture.source.loads.size() > 2); // The load is overdue.
    fixture.source.loads[2](configurationOfVersion(9));
    fixture.source.loads[1](configurationOfVersion(8));
    CHECK(fixture.inForce == std::vector<std::uint64_t> { 1, 9 });
    CHECK(fixture.source.watches.back().from == 9);
}
