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
/// repeated until the log answers or a later controller has fenced this one.
class ControllerWriter {
public:
    using StoredCallback = std::function<void()>;

    /// `fenced` is called once, when a later controller has taken over.
    ControllerWriter(IEventLog& log, foundation::IClock& clock, foundation::ITimerQueue& timers,
        telemetry::IEventSink& events, std::uint64_t epoch, std::uint64_t firstSequence, std::function<void()> fenced);

    ~ControllerWriter() { stop(); }
    ControllerWriter(const ControllerWriter&) = delete;
    ControllerWriter& operator=(const ControllerWriter&) = delete;

    /// Queues a record for the next append.
    void write(const jobs::Record& record);

    /// Calls back once every record written so far stands in the log; at once when it does already.
    void afterStored(StoredCallback done);

    /// The log was read further and holds this many records of the epoch. When the append under way is among them, its
    /// answer was lost or is slow.
    void noteRead(std::uint64_t ownRecords);

    /// Starts the append of what was written; called at the end of a step of the controller.
    void flush();

    /// Whether the log takes nothing: it has refused the append under way, or has not answered it for as long as an
    /// outage takes to show.
    bool isStalled() const;

    /// Whether everything written stands in the log.
    bool isIdle() const { return queued_.empty() && !underWay_; }

    /// Drops all callbacks; the writer is about to go.
    void stop();

private:
    void sendBatch();
    void onAnswer(const foundation::Result<AppendReceipt>& answer);
    void finishBatch();

    IEventLog& log_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    std::uint64_t epoch_;
    std::uint64_t sequence_;
    std::function<void()> fenced_;
    std::vector<std::string> queued_;
    std::vector<std::string> batch_;
    std::vector<StoredCallback> afterQueued_;
    std::vector<StoredCallback> afterBatch_;
    foundation::SteadyTime batchSince_ {};
    std::uint64_t storedRecords_ = 0; ///< Of the epoch, the claim not counted.
    bool underWay_ = false;
    bool isRefused_ = false; ///< The append under way, by the log's latest answer.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::eventlog
