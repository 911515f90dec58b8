#pragma once

#include "control/types/leaseterms.h"

namespace turmericsill::control {

/// Bounds that the controller keeps.
struct ControlSettings {
    LeaseTerms lease;
    milliseconds statusRetention { 130000 }; ///< How long a final job is reported; the platform asks for 120 s.
    milliseconds snapshotInterval { 60000 }; ///< A fifth of the time that the log keeps its records.
    milliseconds holderInterval { 3000 }; ///< Orders for one machine by two holders lie at least this far apart.
};

} // namespace turmericsill::control
