#pragma once

#include "fleet/types/fleet.h"
#include "foundation/result.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::fleet {

/// Operators' declarations that are new since the last read.
struct OperatorChanges {
    std::optional<FleetConfiguration> configuration;
    std::vector<UpkeepWave> waves;
    std::uint64_t next = 0; ///< Where the next read begins.
};

/// An instance's entry as it is now.
struct InstanceChange {
    std::string instance;
    std::optional<InstanceReport> report; ///< Nothing: the entry was removed.
};

struct InstanceChanges {
    std::vector<InstanceChange> changes;
    std::uint64_t next = 0;
};

/// What operators and instances publish. Entries of other writers are left out and counted.
class IFleetSource {
public:
    using OperatorCallback = std::function<void(foundation::Result<OperatorChanges>)>;
    using InstanceCallback = std::function<void(foundation::Result<InstanceChanges>)>;

    virtual ~IFleetSource() = default;

    /// All that stands, whatever was read before.
    virtual void loadDeclarations(OperatorCallback done) = 0;

    /// Changes from `from` on; waits up to `wait` for the first.
    /// Errc::RetentionPassed: load again.
    virtual void watchDeclarations(std::uint64_t from, milliseconds wait, OperatorCallback done) = 0;

    virtual void loadInstances(InstanceCallback done) = 0;
    virtual void watchInstances(std::uint64_t from, milliseconds wait, InstanceCallback done) = 0;

    /// Reports the progress of a wave to the operators.
    virtual void reportWave(std::uint64_t wave, bool completed, std::function<void(foundation::Result<void>)> done) = 0;
};

} // namespace turmericsill::fleet
