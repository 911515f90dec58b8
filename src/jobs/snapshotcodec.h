#pragma once

#include "foundation/result.h"
#include "jobs/types/job.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace turmericsill::jobs {

/// What a snapshot holds besides the jobs.
struct SnapshotHead {
    std::uint64_t offset = 0; ///< The log is to be read from here on; what stands before is in the snapshot.
    std::deque<Claimed> claims;
    std::set<std::pair<std::uint64_t, std::string>> upkeepBegun; ///< Wave and machine.
    std::map<std::uint64_t, milliseconds> wavesSeen; ///< Time of day at which each wave was learned of.
    std::deque<JobId> cancelledUnknown; ///< Cancelled before they were submitted, the oldest first.
};

/// Encodes a job with its runs, and back. Errc::UnknownRecord: the bytes are damaged or of a later version.
std::string encodeJob(const Job& job);
foundation::Result<std::unique_ptr<Job>> decodeJob(std::string_view bytes);

std::string encodeHead(const SnapshotHead& head);
foundation::Result<SnapshotHead> decodeHead(std::string_view bytes);

} // namespace turmericsill::jobs
