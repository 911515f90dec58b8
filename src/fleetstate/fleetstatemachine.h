#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/result.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

namespace turmericsill::fleetstate {

/// Deterministic state machine that every entry replicates by applying the records of the fleet log. The precondition
/// of each record is checked at the record's offset; a record whose precondition fails there is a no-op on every entry.
/// Not thread-safe.
class FleetStateMachine {
public:
    FleetStateMachine();

    /// Decodes and applies the payload at `offset`, which must equal `nextOffset()`.
    /// Errc::UnknownRecord: a newer version of the program wrote the record; the state is unchanged, and the entry
    /// must stop applying records because its state would diverge from that of the others.
    foundation::Result<ApplyResult> applyPayload(std::uint64_t offset, std::string_view payload);

    /// Applies one decoded record at `offset`, which must equal `nextOffset()`.
    ApplyResult apply(std::uint64_t offset, const Record& record);

    /// The state after the last applied record. A returned state is immutable: later records produce a new one.
    FleetStatePtr state() const { return state_; }

    std::uint64_t nextOffset() const { return state_->nextOffset; }

    /// Encodes the state and the ids that are needed to recognise repeated records.
    std::string encodeSnapshot() const;

    /// Restores a state machine that continues after the last record contained in the snapshot.
    static foundation::Result<FleetStateMachine> fromSnapshot(std::string_view snapshot);

private:
    /// Returns false if the id was applied recently.
    bool addRecentId(const std::string& id);
    /// The state for editing; copied first if it was published.
    FleetState& mutableState();

    boost::intrusive_ptr<FleetState> state_;
    std::unordered_set<std::uint64_t> recentIdHashes_; ///< Hashes of the ids of the most recent records.
    std::deque<std::uint64_t> recentIdHashOrder_; ///< The same hashes, oldest first, for eviction.
};

} // namespace turmericsill::fleetstate
