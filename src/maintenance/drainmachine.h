#pragma once

#include "fleetstate/types/records.h"
#include "foundation/iclock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace turmericsill::maintenance {

/// What the controller does next for one instance.
enum class DrainAction : std::uint8_t {
    None,
    RecordStopped, ///< Append the transition out of draining.
    StartReboot, ///< Ask the platform; safe to repeat.
    QueryReboot,
    RecordServing, ///< Append the transition back to service.
};

/// The controller's view of one instance's planned work.
///
/// Waiting -> Stopping -> Rebooting -> Returning. It starts in the phase that the log shows,
/// so that another controller can go on at any step.
class DrainMachine {
public:
    enum class Phase : std::uint8_t { Waiting, Stopping, Rebooting, Polling, Returning };

    explicit DrainMachine(fleetstate::Lifecycle lifecycle);
    ~DrainMachine();

    DrainMachine(const DrainMachine&) = delete;
    DrainMachine& operator=(const DrainMachine&) = delete;

    /// Every entry instance has applied the drain and has nothing in progress on the instance.
    void onQuiet();

    /// The log shows the instance as stopped.
    void onStopped();

    /// A record was not accepted, or its fate is unknown: the step is taken again from what the log shows.
    void onRecordFailed();

    /// The platform took the reboot.
    void onRebootTaken();

    /// The platform does not know the operation, for example after it lost the request.
    void onRebootUnknown();

    void onRebootDone();

    Phase phase() const;

    /// What to do in the present phase.
    DrainAction action() const;

private:
    class Machine;

    std::unique_ptr<Machine> machine_;
};

} // namespace turmericsill::maintenance
