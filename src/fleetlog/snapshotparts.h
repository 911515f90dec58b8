#pragma once

#include "foundation/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::fleetlog {

/// Snapshot that was reassembled from its parts.
struct AssembledSnapshot {
    std::uint64_t nextOffset = 0; ///< First offset of the fleet log that the snapshot does not contain.
    std::string bytes;
};

/// Splits a snapshot into records for the snapshot stream.
std::vector<std::string> splitSnapshot(const std::string& id, std::uint64_t nextOffset, const std::string& bytes);

/// Reassembles the snapshot with the highest offset of which all parts are among the records; std::nullopt if there is
/// none. Parts of several writers may be interleaved; damaged records are ignored.
std::optional<AssembledSnapshot> assembleNewest(const std::vector<std::string>& records);

} // namespace turmericsill::fleetlog
