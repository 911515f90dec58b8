#pragma once

#include "fleetlog/types/stateupdate.h"
#include "fleetstate/fold.h"
#include "foundation/itimerqueue.h"
#include "platform/ilogclient.h"

#include <string>

namespace turmericsill::fleetlog {

/// Writes snapshots into their stream, well before the log drops the records that they contain.
/// One entry writes, the rendezvous winner among the admitted; a second writer would do no harm.
class SnapshotWriter {
public:
    SnapshotWriter(platform::ILogClient& log, std::string stream, std::string entry, std::uint64_t recordsBetween);

    /// Decides after each update whether a snapshot is due.
    void onUpdate(const StateUpdate& update, const fleetstate::Fold& fold);

    /// A snapshot that is known to be in the stream.
    void onKnown(std::uint64_t nextOffset);

    std::uint64_t written() const { return written_; }

private:
    platform::ILogClient& log_;
    std::string stream_;
    std::string entry_;
    std::uint64_t recordsBetween_;
    std::uint64_t lastOffset_ = 0;
    std::uint64_t written_ = 0;
    bool writing_ = false;
};

} // namespace turmericsill::fleetlog
