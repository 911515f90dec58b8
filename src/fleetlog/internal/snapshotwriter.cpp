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
    platform::ILogClient& log, std::string stream, std::string entry, std::uint64_t recordsBetween)
    : log_(log)
    , stream_(std::move(stream))
    , entry_(std::move(entry))
    , recordsBetween_(recordsBetween)
{
}

void SnapshotWriter::onKnown(std::uint64_t nextOffset) { lastOffset_ = std::max(lastOffset_, nextOffset); }

void SnapshotWriter::onUpdate(const StateUpdate& update, const fleetstate::Fold& fold)
{
    const bool due = fold.nextOffset() >= lastOffset_ + recordsBetween_;
    if (!due || writing_ || !update.caughtUp || !update.logReachable)
        return;
    if (foundation::rendezvousWinner(stream_, update.state->admittedEntries()) != entry_)
        return;
    writing_ = true;
    const std::uint64_t offset = fold.nextOffset();
    const std::string id = entry_ + "." + std::to_string(offset);
    log_.append(stream_, splitSnapshot(id, offset, fold.encodeSnapshot()), appendTimeout,
        [this, offset](const foundation::Result<std::uint64_t>& answer) {
            writing_ = false;
            // An answer that was lost leads to the same snapshot once more, under the same id.
            if (!answer)
                return;
            onKnown(offset);
            ++written_;
        });
}

} // namespace turmericsill::fleetlog
