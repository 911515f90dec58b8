#pragma once

#include "fleetlog/types/stateupdate.h"
#include "fleetstate/fleetstatemachine.h"
#include "foundation/itimerqueue.h"
#include "platform/ilogclient.h"

#include <string>

namespace turmericsill::fleetlog {

/// Appends snapshots to the snapshot stream, well before the fleet log drops the records that they contain.
/// Rendezvous hashing selects one of the admitted entries as the writer; a second writer would be harmless.
class SnapshotWriter {
public:
    SnapshotWriter(platform::ILogClient& log, std::string stream, std::string entry, std::uint64_t recordsPerSnapshot);

    /// Writes a snapshot if one is due.
    void onUpdate(const StateUpdate& update, const fleetstate::FleetStateMachine& stateMachine);

    /// Notes that the stream holds a snapshot with this offset.
    void onSnapshotStored(std::uint64_t nextOffset);

    /// Number of snapshots written so far.
    std::uint64_t writtenCount() const { return writtenCount_; }

private:
    platform::ILogClient& log_;
    std::string stream_;
    std::string entry_;
    std::uint64_t recordsPerSnapshot_;
    std::uint64_t lastSnapshotOffset_ = 0;
    std::uint64_t writtenCount_ = 0;
    bool isWriting_ = false;
};

} // namespace turmericsill::fleetlog
