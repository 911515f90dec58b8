#pragma once

#include "fleet/types/fleet.h"
#include "jobs/types/job.h"

namespace turmericsill::scheduling {

using foundation::milliseconds;

/// Estimated duration of a task; a typical one for tasks without an estimate.
milliseconds taskDuration(const jobs::StepSpec& step);

/// Estimated duration of the longest chain of steps that depend on each other, with room for all tasks at once.
milliseconds criticalPath(const jobs::JobSpec& spec);

/// The same of the steps that are not done, of a job without a schedule.
milliseconds remainingCriticalPath(const jobs::Job& job);

/// Time from the submission of a job within which its queue expects it to be completed. Estimated like the critical
/// path that it is a multiple of.
milliseconds completionObjective(const fleet::Queue& queue, const jobs::JobSpec& spec);

} // namespace turmericsill::scheduling
