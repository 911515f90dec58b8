#pragma once

#include "eventlog/isnapshotstore.h"
#include "eventlog/jobfollower.h"
#include "foundation/iclock.h"
#include "telemetry/ieventsink.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::control {

/// Writes the table of jobs to the snapshot store, often enough that the log may drop old records.
/// The jobs are saved first and the header after them, so that an incomplete snapshot is read with the header of the
/// one before. An entry that is larger than the store accepts is divided.
class Snapshotter {
public:
    Snapshotter(eventlog::ISnapshotStore& store, const eventlog::JobFollower& follower, const foundation::IClock& clock,
        telemetry::IEventSink& events, std::uint64_t epoch, foundation::milliseconds interval);
    ~Snapshotter() { *alive_ = false; }

    Snapshotter(const Snapshotter&) = delete;
    Snapshotter& operator=(const Snapshotter&) = delete;

    /// Whether a snapshot is due, or a batch of the present one has to be sent.
    bool isDue() const;

    /// Writes a snapshot or continues an incomplete one. Every record applied to the table must be in the log.
    void write();

private:
    void collectEntries();
    void add(eventlog::SnapshotEntry entry);
    void addRemovals(bool ofHeader);
    void append(eventlog::SnapshotEntry entry);
    void saveNext();
    void onSaved(const foundation::Result<void>& saved);
    void reportWritten();

    eventlog::ISnapshotStore& store_;
    const eventlog::JobFollower& follower_;
    const foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    std::uint64_t epoch_;
    foundation::milliseconds interval_;
    jobs::RecordLimits limits_; ///< Lower than those of the store after it has rejected a batch.
    std::uint64_t sequence_ = 0;
    std::uint64_t snapshotCount_ = 0;
    foundation::SteadyTime lastWritten_;
    foundation::SteadyTime retryAt_ {}; ///< Time before which nothing is sent after a failure.
    std::deque<std::vector<eventlog::SnapshotEntry>> batches_; ///< Batches still to be saved.
    std::size_t lastBatchBytes_ = 0; ///< Size of the last batch.
    std::set<std::string> currentKeys_; ///< Keys of the snapshot being written.
    std::set<std::string> storedKeys_; ///< Keys that the store may hold besides those.
    std::uint64_t headerOffset_ = 0; ///< Log offset of the snapshot being written.
    std::size_t jobCount_ = 0; ///< Number of jobs of the snapshot being written.
    bool isSaving_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
