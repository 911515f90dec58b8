#include "eventlog/controllerwriter.h"

#include "jobs/recordcodec.h"

#include <utility>

namespace turmericsill::eventlog {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    /// A slow store takes seconds, and a repeated append makes it slower; a lost answer is made up for by reading.
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
    , fenced_(std::move(fenced))
{
}

void ControllerWriter::write(const jobs::Record& record) { queued_.push_back(jobs::encode(record, epoch_)); }

void ControllerWriter::afterStored(StoredCallback done)
{
    if (!queued_.empty())
        afterQueued_.push_back(std::move(done));
    else if (underWay_)
        afterBatch_.push_back(std::move(done));
    else
        done();
}

void ControllerWriter::flush()
{
    if (underWay_ || queued_.empty() || !*alive_)
        return;
    batch_ = std::move(queued_);
    queued_.clear();
    afterBatch_ = std::move(afterQueued_);
    afterQueued_.clear();
    underWay_ = true;
    batchSince_ = clock_.now();
    sendBatch();
}

void ControllerWriter::sendBatch()
{
    AppendRequest request;
    request.payloads = batch_;
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
        return fenced_();
    }
    if (!answer) {
        isRefused_ = answer.error().code == Errc::Unavailable;
        events_.write("log.append-unanswered",
            { { "epoch", epoch_ }, { "sequence", sequence_ }, { "reason", answer.error().message() } });
        timers_.schedule(clock_.now() + retryDelay, [this, alive = alive_, number = sequence_] {
            if (*alive && number == sequence_)
                sendBatch();
        });
        return;
    }
    finishBatch();
}

void ControllerWriter::noteRead(std::uint64_t ownRecords)
{
    if (underWay_ && ownRecords >= storedRecords_ + batch_.size())
        finishBatch();
}

void ControllerWriter::finishBatch()
{
    const auto took = std::chrono::duration_cast<milliseconds>(clock_.now() - batchSince_);
    storedRecords_ += batch_.size();
    events_.write("log.appended",
        { { "epoch", epoch_ }, { "sequence", sequence_ }, { "records", static_cast<std::uint64_t>(batch_.size()) },
            { "stored", storedRecords_ }, { "took_ms", std::int64_t(took.count()) } });
    ++sequence_;
    underWay_ = false;
    isRefused_ = false;
    auto stored = std::move(afterBatch_);
    afterBatch_.clear();
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
    return underWay_ && (isRefused_ || clock_.now() - batchSince_ > stallThreshold);
}

void ControllerWriter::stop() { *alive_ = false; }

} // namespace turmericsill::eventlog
