#pragma once

#include "fleet/types/fleet.h"
#include "foundation/result.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::fleet {

/// Declarations of the operators: all of them after a load, those that changed after a watch.
struct OperatorChanges {
    std::optional<FleetConfiguration> configuration; ///< Empty when the read brought none.
    std::vector<MaintenanceWave> waves;
    std::uint64_t nextOffset = 0; ///< Offset at which the next watch begins.
};

/// The current report of an instance.
struct InstanceChange {
    std::string instance;
    std::optional<InstanceReport> report; ///< Empty when the report was removed.
};

struct InstanceChanges {
    std::vector<InstanceChange> changes;
    std::uint64_t nextOffset = 0; ///< Offset at which the next watch begins.
    /// Instances with an entry that cannot be decoded. What they reported before holds.
    std::set<std::string> undecodable;
    bool isComplete = false; ///< The changes hold the reports of all instances; a missing instance has none any more.
};

/// Source of what operators declare and instances report. Records of other writers are skipped and counted.
class IFleetSource {
public:
    using OperatorCallback = std::function<void(foundation::Result<OperatorChanges>)>;
    using InstanceCallback = std::function<void(foundation::Result<InstanceChanges>)>;

    virtual ~IFleetSource() = default;

    /// Reads all current declarations, whatever was read before.
    virtual void loadDeclarations(OperatorCallback done) = 0;

    /// Reads the changes from offset `from` on, up to the present; waits up to `wait` for the first one.
    /// Errc::RetentionPassed: changes from `from` on are no longer retained; call loadDeclarations() again.
    virtual void watchDeclarations(std::uint64_t from, milliseconds wait, OperatorCallback done) = 0;

    /// Whether parts of the declarations that are being read have arrived lately. A large answer takes a slow link a
    /// second, and further reads beside it would take their share of the link.
    virtual bool isReceivingDeclarations() const = 0;

    /// Reads the reports of all instances.
    virtual void loadInstances(InstanceCallback done) = 0;

    /// Reads changed reports in the same way as watchDeclarations() reads declarations. Returns the reports of all
    /// instances instead if too much has changed.
    virtual void watchInstances(std::uint64_t from, milliseconds wait, InstanceCallback done) = 0;

    /// Reports to the operators that a maintenance wave has started or is completed.
    virtual void reportWave(std::uint64_t wave, bool completed, std::function<void(foundation::Result<void>)> done) = 0;
};

} // namespace turmericsill::fleet
