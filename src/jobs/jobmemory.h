#pragma once

#include "jobs/groupedusage.h"
#include "jobs/types/job.h"

#include <cstddef>
#include <string>

namespace turmericsill::jobs {

/// Estimate of the memory that an accepted job takes on an entry in control, in bytes, until its state can no longer be
/// asked for: its specification, the state of one occurrence, all of whose tasks may run, and its place in a backlog.
std::size_t estimatedMemory(const JobSpec& spec);

/// Estimated memory of all jobs of a table. Jobs that are completed do not count: they keep little, and there are only
/// as many as the fleet has run.
class JobMemory {
public:
    void add(const Job& job) { bytes_.set(job, estimatedMemory(job.spec)); }
    void remove(const Job& job) { bytes_.set(job, 0); }

    std::size_t total() const { return bytes_.total(); }

    /// Whether a further job fits. The jobs of one queue and team may take four fifths of the limit, so that some of it
    /// is always left for those of others.
    bool hasRoomFor(const std::string& queue, const std::string& team, const JobSpec& spec, std::size_t limit) const;

private:
    GroupedUsage bytes_;
};

} // namespace turmericsill::jobs
