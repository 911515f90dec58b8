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

/// Writes the table of jobs to the snapshot store, often enough that the log may drop old records.
/// The jobs are saved first and the header last, so that an incomplete snapshot is read with the header of the one
/// before.
class Snapshotter {
public:
    Snapshotter(eventlog::ISnapshotStore& store, const eventlog::JobFollower& follower, const foundation::IClock& clock,
        telemetry::IEventSink& events, std::uint64_t epoch, foundation::milliseconds interval);
    ~Snapshotter() { *alive_ = false; }

    Snapshotter(const Snapshotter&) = delete;
    Snapshotter& operator=(const Snapshotter&) = delete;

    /// Whether a snapshot is due or a batch of the present one has to be sent again.
    bool isDue() const;

    /// Writes a snapshot or continues an incomplete one. Every record applied to the table must be in the log.
    void write();

private:
    void saveNext();
    void addJob(const jobs::Job& job, std::set<jobs::JobId>& currentIds);
    void reportWritten();

    eventlog::ISnapshotStore& store_;
    const eventlog::JobFollower& follower_;
    const foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    std::uint64_t epoch_;
    foundation::milliseconds interval_;
    std::uint64_t sequence_ = 0;
    foundation::SteadyTime lastWritten_;
    std::vector<std::vector<eventlog::SnapshotEntry>> batches_; ///< Batches still to be saved, in reverse order.
    std::set<jobs::JobId> storedJobIds_; ///< Jobs that this controller has saved.
    std::uint64_t headerOffset_ = 0; ///< Log offset of the snapshot being written.
    bool isSaving_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
