#pragma once

#include "control/internal/isubmissiongate.h"
#include "eventlog/controllerwriter.h"
#include "eventlog/isubmissionpath.h"
#include "eventlog/jobfollower.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace turmericsill::control {

/// Writes the records of a controller and those of callers that are stored through it. Each record is applied to the
/// table of jobs at once and appended to the log afterwards; what callers are told waits until it is stored.
class RecordStore {
public:
    RecordStore(eventlog::JobFollower& follower, eventlog::ControllerWriter& writer)
        : follower_(follower)
        , writer_(writer)
    {
    }

    RecordStore(const RecordStore&) = delete;
    RecordStore& operator=(const RecordStore&) = delete;

    void write(const jobs::Record& record);

    /// Writes a record that may decide the final state of a job, and tracks it until it is stored if it does.
    void writeDecidingRecord(const jobs::Record& record, jobs::JobId job);

    /// Stores callers' records, jobs::JobSubmitted and jobs::JobCancelled, in the same appends as the controller's own.
    /// `gate` examines the submissions of new jobs; see ISubmissionGate for `mayReject`.
    void storeCallerRecords(std::vector<jobs::Record> records, ISubmissionGate& gate, bool mayReject,
        eventlog::ISubmissionPath::StoreCallback done);

    /// Fails the pending calls of storeCallerRecords() with Errc::Fenced. Their records may still be stored.
    void failPendingStores();

    /// Whether the log holds every record that determines the state of the job reported to callers.
    bool isStored(jobs::JobId job) const { return !unstoredRecords_.count(job); }

private:
    struct PendingStore {
        eventlog::ISubmissionPath::StoreCallback done;
        eventlog::StoreReceipt receipt;
    };

    /// Writes a caller's record, or returns the delay after which a rejected one may be submitted again.
    std::optional<foundation::milliseconds> applyCallerRecord(
        jobs::Record record, ISubmissionGate& gate, bool mayReject);
    void trackUnstored(jobs::JobId job);

    eventlog::JobFollower& follower_;
    eventlog::ControllerWriter& writer_;
    /// Number of records per job that determine its reported state and are not in the log yet.
    std::unordered_map<jobs::JobId, int> unstoredRecords_;
    std::map<std::uint64_t, PendingStore> pendingStores_;
    std::uint64_t nextStoreId_ = 0;
};

} // namespace turmericsill::control
