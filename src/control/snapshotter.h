#pragma once

#include "eventlog/isnapshotstore.h"
#include "eventlog/jobfollower.h"
#include "foundation/iclock.h"
#include "telemetry/ieventsink.h"

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace turmericsill::control {

/// Writes the table of jobs into the snapshot store, often enough that the log may drop its old records.
/// Jobs go first and the head last, so that a snapshot that was broken off is read with the head before it.
class Snapshotter {
public:
    Snapshotter(eventlog::ISnapshotStore& store, const eventlog::JobFollower& follower, const foundation::IClock& clock,
        telemetry::IEventSink& events, std::uint64_t epoch, foundation::milliseconds interval);
    ~Snapshotter() { *alive_ = false; }

    Snapshotter(const Snapshotter&) = delete;
    Snapshotter& operator=(const Snapshotter&) = delete;

    /// Whether a snapshot is due, or a part of one is to be sent again.
    bool isDue() const;

    /// Writes a snapshot or goes on with one; the table must hold nothing that is not in the log.
    void write();

private:
    void saveNext();
    void addJob(const jobs::Job& job, std::set<jobs::JobId>& present);
    void finish();

    eventlog::ISnapshotStore& store_;
    const eventlog::JobFollower& follower_;
    const foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    std::uint64_t epoch_;
    foundation::milliseconds interval_;
    std::uint64_t sequence_ = 0;
    foundation::SteadyTime lastWritten_;
    std::vector<std::vector<eventlog::SnapshotEntry>> batches_; ///< To be saved, the last one first.
    std::set<jobs::JobId> stored_; ///< Jobs in the store, as far as this controller knows.
    std::uint64_t headOffset_ = 0;
    bool isSaving_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
