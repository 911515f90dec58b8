#pragma once

#include "fleet/types/fleet.h"
#include "foundation/iclock.h"
#include "foundation/result.h"
#include "jobs/types/job.h"

#include <functional>
#include <optional>
#include <string>

namespace turmericsill::entry {

using foundation::milliseconds;

/// Outcome of a submission or a cancellation.
enum class RequestOutcome : std::uint8_t {
    Stored, ///< The request is in the log.
    NotStored, ///< The request surely has no effect, now or later.
    Unknown, ///< The request may or may not take effect.
    Rejected, ///< The request has no effect, nor would it if it was repeated: it is too large for the log.
    Overloaded, ///< The request has no effect: the fleet is overloaded. It may be repeated later.
    Forbidden, ///< The request has no effect: the job belongs to another team.
};

struct RequestResult {
    RequestOutcome outcome = RequestOutcome::Unknown;
    milliseconds retryAfter { 0 }; ///< Delay before the caller retries a request that was not stored.
};

/// Who sends a request, and for which queue.
struct Caller {
    std::string queue;
    std::string team; ///< Empty if the caller was not identified.
};

/// Queue that a request is routed to.
struct QueueLookup {
    const fleet::Queue* queue = nullptr; ///< Null if the configuration that this entry knows has none.
    /// Whether every configuration that must be in force is known. Otherwise a newer one may have other queues.
    bool isCurrent = false;
};

/// Outcome of looking up a job.
enum class JobLookup : std::uint8_t {
    Found,
    NotFound, ///< The log was read to its end and holds no such job.
    Unavailable, ///< The log could not be read, so the job may or may not exist.
    Forbidden, ///< The job belongs to another team.
};

struct JobStatus {
    JobLookup lookup = JobLookup::Unavailable;
    jobs::JobState state = jobs::JobState::Queued; ///< Meaningful only for a job that was found.
};

/// Job operations that an entry offers to callers. Callbacks run on the entry's thread.
class IJobService {
public:
    virtual ~IJobService() = default;

    /// Finds the queue of a request to a host and path.
    virtual QueueLookup findQueue(const std::string& host, const std::string& path) = 0;

    /// Accepts a job of a team; `team` is empty if the caller was not identified. A submission with a known id counts
    /// as a repetition and is answered as stored without a further effect.
    virtual void submit(const fleet::Queue& queue, const std::string& team, jobs::JobId id, jobs::JobSpec spec,
        foundation::SteadyTime deadline, std::function<void(RequestResult)> done)
        = 0;

    virtual void cancel(
        const Caller& caller, jobs::JobId id, foundation::SteadyTime deadline, std::function<void(RequestResult)> done)
        = 0;

    /// Reports the state of a job. While the job is in progress, the answer waits up to `wait` for its end: a caller
    /// that asks while the end is being stored is told of it, and not of the state before.
    virtual void status(const Caller& caller, jobs::JobId id, milliseconds wait, std::function<void(JobStatus)> done)
        = 0;

    /// Reports the number of open jobs of the queue none of whose tasks has started, or nothing if this entry has not
    /// read the log recently enough to know it.
    virtual void pendingJobs(const fleet::Queue& queue, std::function<void(std::optional<std::size_t>)> done) = 0;
};

} // namespace turmericsill::entry
