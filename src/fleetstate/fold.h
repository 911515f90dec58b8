#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/result.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

namespace turmericsill::fleetstate {

/// Deterministic fold of the system's stream. Each record is decided at its place in the log:
/// one whose precondition fails there is a no-op on every entry. Used by one thread.
class Fold {
public:
    Fold();

    /// Folds the payload at `offset`, which must be the next one.
    /// Errc::UnknownRecord: a newer program wrote it; nothing is folded and the entry must not go on.
    foundation::Result<Verdict> applyPayload(std::uint64_t offset, std::string_view payload);

    /// Folds one record at `offset`.
    Verdict apply(std::uint64_t offset, const Record& record);

    /// The state so far. Later records never change what was returned.
    FleetStatePtr state() const { return state_; }

    std::uint64_t nextOffset() const { return state_->nextOffset; }

    /// Self-contained encoding of the state, and the fold restored from it.
    std::string encodeSnapshot() const;
    static foundation::Result<Fold> fromSnapshot(std::string_view snapshot);

private:
    bool rememberId(const std::string& id);
    FleetState& mutableState();

    boost::intrusive_ptr<FleetState> state_;
    std::unordered_set<std::uint64_t> recentIds_;
    std::deque<std::uint64_t> recentIdOrder_;
};

} // namespace turmericsill::fleetstate
