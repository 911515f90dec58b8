#pragma once

#include "declarations/types/objects.h"
#include "fleetstate/fleetstatemachine.h"

#include <cstddef>
#include <string>

namespace turmericsill::benchmarks {

/// Builds the state of a fleet with a given number of workers by applying records. The numbers of pools, racks, teams
/// and jobs are in proportion to those of the largest fleet that the project is designed for.
class FleetFixture {
public:
    explicit FleetFixture(std::size_t workers);

    /// Applies a record at the next log offset and returns the result.
    fleetstate::ApplyResult applyRecord(fleetstate::RecordBody body);

    /// Applies one record that takes an instance through the next step of a drain: draining, stopped, serving again.
    /// Three calls complete the drain of one instance; the next call drains the following instance.
    void advanceDrain();

    /// Applies a configuration change that updates one field of the next job, as most configuration changes do.
    void updateNextJob();

    static std::string poolName(std::size_t index) { return "pool-" + std::to_string(index); }

    std::size_t workerCount;
    std::size_t poolCount;
    fleetstate::FleetStateMachine stateMachine;

private:
    /// Applies the records that declare the fleet, admit its entries and claim its pools.
    void declareFleet();

    std::uint64_t lastSequence_ = 0;
    std::size_t nextInstanceIndex_ = 0;
    std::size_t nextJobIndex_ = 0;
    std::size_t nextDrainStep_ = 0;
};

} // namespace turmericsill::benchmarks
