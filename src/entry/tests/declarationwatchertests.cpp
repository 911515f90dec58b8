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

/// Answers each load and watch with the next of the prepared versions, and leaves the last watch open.
class PreparedSource : public fleet::IFleetSource {
public:
    void loadDeclarations(OperatorCallback done) override { answer(std::move(done)); }
    void watchDeclarations(std::uint64_t, milliseconds, OperatorCallback done) override { answer(std::move(done)); }
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
