#pragma once

#include "foundation/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::fleetlog {

/// A snapshot as it stands in its stream, put together again.
struct AssembledSnapshot {
    std::uint64_t nextOffset = 0; ///< First offset of the system's stream that it does not contain.
    std::string bytes;
};

/// Cuts a snapshot into records of the snapshots' stream.
std::vector<std::string> splitSnapshot(const std::string& id, std::uint64_t nextOffset, const std::string& bytes);

/// The newest snapshot of which every part is among the records, in the order of the stream.
/// Parts of several writers may be mixed; damaged records are passed over.
std::optional<AssembledSnapshot> assembleNewest(const std::vector<std::string>& records);

} // namespace turmericsill::fleetlog
