#include "eventlog/controllerwriter.h"

#include "jobs/recordcodec.h"

#include <utility>

namespace turmericsill::eventlog {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    /// Long, since a slow store takes seconds and a repeated append slows it down further. A lost answer is detected
    /// earlier by reading the log.
    constexpr milliseconds appendTimeout { 2500 };
    constexpr milliseconds retryDelay { 50 };
    constexpr milliseconds stallThreshold { 1500 }; ///< A slow store answers an append in 0.2 to 0.9 s.

} // namespace

ControllerWriter::ControllerWriter(IEventLog& log, foundation::IClock& clock, foundation::ITimerQueue& timers,
    telemetry::IEventSink& events, std::uint64_t epoch, std::uint64_t firstSequence, std::function<void()> fenced)
    : log_(log)
    , clock_(clock)
    , timers_(timers)
    , events_(events)
    , epoch_(epoch)
    , sequence_(firstSequence)
    , fencedCallback_(std::move(fenced))
{
}

void ControllerWriter::write(const jobs::Record& record) { queuedRecords_.push_back(record); }

void ControllerWriter::whenStored(StoredCallback done)
{
    if (!queuedRecords_.empty())
        queuedCallbacks_.push_back(std::move(done));
    else if (isAppendInFlight_)
        batchCallbacks_.push_back(std::move(done));
    else
        done();
}

void ControllerWriter::flush()
{
    if (isAppendInFlight_ || queuedRecords_.empty() || !*alive_)
        return;
    batchRecords_ = jobs::encodeAppend(queuedRecords_, epoch_, batchesRuns_);
    queuedRecords_.clear();
    batchCallbacks_ = std::move(queuedCallbacks_);
    queuedCallbacks_.clear();
    isAppendInFlight_ = true;
    batchStartedAt_ = clock_.now();
    sendBatch();
}

void ControllerWriter::sendBatch()
{
    AppendRequest request;
    request.payloads = batchRecords_;
    request.position = ProducerPosition { epoch_, sequence_ };
    log_.append(std::move(request), appendTimeout,
        [this, alive = alive_, number = sequence_](const Result<AppendReceipt>& answer) {
            if (*alive && number == sequence_)
                onAnswer(answer);
        });
}

void ControllerWriter::onAnswer(const Result<AppendReceipt>& answer)
{
    if (!answer && answer.error().code == Errc::Fenced) {
        stop();
        return fencedCallback_();
    }
    if (!answer) {
        wasAppendRejected_ = answer.error().code == Errc::Unavailable;
        events_.write("log.append-unanswered",
            { { "epoch", epoch_ }, { "sequence", sequence_ }, { "reason", answer.error().message() } });
        timers_.schedule(clock_.now() + retryDelay, [this, alive = alive_, number = sequence_] {
            if (*alive && number == sequence_)
                sendBatch();
        });
        return;
    }
    if (acknowledgedCallback_)
        acknowledgedCallback_(answer->offset, batchRecords_.size());
    completeBatch();
}

void ControllerWriter::onLogRead(std::uint64_t ownRecordCount)
{
    if (isAppendInFlight_ && ownRecordCount >= storedRecordCount_ + batchRecords_.size())
        completeBatch();
}

void ControllerWriter::completeBatch()
{
    const auto took = std::chrono::duration_cast<milliseconds>(clock_.now() - batchStartedAt_);
    storedRecordCount_ += batchRecords_.size();
    events_.write("log.appended",
        { { "epoch", epoch_ }, { "sequence", sequence_ },
            { "records", static_cast<std::uint64_t>(batchRecords_.size()) }, { "stored", storedRecordCount_ },
            { "took_ms", std::int64_t(took.count()) } });
    ++sequence_;
    isAppendInFlight_ = false;
    wasAppendRejected_ = false;
    auto stored = std::move(batchCallbacks_);
    batchCallbacks_.clear();
    const auto alive = alive_;
    for (auto& callback : stored) {
        callback();
        if (!*alive)
            return;
    }
    flush();
}

bool ControllerWriter::isStalled() const
{
    return isAppendInFlight_ && (wasAppendRejected_ || clock_.now() - batchStartedAt_ > stallThreshold);
}

void ControllerWriter::stop() { *alive_ = false; }

} // namespace turmericsill::eventlog
