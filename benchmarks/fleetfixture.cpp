#include "benchmarks/fleetfixture.h"

#include <algorithm>
#include <stdexcept>

namespace turmericsill::benchmarks {

using declarations::ObjectChange;

namespace {

    // Proportions of the size that the project is designed for.
    constexpr std::size_t workersPerPool = 25000 / 123;
    constexpr std::size_t workersPerRack = 4;
    constexpr std::size_t workersPerTeam = 25000 / 370;
    constexpr std::size_t jobsPerTeam = 10;
    constexpr std::size_t entries = 8;

    void append(fleetstate::ConfigChange& change, const declarations::Object& object)
    {
        change.changes.push_back({ ObjectChange::Action::Add, object });
    }

    declarations::Job makeJob(std::size_t index, std::size_t pools, std::size_t teams)
    {
        declarations::Job job;
        job.name = "job-" + std::to_string(index);
        job.pool = FleetFixture::poolName(index % pools);
        job.team = "team-" + std::to_string(index % teams);
        job.tasks = 4;
        return job;
    }

} // namespace

FleetFixture::FleetFixture(std::size_t workerCount)
    : workers(workerCount)
    , pools(std::max<std::size_t>(1, workerCount / workersPerPool))
{
    declare();
}

void FleetFixture::declare()
{
    fleetstate::ConfigChange change;
    const std::size_t teams = std::max<std::size_t>(1, workers / workersPerTeam);
    for (std::size_t index = 0; index < teams; ++index) {
        declarations::Team team;
        team.name = "team-" + std::to_string(index);
        append(change, team);
    }
    for (std::size_t index = 0; index < pools; ++index) {
        declarations::Pool pool;
        pool.name = poolName(index);
        pool.maximumOut = static_cast<std::uint32_t>(workers);
        pool.minimumHealthy = 0;
        append(change, pool);
        declarations::Service service;
        service.name = "service-" + std::to_string(index);
        service.pool = pool.name;
        append(change, service);
    }
    for (std::size_t index = 0; index < workers; ++index) {
        declarations::Instance instance;
        instance.name = "worker-" + std::to_string(index);
        instance.address = "10.0." + std::to_string(index / 250 % 250) + "." + std::to_string(index % 250) + ":8080";
        instance.rack = "rack-" + std::to_string(index / workersPerRack);
        instance.pool = poolName(index % pools);
        instance.cores = 64;
        instance.memoryGb = 128;
        instance.accelerators = 2;
        append(change, instance);
        if (index % workersPerRack == 0)
            append(change, declarations::Rack { instance.rack, "dc" });
    }
    for (std::size_t index = 0; index < teams * jobsPerTeam; ++index)
        append(change, makeJob(index, pools, teams));
    change.operatorName = "bench";
    if (!add(std::move(change)).accepted)
        throw std::logic_error("the fixture's declarations were refused");
    for (std::size_t index = 0; index < entries; ++index) {
        const std::string entry = "entry-" + std::to_string(index);
        add(fleetstate::EntryJoin { entry, 1, "dc", "127.0.0.1:1", "127.0.0.1:2" });
        add(fleetstate::EntryAdmit { entry, 1, "entry-0" });
    }
    for (std::size_t index = 0; index < pools; ++index)
        add(fleetstate::PoolClaim { poolName(index), "entry-0", 1, 0 });
}

fleetstate::Verdict FleetFixture::add(fleetstate::RecordBody body)
{
    const std::uint64_t offset = fold.nextOffset();
    return fold.apply(
        offset, { "bench." + std::to_string(++sequence_), "entry-0", foundation::WallTime(), std::move(body) });
}

void FleetFixture::transitionNext()
{
    const std::string name = "worker-" + std::to_string(nextInstance_ % workers);
    const std::string pool = poolName(nextInstance_ % workers % pools);
    const std::uint64_t version = fold.state()->findPool(pool)->instances.at(name)->version;
    if (step_ == 0)
        add(fleetstate::DrainRequest { name, version, "bench", "" });
    else
        add(fleetstate::InstanceTransition {
            name, version, pool, 1, step_ == 1 ? fleetstate::Lifecycle::Stopped : fleetstate::Lifecycle::Serving });
    step_ = (step_ + 1) % 3;
    nextInstance_ += step_ == 0;
}

void FleetFixture::changeNextJob()
{
    const std::size_t teams = std::max<std::size_t>(1, workers / workersPerTeam);
    declarations::Job job = makeJob(nextJob_ % (teams * jobsPerTeam), pools, teams);
    job.tasks = static_cast<std::uint32_t>(nextJob_ % 100 + 1);
    ++nextJob_;
    fleetstate::ConfigChange change;
    change.baseVersion = fold.state()->configVersion;
    change.operatorName = "bench";
    change.changes.push_back({ ObjectChange::Action::Update, job });
    add(std::move(change));
}

} // namespace turmericsill::benchmarks
