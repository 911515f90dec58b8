// Benchmarks, by fleet size, of the components that follow the fleet state: request dispatch, pool controllers and
// heartbeats.

#include "benchmarks/fleetfixture.h"
#include "callers/dispatcher.h"
#include "callers/rostershares.h"
#include "fleetlog/ifleetlog.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "maintenance/poolcontroller.h"
#include "membership/heartbeatcodec.h"
#include "telemetry/tests/mocks/nulltracer.h"

#include <benchmark/benchmark.h>
#include <memory>

namespace {

using namespace turmericsill;
using benchmarks::FleetFixture;

/// Transport that answers every attempt with status 200 before start() returns.
class InstantTransport : public callers::IEndpointTransport {
public:
    void start(const callers::AttemptTarget&, const httpserver::HttpRequest&, foundation::SteadyTime,
        foundation::SteadyTime, callers::AttemptObserverPtr observer) override
    {
        observer->onBeforeSend();
        observer->onResponse(response);
    }
    void closeIdleConnections(const std::string&) override { }

    httpserver::HttpResponse response = httpserver::makeResponse(200, "ok");
};

/// Log that discards every record and never calls back.
class DiscardingLog : public fleetlog::IFleetLog {
public:
    void submit(fleetstate::RecordBody, fleetlog::LogWriter::Callback) override { }
    void submitWithId(const std::string&, fleetstate::RecordBody, fleetlog::LogWriter::Callback) override { }
};

/// Instance manager that ignores every request and never calls back.
class InactiveInstanceManager : public platform::IInstanceManager {
public:
    void listInstances(const std::vector<std::string>&, ListCallback) override { }
    void reboot(const std::string&, const std::string&, std::uint64_t, DoneCallback) override { }
    void queryOperation(const std::string&, OperationCallback) override { }
};

/// Dispatcher of one entry for a fleet of a given size, with a transport that answers at once.
struct DispatcherBench {
    explicit DispatcherBench(std::int64_t workers)
        : fixture(static_cast<std::size_t>(workers))
        , shares("entry-0")
        , dispatcher(transport, shares, timers, clock, tracer, {}, 1)
    {
        const auto state = fixture.stateMachine.state();
        shares.addRoster(state->rosterVersion, state->admittedEntries());
        shares.onRosterSettled(state->rosterVersion);
        dispatcher.applyState(state);
    }

    FleetFixture fixture;
    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    telemetry::mocks::NullTracer tracer;
    InstantTransport transport;
    callers::RosterShares shares;
    callers::Dispatcher dispatcher;
};

void applyTransition(benchmark::State& state)
{
    DispatcherBench bench(state.range(0));
    for (auto _ : state) {
        state.PauseTiming();
        bench.fixture.advanceDrain();
        state.ResumeTiming();
        bench.dispatcher.applyState(bench.fixture.stateMachine.state());
    }
}

void dispatchRequest(benchmark::State& state)
{
    DispatcherBench bench(state.range(0));
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
    DispatcherBench bench(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(bench.dispatcher.busyInstances());
        benchmark::DoNotOptimize(bench.dispatcher.isWithinShares());
        benchmark::DoNotOptimize(bench.dispatcher.counters());
    }
}

// One step of a controller that has claimed every pool, while one instance in a hundred is being drained.
void controllerStep(benchmark::State& state)
{
    FleetFixture fixture(static_cast<std::size_t>(state.range(0)));
    for (std::int64_t index = 0; index < state.range(0) / 100; ++index) {
        const std::string name = "worker-" + std::to_string(index * 100);
        fixture.applyRecord(
            fleetstate::DrainRequest { name, fixture.stateMachine.state()->findInstance(name)->version, "bench", "" });
    }
    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    DiscardingLog log;
    InactiveInstanceManager instanceManager;
    maintenance::PoolController controller("entry-0", instanceManager, log, timers, clock);
    fleetlog::StateUpdate stateUpdate;
    stateUpdate.state = fixture.stateMachine.state();
    stateUpdate.caughtUp = true;
    controller.onState(stateUpdate);
    membership::MembershipView membershipView;
    membershipView.leaseExpiry = foundation::SteadyTime::max();
    for (const auto& [name, member] : stateUpdate.state->roster)
        membershipView.members[name] = { member.incarnation, 0, {} };
    for (auto _ : state)
        controller.onMembershipView(membershipView);
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
    std::size_t datagramBytes = 0;
    for (auto _ : state) {
        const std::string datagram = membership::encodeHeartbeat(heartbeat);
        datagramBytes = datagram.size();
        benchmark::DoNotOptimize(membership::decodeHeartbeat(datagram));
    }
    state.counters["bytes"] = static_cast<double>(datagramBytes);
}

/// Adds the fleet sizes, in workers, over which scripts/capacity_report.sh fits the cost as arguments of a benchmark.
void addFleetSizes(benchmark::internal::Benchmark* benchmark)
{
    for (const std::int64_t workers : { 50, 500, 5000, 25000 })
        benchmark->Arg(workers);
}

BENCHMARK(applyTransition)->Apply(addFleetSizes)->Iterations(2000);
BENCHMARK(dispatchRequest)->Apply(addFleetSizes)->Iterations(100000);
BENCHMARK(busyReport)->Apply(addFleetSizes);
BENCHMARK(controllerStep)->Apply(addFleetSizes);
BENCHMARK(heartbeatRoundTrip)->Arg(0)->Arg(8)->Arg(64)->Arg(512);

} // namespace

BENCHMARK_MAIN();
