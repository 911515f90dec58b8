#pragma once

#include "declarations/types/objects.h"
#include "fleetstate/fold.h"

#include <cstddef>
#include <string>

namespace turmericsill::benchmarks {

/// Builds the state of a fleet of a given size by folding records, with the letter's proportions.
class FleetFixture {
public:
    explicit FleetFixture(std::size_t workers);

    /// Folds a record and returns its verdict.
    fleetstate::Verdict add(fleetstate::RecordBody body);

    /// Puts the next instance through one step of a drain; each call appends one record.
    void transitionNext();

    /// Changes one field of one job, as most configuration changes do.
    void changeNextJob();

    static std::string poolName(std::size_t index) { return "pool-" + std::to_string(index); }

    std::size_t workers;
    std::size_t pools;
    fleetstate::Fold fold;

private:
    void declare();

    std::uint64_t sequence_ = 0;
    std::size_t nextInstance_ = 0;
    std::size_t nextJob_ = 0;
    std::size_t step_ = 0;
};

} // namespace turmericsill::benchmarks
