#pragma once

#include "foundation/iclock.h"
#include "jobs/types/records.h"

#include <optional>

namespace turmericsill::control {

/// Examines submissions of new jobs before they are stored.
class ISubmissionGate {
public:
    virtual ~ISubmissionGate() = default;

    /// Records in the submission whether it is beyond its team's rate. Returns the delay after which the job may be
    /// submitted again if it is rejected, which it can only be if `mayReject`.
    virtual std::optional<foundation::milliseconds> examine(jobs::JobSubmitted& submission, bool mayReject) = 0;
};

} // namespace turmericsill::control
