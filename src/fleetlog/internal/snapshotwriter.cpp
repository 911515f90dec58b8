#include "fleetlog/snapshotwriter.h"

#include "fleetlog/snapshotparts.h"
#include "foundation/hash.h"

#include <algorithm>
#include <utility>

namespace turmericsill::fleetlog {

namespace {

    constexpr foundation::milliseconds appendTimeout { 30000 };

} // namespace

SnapshotWriter::SnapshotWriter(
    platform::ILogClient& log, std::string stream, std::string entry, std::uint64_t recordsPerSnapshot)
    : log_(log)
    , stream_(std::move(stream))
    , entry_(std::move(entry))
    , recordsPerSnapshot_(recordsPerSnapshot)
{
}

void SnapshotWriter::onSnapshotStored(std::uint64_t nextOffset)
{
    lastSnapshotOffset_ = std::max(lastSnapshotOffset_, nextOffset);
}

void SnapshotWriter::onUpdate(const StateUpdate& update, const fleetstate::FleetStateMachine& stateMachine)
{
    const bool isDue = stateMachine.nextOffset() >= lastSnapshotOffset_ + recordsPerSnapshot_;
    if (!isDue || isWriting_ || !update.caughtUp || !update.logReachable)
        return;
    if (foundation::rendezvousOwner(stream_, update.state->admittedEntries()) != entry_)
        return;
    isWriting_ = true;
    const std::uint64_t offset = stateMachine.nextOffset();
    const std::string id = entry_ + "." + std::to_string(offset);
    log_.append(stream_, splitSnapshot(id, offset, stateMachine.encodeSnapshot()), appendTimeout,
        [this, offset](const foundation::Result<std::uint64_t>& answer) {
            isWriting_ = false;
            // After a lost response a snapshot is written again; at the same offset it has the same id, so its parts
            // match.
            if (!answer)
                return;
            onSnapshotStored(offset);
            ++writtenCount_;
        });
}

} // namespace turmericsill::fleetlog
