#include "control/internal/storablecheckpoint.h"

#include "jobs/appendbuilder.h"

namespace turmericsill::control {

jobs::RunEnded withStorableCheckpoint(
    const jobs::RunEnded& record, const jobs::RecordLimits& limits, telemetry::IEventSink& events)
{
    jobs::RunEnded storable = record;
    if (jobs::fitsRecord(record, limits))
        return storable;
    events.write("checkpoint.dropped",
        { { "task", jobs::toText(record.task) }, { "run", std::uint64_t(record.run) },
            { "bytes", std::uint64_t(record.checkpoint.size()) } });
    storable.checkpoint.clear();
    return storable;
}

} // namespace turmericsill::control
