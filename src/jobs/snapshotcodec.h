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

/// Content of a snapshot other than the jobs.
struct SnapshotHeader {
    std::uint64_t offset = 0; ///< First log offset that the snapshot does not cover; reading resumes here.
    std::deque<ControlClaimed> claims; ///< Latest claims of control, oldest first.
    /// Wave and machine whose maintenance has started.
    std::set<std::pair<std::uint64_t, std::string>> startedMaintenance;
    std::map<std::uint64_t, milliseconds> waveFirstSeenTimes; ///< Wall-clock time when each wave was first seen.
    std::deque<JobId> unknownCancellations; ///< Jobs cancelled before their submission was read, oldest first.
    std::map<std::string, InstanceRestarted> restarts; ///< Latest restart of each instance. Key: its name.
};

/// Encodes a job with the state of its tasks.
std::string encodeJob(const Job& job);

/// Encodes a final job without active runs with no more than what is reported about it. Its records have no further
/// effect on what decodeJob() restores from that.
std::string encodeFinalJob(const Job& job);

/// Errc::UnknownRecord: the bytes are damaged or were written by a later version.
foundation::Result<std::unique_ptr<Job>> decodeJob(std::string_view bytes);

std::string encodeHeader(const SnapshotHeader& header);

/// Errc::UnknownRecord: the bytes are damaged or were written by a later version.
foundation::Result<SnapshotHeader> decodeHeader(std::string_view bytes);

} // namespace turmericsill::jobs
