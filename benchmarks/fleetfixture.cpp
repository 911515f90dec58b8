#include "benchmarks/fleetfixture.h"

#include <algorithm>
#include <stdexcept>

namespace turmericsill::benchmarks {

using declarations::ObjectChange;

namespace {

    // Proportions of the design size: 25,000 workers in 123 pools, and 370 teams.
    constexpr std::size_t workersPerPool = 25000 / 123;
    constexpr std::size_t workersPerRack = 4;
    constexpr std::size_t workersPerTeam = 25000 / 370;
    constexpr std::size_t jobsPerTeam = 10;
    constexpr std::size_t entryCount = 8;

    void addObject(fleetstate::ConfigChange& change, const declarations::Object& object)
    {
        change.changes.push_back({ ObjectChange::Action::Add, object });
    }

    declarations::Job makeJob(std::size_t index, std::size_t poolCount, std::size_t teamCount)
    {
        declarations::Job job;
        job.name = "job-" + std::to_string(index);
        job.pool = FleetFixture::poolName(index % poolCount);
        job.team = "team-" + std::to_string(index % teamCount);
        job.tasks = 4;
        return job;
    }

} // namespace

FleetFixture::FleetFixture(std::size_t workers)
    : workerCount(workers)
    , poolCount(std::max<std::size_t>(1, workers / workersPerPool))
{
    declareFleet();
}

void FleetFixture::declareFleet()
{
    fleetstate::ConfigChange change;
    const std::size_t teamCount = std::max<std::size_t>(1, workerCount / workersPerTeam);
    for (std::size_t index = 0; index < teamCount; ++index) {
        declarations::Team team;
        team.name = "team-" + std::to_string(index);
        addObject(change, team);
    }
    for (std::size_t index = 0; index < poolCount; ++index) {
        declarations::Pool pool;
        pool.name = poolName(index);
        pool.maximumOut = static_cast<std::uint32_t>(workerCount);
        pool.minimumHealthy = 0;
        addObject(change, pool);
        declarations::Service service;
        service.name = "service-" + std::to_string(index);
        service.pool = pool.name;
        addObject(change, service);
    }
    for (std::size_t index = 0; index < workerCount; ++index) {
        declarations::Instance instance;
        instance.name = "worker-" + std::to_string(index);
        instance.address = "10.0." + std::to_string(index / 250 % 250) + "." + std::to_string(index % 250) + ":8080";
        instance.rack = "rack-" + std::to_string(index / workersPerRack);
        instance.pool = poolName(index % poolCount);
        instance.cores = 64;
        instance.memoryGb = 128;
        instance.accelerators = 2;
        addObject(change, instance);
        if (index % workersPerRack == 0)
            addObject(change, declarations::Rack { instance.rack, "dc" });
    }
    for (std::size_t index = 0; index < teamCount * jobsPerTeam; ++index)
        addObject(change, makeJob(index, poolCount, teamCount));
    change.operatorName = "bench";
    if (!applyRecord(std::move(change)).accepted)
        throw std::logic_error("FleetFixture: the fleet's declarations were rejected");
    for (std::size_t index = 0; index < entryCount; ++index) {
        const std::string entry = "entry-" + std::to_string(index);
        applyRecord(fleetstate::EntryJoin { entry, 1, "dc", "127.0.0.1:1", "127.0.0.1:2" });
        applyRecord(fleetstate::EntryAdmit { entry, 1, "entry-0" });
    }
    for (std::size_t index = 0; index < poolCount; ++index)
        applyRecord(fleetstate::PoolClaim { poolName(index), "entry-0", 1, 0 });
}

fleetstate::ApplyResult FleetFixture::applyRecord(fleetstate::RecordBody body)
{
    const std::uint64_t offset = stateMachine.nextOffset();
    return stateMachine.apply(
        offset, { "bench." + std::to_string(++lastSequence_), "entry-0", foundation::WallTime(), std::move(body) });
}

void FleetFixture::advanceDrain()
{
    const std::string name = "worker-" + std::to_string(nextInstanceIndex_ % workerCount);
    const std::string pool = poolName(nextInstanceIndex_ % workerCount % poolCount);
    const std::uint64_t version = stateMachine.state()->findPool(pool)->instances.at(name)->version;
    if (nextDrainStep_ == 0)
        applyRecord(fleetstate::DrainRequest { name, version, "bench", "" });
    else
        applyRecord(fleetstate::InstanceTransition { name, version, pool, 1,
            nextDrainStep_ == 1 ? fleetstate::Lifecycle::Stopped : fleetstate::Lifecycle::Serving });
    nextDrainStep_ = (nextDrainStep_ + 1) % 3;
    nextInstanceIndex_ += nextDrainStep_ == 0;
}

void FleetFixture::updateNextJob()
{
    const std::size_t teamCount = std::max<std::size_t>(1, workerCount / workersPerTeam);
    declarations::Job job = makeJob(nextJobIndex_ % (teamCount * jobsPerTeam), poolCount, teamCount);
    job.tasks = static_cast<std::uint32_t>(nextJobIndex_ % 100 + 1);
    ++nextJobIndex_;
    fleetstate::ConfigChange change;
    change.baseVersion = stateMachine.state()->configVersion;
    change.operatorName = "bench";
    change.changes.push_back({ ObjectChange::Action::Update, job });
    applyRecord(std::move(change));
}

} // namespace turmericsill::benchmarks
