#pragma once

#include "eventlog/ieventlog.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "jobs/types/records.h"
#include "telemetry/ieventsink.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// Appends the controller's records of one epoch, each exactly once and in order. An append without an answer is
/// retried until the log answers or a later controller has fenced this one.
class ControllerWriter {
public:
    using StoredCallback = std::function<void()>;

    /// Called with the offset of the first record and the number of records of an acknowledged append.
    using AcknowledgedCallback = std::function<void(std::uint64_t offset, std::uint64_t count)>;

    /// `fenced` is called once, when a later controller has taken over. Appends are numbered from `firstSequence` on.
    ControllerWriter(IEventLog& log, foundation::IClock& clock, foundation::ITimerQueue& timers,
        telemetry::IEventSink& events, std::uint64_t epoch, std::uint64_t firstSequence, std::function<void()> fenced);

    /// Whether runs are stored as jobs::RunBatch records; true unless set otherwise.
    void setBatchesRuns(bool batchesRuns) { batchesRuns_ = batchesRuns; }

    ~ControllerWriter() { stop(); }
    ControllerWriter(const ControllerWriter&) = delete;
    ControllerWriter& operator=(const ControllerWriter&) = delete;

    /// Sets a callback for each append whose answer arrives.
    void onAcknowledged(AcknowledgedCallback callback) { acknowledgedCallback_ = std::move(callback); }

    /// Queues a record for the next append.
    void write(const jobs::Record& record);

    /// Calls `done` once every record written so far is in the log; immediately if that is already the case.
    void whenStored(StoredCallback done);

    /// To be called when the log was read further and holds `ownRecordCount` records of the epoch, not counting the
    /// claim. If they include the append in flight, its answer is lost or late and the append counts as answered.
    void onLogRead(std::uint64_t ownRecordCount);

    /// Starts appending the queued records unless an append is in flight; called at the end of each controller step.
    void flush();

    /// Whether the log accepts no records: it has rejected the append in flight, or has left it unanswered for longer
    /// than a slow store would.
    bool isStalled() const;

    /// Whether every record written so far is in the log.
    bool isIdle() const { return queuedRecords_.empty() && !isAppendInFlight_; }

    /// Drops all callbacks; to be called before the writer is destroyed.
    void stop();

private:
    void sendBatch();
    void onAnswer(const foundation::Result<AppendReceipt>& answer);
    void completeBatch();

    IEventLog& log_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    std::uint64_t epoch_;
    std::uint64_t sequence_; ///< Number of the append in flight, or else of the next one.
    std::function<void()> fencedCallback_;
    AcknowledgedCallback acknowledgedCallback_;
    bool batchesRuns_ = true;
    std::vector<jobs::Record> queuedRecords_;
    std::vector<std::string> batchRecords_; ///< Encoded records of the append in flight.
    std::vector<StoredCallback> queuedCallbacks_; ///< Callers to notify once the queued records are stored.
    std::vector<StoredCallback> batchCallbacks_; ///< Callers to notify once the append in flight is stored.
    foundation::SteadyTime batchStartedAt_ {};
    std::uint64_t storedRecordCount_ = 0; ///< Records of the epoch that are in the log, not counting the claim.
    bool isAppendInFlight_ = false;
    bool wasAppendRejected_ = false; ///< Whether the log's latest answer rejected the append in flight.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::eventlog
