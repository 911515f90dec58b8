#pragma once

#include "eventlog/controllerwriter.h"
#include "eventlog/isnapshotstore.h"
#include "eventlog/jobfollower.h"
#include "foundation/iclock.h"
#include "telemetry/ieventsink.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace turmericsill::control {

/// When a snapshot is due.
struct SnapshotTerms {
    foundation::milliseconds interval { 0 }; ///< At the latest this long after the one before.
    std::size_t growth = 0; ///< Or once the log has grown by this many bytes, and by the size of the one before.
};

/// Writes the table of jobs to the snapshot store, often enough that the log may drop old records and that an entry
/// that starts has little to read. The first snapshot is due at once, since the one before may be older than the term
/// of the controller that should have replaced it. The jobs are collected in steps while records are written: the
/// header tells the offset from before the first step, and a job is collected as of a time at which all its records are
/// in the log. So it may be newer than the header, and records that follow have their effect once. The jobs are saved
/// first and the header after them, so that an incomplete snapshot is read with the header of the one before. An entry
/// that is larger than the store accepts is divided.
class Snapshotter {
public:
    Snapshotter(eventlog::ISnapshotStore& store, const eventlog::JobFollower& follower, const foundation::IClock& clock,
        telemetry::IEventSink& events, std::uint64_t epoch, const SnapshotTerms& terms);
    ~Snapshotter() { *alive_ = false; }

    Snapshotter(const Snapshotter&) = delete;
    Snapshotter& operator=(const Snapshotter&) = delete;

    /// Whether a snapshot is due, or the present one has to be continued.
    bool isDue() const;

    /// Begins a snapshot or continues an incomplete one. `unstored` tells what the table has ahead of the log.
    void write(const eventlog::UnstoredChanges& unstored);

private:
    bool hasLogGrown() const;
    bool begin(const eventlog::UnstoredChanges& unstored);
    void collectJobs(const eventlog::UnstoredChanges& unstored);
    void collectJob(const jobs::Job& job);
    void collectHeader(const eventlog::UnstoredChanges& unstored);
    void add(eventlog::SnapshotEntry entry);
    void addRemovals(bool ofHeader, const std::set<jobs::JobId>& unstoredJobs);
    void addFinalJobRemovals(const std::set<jobs::JobId>& unstoredJobs);
    bool isFinalJobStored(jobs::JobId job) const;
    void append(eventlog::SnapshotEntry entry);
    void saveNext();
    void onSaved(const foundation::Result<void>& saved);
    void reportWritten();

    eventlog::ISnapshotStore& store_;
    const eventlog::JobFollower& follower_;
    const foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    std::uint64_t epoch_;
    SnapshotTerms terms_;
    jobs::RecordLimits limits_; ///< Lower than those of the store after it has rejected a batch.
    std::uint64_t sequence_ = 0;
    std::uint64_t snapshotCount_ = 0;
    foundation::SteadyTime lastWritten_;
    foundation::SteadyTime retryAt_ {}; ///< Time before which nothing is sent after a failure.
    std::optional<foundation::SteadyTime> dueSince_; ///< Empty unless a snapshot is due and was not begun.
    bool isCollecting_ = false;
    std::deque<jobs::JobId> uncollectedJobs_; ///< Jobs that the snapshot being written lacks.
    std::deque<std::vector<eventlog::SnapshotEntry>> batches_; ///< Batches still to be saved.
    std::size_t lastBatchBytes_ = 0; ///< Size of the last batch.
    std::size_t snapshotBytes_ = 0; ///< Size of what the snapshot being written has saved anew.
    std::size_t lastSnapshotBytes_ = 0; ///< The same of the one before.
    std::uint64_t logBytesAtBegin_ = 0; ///< JobFollower::bytesSinceSnapshot() as of the header.
    std::unordered_set<jobs::JobId> storedFinalJobs_; ///< Final jobs that the store holds in their last state.
    std::unordered_set<jobs::JobId> newFinalJobs_; ///< Those that the snapshot being written adds.
    std::vector<jobs::JobId> removedFinalJobs_; ///< Those that it removes.
    std::set<std::string> currentKeys_; ///< Keys of the snapshot being written, without those of final jobs.
    std::set<std::string> storedKeys_; ///< Keys that the store may hold besides those and `storedFinalJobs_`.
    std::uint64_t headerOffset_ = 0; ///< Log offset of the snapshot being written.
    std::size_t jobCount_ = 0; ///< Number of jobs of the snapshot being written.
    bool isSaving_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
