#include "fleetlog/fleetlog.h"

#include "fleetstate/recordcodec.h"

#include <utility>

namespace turmericsill::fleetlog {

namespace {

    constexpr foundation::milliseconds submitTimeout { 10000 };

} // namespace

FleetLog::FleetLog(platform::ILogClient& log, foundation::ITimerQueue& timers, const foundation::IClock& clock,
    const std::string& stream, const std::string& entry, std::uint64_t incarnation,
    foundation::milliseconds appendInterval)
    : clock_(clock)
    , entry_(entry)
    , incarnation_(incarnation)
    , follower_(log, timers, clock, stream)
    , writer_(log, timers, clock, stream, appendInterval)
{
    follower_.onRecordApplied(
        [this](const fleetstate::ApplyResult& applyResult) { writer_.onRecordApplied(applyResult); });
}

void FleetLog::submit(fleetstate::RecordBody body, LogWriter::Callback done)
{
    std::string id = entry_ + "." + std::to_string(incarnation_) + "." + std::to_string(nextSequence_++);
    submitWithId(id, std::move(body), std::move(done));
}

void FleetLog::submitWithId(const std::string& id, fleetstate::RecordBody body, LogWriter::Callback done)
{
    fleetstate::Record record { id, entry_, clock_.wallNow(), std::move(body) };
    writer_.submit(record, submitTimeout, std::move(done));
}

} // namespace turmericsill::fleetlog
