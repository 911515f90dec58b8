#pragma once

#include "fleetstate/types/records.h"
#include "foundation/iclock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace turmericsill::maintenance {

/// Next action of the controller for one instance.
enum class DrainAction : std::uint8_t {
    None,
    RecordStopped, ///< Append the transition out of draining.
    StartReboot, ///< Request the reboot from the platform; idempotent.
    QueryReboot,
    RecordServing, ///< Append the transition from stopped to serving.
};

/// State machine of the drain of one instance, as its controller sees it.
///
/// The phases are Waiting, Stopping, Rebooting, Polling and Returning, in this order. The initial phase follows from
/// the log, so that another controller can resume a drain at any step.
class DrainStateMachine {
public:
    enum class Phase : std::uint8_t { Waiting, Stopping, Rebooting, Polling, Returning };

    explicit DrainStateMachine(fleetstate::Lifecycle lifecycle);
    ~DrainStateMachine();

    DrainStateMachine(const DrainStateMachine&) = delete;
    DrainStateMachine& operator=(const DrainStateMachine&) = delete;

    /// All entries have applied the drain and have no requests in progress on the instance.
    void onIdle();

    /// The log shows the instance as stopped.
    void onStopped();

    /// A record was not accepted, or its outcome is unknown. The step is repeated from the state in the log.
    void onRecordFailed();

    /// The platform accepted the reboot.
    void onRebootAccepted();

    /// The platform does not know the operation, for example because it lost the request.
    void onRebootUnknown();

    void onRebootDone();

    Phase phase() const;

    /// Action that the current phase requires.
    DrainAction action() const;

private:
    class Machine;

    std::unique_ptr<Machine> machine_;
};

} // namespace turmericsill::maintenance
