// Benchmarks of the fleet state by fleet size: applying of log records, snapshots, digests, memory and planning of
// changes.

#include "benchmarks/fleetfixture.h"
#include "declarations/differ.h"
#include "declarations/objectcodec.h"
#include "fleetstate/recordcodec.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <map>
#include <memory>

namespace {

using namespace turmericsill;
using benchmarks::FleetFixture;

/// Returns the fixture for a fleet size; it is built once and shared by the benchmarks, which continue from its state.
FleetFixture& sharedFixture(std::int64_t workers)
{
    static std::map<std::int64_t, std::unique_ptr<FleetFixture>> fixtures;
    auto& fixture = fixtures[workers];
    if (!fixture)
        fixture = std::make_unique<FleetFixture>(static_cast<std::size_t>(workers));
    return *fixture;
}

/// Bytes allocated from the heap and not yet freed.
double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

void stateMemory(benchmark::State& state)
{
    double bytes = 0;
    for (auto _ : state) {
        const double bytesBefore = allocatedBytes();
        auto fixture = std::make_unique<FleetFixture>(static_cast<std::size_t>(state.range(0)));
        bytes = allocatedBytes() - bytesBefore;
    }
    state.counters["bytes"] = bytes;
}

// Holds a reference to the state before each record, as readers on other threads do, so that every record includes the
// cost of copy-on-write.
void foldTransition(benchmark::State& state)
{
    FleetFixture& fixture = sharedFixture(state.range(0));
    for (auto _ : state) {
        const auto heldState = fixture.stateMachine.state();
        fixture.advanceDrain();
    }
}

void foldJobChange(benchmark::State& state)
{
    FleetFixture& fixture = sharedFixture(state.range(0));
    for (auto _ : state) {
        const auto heldState = fixture.stateMachine.state();
        fixture.updateNextJob();
    }
}

// Replays one day of changes as a starting entry reads them: in pages, with the state read only between pages.
void replayDay(benchmark::State& state)
{
    constexpr std::size_t changesPerDay = 61000;
    constexpr std::size_t recordsPerPage = 2000;
    FleetFixture& fixture = sharedFixture(state.range(0));
    for (auto _ : state) {
        for (std::size_t changesApplied = 0; changesApplied < changesPerDay; ++changesApplied) {
            if (changesApplied % recordsPerPage == 0)
                benchmark::DoNotOptimize(fixture.stateMachine.state()->digest());
            fixture.updateNextJob();
        }
    }
}

void stateDigest(benchmark::State& state)
{
    FleetFixture& fixture = sharedFixture(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(fixture.stateMachine.state()->digest());
}

void snapshotEncode(benchmark::State& state)
{
    FleetFixture& fixture = sharedFixture(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = fixture.stateMachine.encodeSnapshot().size();
    state.counters["bytes"] = static_cast<double>(bytes);
}

void snapshotDecode(benchmark::State& state)
{
    const std::string snapshot = sharedFixture(state.range(0)).stateMachine.encodeSnapshot();
    for (auto _ : state)
        benchmark::DoNotOptimize(fleetstate::FleetStateMachine::fromSnapshot(snapshot));
}

void declarationPlan(benchmark::State& state)
{
    FleetFixture& fixture = sharedFixture(state.range(0));
    const std::string encodedDeclarations
        = declarations::encodeSet(fixture.stateMachine.state()->declarationSet()).dump();
    for (auto _ : state) {
        const auto desired = declarations::decodeSet(nlohmann::json::parse(encodedDeclarations));
        benchmark::DoNotOptimize(declarations::diff(fixture.stateMachine.state()->declarationSet(), desired));
    }
    state.counters["bytes"] = static_cast<double>(encodedDeclarations.size());
}

void recordDecode(benchmark::State& state)
{
    const std::string payload
        = fleetstate::encodeRecord({ "entry-a.1733290435123.17", "entry-a", foundation::WallTime(),
            fleetstate::InstanceTransition { "worker-12345", 123456, "pool-12", 7, fleetstate::Lifecycle::Stopped } });
    for (auto _ : state)
        benchmark::DoNotOptimize(fleetstate::decodeRecord(payload));
    state.counters["bytes"] = static_cast<double>(payload.size());
}

/// Adds the fleet sizes, in workers, over which scripts/capacity_report.sh fits the cost as arguments of a benchmark.
void addFleetSizes(benchmark::internal::Benchmark* benchmark)
{
    for (const std::int64_t workers : { 50, 500, 5000, 25000 })
        benchmark->Arg(workers);
}

BENCHMARK(stateMemory)->Apply(addFleetSizes)->Iterations(1);
BENCHMARK(foldTransition)->Apply(addFleetSizes)->Iterations(3000);
BENCHMARK(foldJobChange)->Apply(addFleetSizes)->Iterations(1000);
BENCHMARK(replayDay)->Apply(addFleetSizes)->Iterations(1);
BENCHMARK(stateDigest)->Apply(addFleetSizes);
BENCHMARK(snapshotEncode)->Apply(addFleetSizes)->Iterations(5);
BENCHMARK(snapshotDecode)->Apply(addFleetSizes)->Iterations(5);
BENCHMARK(declarationPlan)->Apply(addFleetSizes)->Iterations(3);
BENCHMARK(recordDecode);

} // namespace

BENCHMARK_MAIN();
