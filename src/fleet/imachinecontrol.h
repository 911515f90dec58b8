#pragma once

#include "fleet/types/fleet.h"
#include "foundation/result.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericsill::fleet {

/// What became of an order for a machine.
enum class MachineVerdict : std::uint8_t {
    Accepted, ///< Also when it was done already.
    Busy, ///< The machine is not up or is leaving.
    Refused, ///< Fenced, not of the wave, or no such machine.
};

/// The platform's control of machines. An error leaves open whether an order was carried out, except
/// Errc::Unavailable: it was not.
class IMachineControl {
public:
    using ListCallback = std::function<void(foundation::Result<std::vector<MachineReport>>)>;
    using OrderCallback = std::function<void(foundation::Result<MachineVerdict>)>;

    virtual ~IMachineControl() = default;

    /// All machines, over as many pages as there are.
    virtual void list(ListCallback done) = 0;

    /// Ends everything on the machine and gives it to another pool.
    virtual void move(const std::string& machine, const std::string& pool, std::uint64_t token, OrderCallback done) = 0;

    /// Ends everything on the machine for its upkeep.
    virtual void beginUpkeep(const std::string& machine, std::uint64_t wave, std::uint64_t token, OrderCallback done)
        = 0;
};

} // namespace turmericsill::fleet
