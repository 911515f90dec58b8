#pragma once

#include "eventlog/ieventlog.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "jobs/types/records.h"
#include "telemetry/ieventsink.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// An append that the log has accepted.
struct AcknowledgedAppend {
    std::uint64_t offset = 0; ///< Offset of the first payload.
    std::uint64_t count = 0; ///< Number of payloads.
    std::uint64_t bytes = 0; ///< Size of the payloads.
    foundation::SteadyTime sentAt {}; ///< When it was first sent. The epoch was the latest one in the log at that time.
};

/// What the records that are not in the log yet have changed.
struct UnstoredChanges {
    std::set<jobs::JobId> jobs;
    bool areWithinJobs = true; ///< Whether nothing else has changed, and no other job because of one of these.
};

/// Appends the controller's records of one epoch, each exactly once and in order, in appends that the log accepts. An
/// append without an answer is retried until the log answers or a later controller has fenced this one. One that the
/// log rejects for good is divided.
class ControllerWriter {
public:
    using StoredCallback = std::function<void()>;

    /// Errc::Fenced: a later controller has taken over. Errc::Rejected: the log does not accept a record.
    using EndCallback = std::function<void(const foundation::Error&)>;

    using AcknowledgedCallback = std::function<void(const AcknowledgedAppend&)>;

    /// `ended` is called once, when no further record can be appended. Appends are numbered from `firstSequence` on.
    ControllerWriter(IEventLog& log, foundation::IClock& clock, foundation::ITimerQueue& timers,
        telemetry::IEventSink& events, std::uint64_t epoch, std::uint64_t firstSequence, EndCallback ended);

    /// Whether runs are stored as jobs::RunBatch records; true unless set otherwise.
    void setBatchesRuns(bool batchesRuns) { batchesRuns_ = batchesRuns; }

    /// Whether records are compressed; true unless set otherwise.
    void setCompresses(bool compresses) { compresses_ = compresses; }

    ~ControllerWriter() { stop(); }
    ControllerWriter(const ControllerWriter&) = delete;
    ControllerWriter& operator=(const ControllerWriter&) = delete;

    /// Sets a callback for each append whose answer arrives.
    void onAcknowledged(AcknowledgedCallback callback) { acknowledgedCallback_ = std::move(callback); }

    /// Queues a record for the next append.
    void write(const jobs::Record& record);

    /// Calls `done` once every record written so far is in the log; immediately if that is already the case.
    void whenStored(StoredCallback done);

    /// To be called when the log was read further and holds `ownPayloadCount` payloads of the epoch, not counting the
    /// claim. If they include the append in flight, its answer is lost or late and the append counts as answered.
    void onLogRead(std::uint64_t ownPayloadCount);

    /// Starts appending the queued records unless an append is in flight; called at the end of each controller step.
    void flush();

    /// Whether the log accepts no records: it has refused the append in flight, or has left it unanswered for longer
    /// than a slow store would.
    bool isStalled() const;

    /// Whether every record written so far is in the log.
    bool isIdle() const { return queuedRecords_.empty(); }

    /// What the records have changed that were written and are not in the log yet.
    UnstoredChanges unstoredChanges() const;

    /// Drops all callbacks; to be called before the writer is destroyed.
    void stop();

private:
    struct WaitingCallback {
        std::uint64_t recordCount = 0; ///< Number of records, from the first one on, that have to be in the log.
        StoredCallback done;
    };

    void encodeAppend();
    void sendAppend();
    void onAnswer(const foundation::Result<AppendReceipt>& answer);
    void onRejected(const foundation::Error& error);
    void end(const foundation::Error& error);
    void completeAppend();

    IEventLog& log_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    std::uint64_t epoch_;
    std::uint64_t sequence_; ///< Number of the append in flight, or else of the next one.
    EndCallback endCallback_;
    AcknowledgedCallback acknowledgedCallback_;
    bool batchesRuns_ = true;
    bool compresses_ = true;
    jobs::RecordLimits limits_; ///< Lower than those of the log after an append was rejected.
    std::deque<jobs::Record> queuedRecords_; ///< Records that are not in the log yet; the first ones may be in flight.
    std::size_t inFlightCount_ = 0; ///< Number of queued records that the append in flight holds.
    std::vector<std::string> payloads_; ///< Payloads of the append in flight.
    std::deque<WaitingCallback> callbacks_; ///< In the order of the records that they wait for.
    foundation::SteadyTime appendStartedAt_ {};
    std::uint64_t writtenRecords_ = 0; ///< Number of records that were written.
    std::uint64_t storedRecords_ = 0; ///< Number of these that are in the log.
    std::uint64_t storedPayloads_ = 0; ///< Payloads of the epoch that are in the log, not counting the claim.
    bool isAppendInFlight_ = false;
    bool wasAppendRefused_ = false; ///< Whether the log's latest answer refused the append in flight for now.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::eventlog
