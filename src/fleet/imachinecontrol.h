#pragma once

#include "fleet/types/fleet.h"
#include "foundation/result.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericsill::fleet {

/// How the platform answered an order for a machine.
enum class MachineOrderResult : std::uint8_t {
    Accepted, ///< The platform carries out the order or had done so before.
    Busy, ///< The machine is not up or is leaving.
    Refused, ///< The order was fenced, the machine is not part of the wave, or there is no such machine.
};

/// Authority under which an order for a machine is sent. The platform does not check fencing tokens of machine orders,
/// so an order that has waited must not be sent once another controller may have taken over.
struct MachineOrderAuthority {
    std::uint64_t token = 0; ///< Fencing token of the controller.
    std::function<bool()> isInForce; ///< Called right before the order is sent; the order is dropped unless it is.
};

/// Sends orders for machines to the platform. After Errc::Unavailable an order was not carried out; after any other
/// error it may have been.
class IMachineControl {
public:
    using ListCallback = std::function<void(foundation::Result<std::vector<MachineReport>>)>;
    using OrderCallback = std::function<void(foundation::Result<MachineOrderResult>)>;

    virtual ~IMachineControl() = default;

    /// Lists all machines, following the pages of the list.
    virtual void list(ListCallback done) = 0;

    /// Ends all runs on the machine and moves it to another pool.
    virtual void move(
        const std::string& machine, const std::string& pool, MachineOrderAuthority authority, OrderCallback done)
        = 0;

    /// Ends all runs on the machine and starts its maintenance as part of a wave.
    virtual void startMaintenance(
        const std::string& machine, std::uint64_t wave, MachineOrderAuthority authority, OrderCallback done)
        = 0;
};

} // namespace turmericsill::fleet
