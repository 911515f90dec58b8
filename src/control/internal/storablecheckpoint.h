#pragma once

#include "jobs/types/recordlimits.h"
#include "jobs/types/records.h"
#include "telemetry/ieventsink.h"

namespace turmericsill::control {

/// The end of a run as the log can store it: without its checkpoint if the record is too large with it. The end has to
/// be stored in any case; the task keeps the checkpoint before.
jobs::RunEnded withStorableCheckpoint(
    const jobs::RunEnded& record, const jobs::RecordLimits& limits, telemetry::IEventSink& events);

} // namespace turmericsill::control
