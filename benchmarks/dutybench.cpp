// Cost of the duties that follow the state: callers, controllers and membership, by the size of the fleet.

#include "benchmarks/fleetfixture.h"
#include "callers/dispatcher.h"
#include "callers/rostershares.h"
#include "fleetlog/ifleetlog.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "maintenance/poolcontroller.h"
#include "membership/heartbeatcodec.h"
#include "telemetry/tests/mocks/silenttracer.h"

#include <benchmark/benchmark.h>
#include <memory>

namespace {

using namespace turmericsill;
using benchmarks::FleetFixture;

/// Answers every attempt at once.
class InstantTransport : public callers::IEndpointTransport {
public:
    void start(const callers::AttemptTarget&, const httpserver::HttpRequest&, foundation::SteadyTime,
        foundation::SteadyTime, callers::AttemptObserverPtr observer) override
    {
        observer->onSending();
        observer->onAnswer(answer);
    }
    void closeIdle(const std::string&) override { }

    httpserver::HttpResponse answer = httpserver::makeResponse(200, "ok");
};

class IgnoringLog : public fleetlog::IFleetLog {
public:
    void submit(fleetstate::RecordBody, fleetlog::LogWriter::Callback) override { }
    void submitWithId(const std::string&, fleetstate::RecordBody, fleetlog::LogWriter::Callback) override { }
};

class IgnoringPlatform : public platform::IInstancePlatform {
public:
    void listInstances(const std::vector<std::string>&, ListCallback) override { }
    void reboot(const std::string&, const std::string&, std::uint64_t, DoneCallback) override { }
    void queryOperation(const std::string&, OperationCallback) override { }
};

/// The callers' duty over a fleet.
struct CallerBench {
    explicit CallerBench(std::int64_t workers)
        : fixture(static_cast<std::size_t>(workers))
        , shares("entry-0")
        , dispatcher(transport, shares, timers, clock, tracer, {}, 1)
    {
        const auto state = fixture.fold.state();
        shares.onRoster(state->rosterVersion, state->admittedEntries());
        shares.onSettled(state->rosterVersion);
        dispatcher.applyState(state);
    }

    FleetFixture fixture;
    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    telemetry::mocks::SilentTracer tracer;
    InstantTransport transport;
    callers::RosterShares shares;
    callers::Dispatcher dispatcher;
};

void applyTransition(benchmark::State& state)
{
    CallerBench bench(state.range(0));
    for (auto _ : state) {
        state.PauseTiming();
        bench.fixture.transitionNext();
        state.ResumeTiming();
        bench.dispatcher.applyState(bench.fixture.fold.state());
    }
}

void dispatchRequest(benchmark::State& state)
{
    CallerBench bench(state.range(0));
    for (auto _ : state) {
        callers::CallerRequestPtr request = new callers::CallerRequest(
            { boost::beast::http::verb::post, "/service-0/x", 11 }, true, [](callers::CallerReply) {});
        request->service = "service-0";
        request->receivedAt = bench.clock.now();
        request->deadline = bench.clock.now() + std::chrono::seconds(1);
        bench.dispatcher.submit(request);
    }
}

void busyReport(benchmark::State& state)
{
    CallerBench bench(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(bench.dispatcher.busyInstances());
        benchmark::DoNotOptimize(bench.dispatcher.keepsToShares());
        benchmark::DoNotOptimize(bench.dispatcher.counters());
    }
}

// One step of a controller that holds every pool, while one instance in a hundred is out.
void controllerStep(benchmark::State& state)
{
    FleetFixture fixture(static_cast<std::size_t>(state.range(0)));
    for (std::int64_t index = 0; index < state.range(0) / 100; ++index) {
        const std::string name = "worker-" + std::to_string(index * 100);
        fixture.add(fleetstate::DrainRequest { name, fixture.fold.state()->findInstance(name)->version, "bench", "" });
    }
    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    IgnoringLog log;
    IgnoringPlatform platform;
    maintenance::PoolController controller("entry-0", platform, log, timers, clock);
    fleetlog::StateUpdate update;
    update.state = fixture.fold.state();
    update.caughtUp = true;
    controller.onState(update);
    membership::PeersView peers;
    peers.certainUntil = foundation::SteadyTime::max();
    for (const auto& [name, member] : update.state->roster)
        peers.members[name] = { member.incarnation, 0, {} };
    for (auto _ : state)
        controller.onPeers(peers);
}

void heartbeatRoundTrip(benchmark::State& state)
{
    membership::Heartbeat heartbeat;
    heartbeat.entry = "entry-a";
    heartbeat.incarnation = 1733290435123;
    heartbeat.sequence = 123456;
    heartbeat.appliedOffset = heartbeat.digestOffset = 12345678;
    heartbeat.digest = 0x123456789abcdef0;
    for (std::int64_t index = 0; index < state.range(0); ++index)
        heartbeat.busyInstances.push_back("worker-" + std::to_string(index));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string datagram = membership::encodeHeartbeat(heartbeat);
        bytes = datagram.size();
        benchmark::DoNotOptimize(membership::decodeHeartbeat(datagram));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

/// The sizes that slopes are fitted over.
void sizes(benchmark::internal::Benchmark* benchmark)
{
    for (const std::int64_t workers : { 50, 500, 5000, 25000 })
        benchmark->Arg(workers);
}

BENCHMARK(applyTransition)->Apply(sizes)->Iterations(2000);
BENCHMARK(dispatchRequest)->Apply(sizes)->Iterations(100000);
BENCHMARK(busyReport)->Apply(sizes);
BENCHMARK(controllerStep)->Apply(sizes);
BENCHMARK(heartbeatRoundTrip)->Arg(0)->Arg(8)->Arg(64)->Arg(512);

} // namespace

BENCHMARK_MAIN();
