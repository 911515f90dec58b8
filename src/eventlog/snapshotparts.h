#pragma once

#include "eventlog/isnapshotstore.h"
#include "jobs/types/recordlimits.h"

#include <cstddef>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// Divides an entry over as many as the store needs to accept it: parts under keys of their own, which hold the name
/// `generation`, and last the entry itself, which tells of its parts. An entry that the store accepts remains as it is.
/// Parts of another generation are not overwritten, so the entry that tells of them stays complete until it is
/// replaced.
std::vector<SnapshotEntry> divideEntry(
    SnapshotEntry entry, const std::string& generation, const jobs::RecordLimits& limits);

/// Entries of a snapshot store with the values of divided entries put together.
struct JoinedSnapshot {
    std::vector<SnapshotEntry> entries;
    std::vector<std::string> partKeys; ///< Keys of all parts, also of those that no entry tells of any more.
    std::size_t incompleteEntries = 0; ///< Number of entries that are left out, since a part of them is missing.
};

JoinedSnapshot joinEntries(std::vector<SnapshotEntry> stored);

} // namespace turmericsill::eventlog
