// Cost of the log's fold, snapshots and digests by the size of the fleet.

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

FleetFixture& fixtureOf(std::int64_t workers)
{
    static std::map<std::int64_t, std::unique_ptr<FleetFixture>> fixtures;
    auto& fixture = fixtures[workers];
    if (!fixture)
        fixture = std::make_unique<FleetFixture>(static_cast<std::size_t>(workers));
    return *fixture;
}

/// Bytes that the allocator has handed out.
double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

void stateMemory(benchmark::State& state)
{
    double bytes = 0;
    for (auto _ : state) {
        const double before = allocatedBytes();
        auto fixture = std::make_unique<FleetFixture>(static_cast<std::size_t>(state.range(0)));
        bytes = allocatedBytes() - before;
    }
    state.counters["bytes"] = bytes;
}

// A reader holds the state before each record, as the other duties do, so every record pays for its copies.
void foldTransition(benchmark::State& state)
{
    FleetFixture& fixture = fixtureOf(state.range(0));
    for (auto _ : state) {
        const auto held = fixture.fold.state();
        fixture.transitionNext();
    }
}

void foldJobChange(benchmark::State& state)
{
    FleetFixture& fixture = fixtureOf(state.range(0));
    for (auto _ : state) {
        const auto held = fixture.fold.state();
        fixture.changeNextJob();
    }
}

// A day's changes as a start reads them: in pages, with a reader only between pages.
void replayDay(benchmark::State& state)
{
    constexpr std::size_t changesPerDay = 61000;
    constexpr std::size_t pageRecords = 2000;
    FleetFixture& fixture = fixtureOf(state.range(0));
    for (auto _ : state) {
        for (std::size_t done = 0; done < changesPerDay; ++done) {
            if (done % pageRecords == 0)
                benchmark::DoNotOptimize(fixture.fold.state()->digest());
            fixture.changeNextJob();
        }
    }
}

void stateDigest(benchmark::State& state)
{
    FleetFixture& fixture = fixtureOf(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(fixture.fold.state()->digest());
}

void snapshotEncode(benchmark::State& state)
{
    FleetFixture& fixture = fixtureOf(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = fixture.fold.encodeSnapshot().size();
    state.counters["bytes"] = static_cast<double>(bytes);
}

void snapshotDecode(benchmark::State& state)
{
    const std::string snapshot = fixtureOf(state.range(0)).fold.encodeSnapshot();
    for (auto _ : state)
        benchmark::DoNotOptimize(fleetstate::Fold::fromSnapshot(snapshot));
}

void declarationPlan(benchmark::State& state)
{
    FleetFixture& fixture = fixtureOf(state.range(0));
    const std::string text = declarations::encodeSet(fixture.fold.state()->declarationSet()).dump();
    for (auto _ : state) {
        const auto wanted = declarations::decodeSet(nlohmann::json::parse(text));
        benchmark::DoNotOptimize(declarations::diff(fixture.fold.state()->declarationSet(), wanted));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
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

/// The sizes that slopes are fitted over.
void sizes(benchmark::internal::Benchmark* benchmark)
{
    for (const std::int64_t workers : { 50, 500, 5000, 25000 })
        benchmark->Arg(workers);
}

BENCHMARK(stateMemory)->Apply(sizes)->Iterations(1);
BENCHMARK(foldTransition)->Apply(sizes)->Iterations(3000);
BENCHMARK(foldJobChange)->Apply(sizes)->Iterations(1000);
BENCHMARK(replayDay)->Apply(sizes)->Iterations(1);
BENCHMARK(stateDigest)->Apply(sizes);
BENCHMARK(snapshotEncode)->Apply(sizes)->Iterations(5);
BENCHMARK(snapshotDecode)->Apply(sizes)->Iterations(5);
BENCHMARK(declarationPlan)->Apply(sizes)->Iterations(3);
BENCHMARK(recordDecode);

} // namespace

BENCHMARK_MAIN();
