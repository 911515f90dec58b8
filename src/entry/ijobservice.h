#pragma once

#include "fleet/types/fleet.h"
#include "foundation/iclock.h"
#include "foundation/result.h"
#include "jobs/types/job.h"

#include <functional>
#include <optional>

namespace turmericsill::entry {

using foundation::milliseconds;

/// What became of a submission or a cancellation.
enum class RequestOutcome : std::uint8_t {
    Done, ///< It stands in the log.
    NotDone, ///< Surely, and it never will be.
    Unknown, ///< It may or may not take effect.
};

struct RequestResult {
    RequestOutcome outcome = RequestOutcome::Unknown;
    milliseconds retryAfter { 0 }; ///< When to come back, if not done.
};

/// What is known of a job.
enum class JobKnowledge : std::uint8_t {
    Known,
    NotKnown, ///< Read to the log's end: there is no such job.
    Unavailable, ///< The log could not be read.
};

struct JobStatus {
    JobKnowledge knowledge = JobKnowledge::Unavailable;
    jobs::JobState state = jobs::JobState::Queued;
};

/// What an entry does for callers. Callbacks run on the entry's thread.
class IJobService {
public:
    virtual ~IJobService() = default;

    /// The configuration in force; null before the first was read.
    virtual const fleet::FleetConfiguration* configuration() const = 0;

    /// Accepts a job; a known id is the same job.
    virtual void submit(const fleet::Queue& queue, jobs::JobId id, jobs::JobSpec spec, foundation::SteadyTime deadline,
        std::function<void(RequestResult)> done)
        = 0;

    virtual void cancel(jobs::JobId id, foundation::SteadyTime deadline, std::function<void(RequestResult)> done) = 0;

    virtual void status(jobs::JobId id, std::function<void(JobStatus)> done) = 0;

    /// Accepted jobs of the queue of which no task has started.
    virtual std::size_t pendingJobs(const fleet::Queue& queue) const = 0;
};

} // namespace turmericsill::entry
