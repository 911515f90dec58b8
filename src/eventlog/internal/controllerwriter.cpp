#include "eventlog/controllerwriter.h"

#include "jobs/appendbuilder.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <variant>

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

    std::uint64_t payloadBytes(const std::vector<std::string>& payloads)
    {
        return std::accumulate(payloads.begin(), payloads.end(), std::uint64_t(0),
            [](std::uint64_t sum, const std::string& payload) { return sum + payload.size(); });
    }

    /// Collects what records have changed.
    struct ChangeCollector {
        UnstoredChanges changes;

        void operator()(const jobs::JobSubmitted& record) { changes.jobs.insert(record.job); }
        void operator()(const jobs::JobCancelled& record) { changes.jobs.insert(record.job); }
        void operator()(const jobs::JobFailed& record) { changes.jobs.insert(record.job); }
        void operator()(const jobs::JobExpired& record) { changes.jobs.insert(record.job); }
        void operator()(const jobs::RunIntended& record) { changes.jobs.insert(record.task.job); }
        void operator()(const jobs::RunEnded& record) { changes.jobs.insert(record.task.job); }
        void operator()(const jobs::JobsStarted& record)
        {
            changes.jobs.insert(record.jobs.begin(), record.jobs.end());
        }
        template <typename OtherRecord> void operator()(const OtherRecord&) { changes.areWithinJobs = false; }
    };

} // namespace

ControllerWriter::ControllerWriter(IEventLog& log, foundation::IClock& clock, foundation::ITimerQueue& timers,
    telemetry::IEventSink& events, std::uint64_t epoch, std::uint64_t firstSequence, EndCallback ended)
    : log_(log)
    , clock_(clock)
    , timers_(timers)
    , events_(events)
    , epoch_(epoch)
    , sequence_(firstSequence)
    , endCallback_(std::move(ended))
    , limits_(log.recordLimits())
{
}

void ControllerWriter::write(const jobs::Record& record)
{
    queuedRecords_.push_back(record);
    ++writtenRecords_;
}

void ControllerWriter::whenStored(StoredCallback done)
{
    if (queuedRecords_.empty())
        return done();
    callbacks_.push_back({ writtenRecords_, std::move(done) });
}

UnstoredChanges ControllerWriter::unstoredChanges() const
{
    ChangeCollector collector;
    for (const auto& record : queuedRecords_)
        std::visit(collector, record);
    return std::move(collector.changes);
}

void ControllerWriter::flush()
{
    if (isAppendInFlight_ || queuedRecords_.empty() || !*alive_)
        return;
    isAppendInFlight_ = true;
    appendStartedAt_ = clock_.now();
    encodeAppend();
    sendAppend();
}

void ControllerWriter::encodeAppend()
{
    jobs::AppendBuilder builder(limits_, epoch_);
    builder.setBatchesRuns(batchesRuns_).setCompresses(compresses_);
    for (const auto& record : queuedRecords_) {
        if (!builder.add(record))
            break;
    }
    inFlightCount_ = builder.recordCount();
    payloads_ = builder.build();
}

void ControllerWriter::sendAppend()
{
    AppendRequest request;
    request.payloads = payloads_;
    request.position = ProducerPosition { epoch_, sequence_ };
    log_.append(std::move(request), appendTimeout,
        [this, alive = alive_, number = sequence_](const Result<AppendReceipt>& answer) {
            if (*alive && number == sequence_)
                onAnswer(answer);
        });
}

void ControllerWriter::onAnswer(const Result<AppendReceipt>& answer)
{
    if (!answer && answer.error().code == Errc::Fenced)
        return end(answer.error());
    if (!answer && answer.error().code == Errc::Rejected)
        return onRejected(answer.error());
    if (!answer) {
        wasAppendRefused_ = answer.error().code == Errc::Unavailable;
        events_.write("log.append-unanswered",
            { { "epoch", epoch_ }, { "sequence", sequence_ }, { "reason", answer.error().message() } });
        timers_.schedule(clock_.now() + retryDelay, [this, alive = alive_, number = sequence_] {
            if (*alive && number == sequence_)
                sendAppend();
        });
        return;
    }
    if (acknowledgedCallback_)
        acknowledgedCallback_({ answer->offset, payloads_.size(), payloadBytes(payloads_), appendStartedAt_ });
    completeAppend();
}

// The same append would be rejected again, and nothing behind it would ever be stored. The sequence number of a
// rejected append is not used up.
void ControllerWriter::onRejected(const foundation::Error& error)
{
    std::size_t bytes = 0;
    for (const auto& payload : payloads_)
        bytes += limits_.framedSize(payload.size());
    events_.write("log.append-rejected",
        { { "epoch", epoch_ }, { "sequence", sequence_ }, { "records", std::uint64_t(inFlightCount_) },
            { "bytes", std::uint64_t(bytes) }, { "reason", error.message() } });
    auto* ended = std::get_if<jobs::RunEnded>(&queuedRecords_.front());
    if (inFlightCount_ > 1)
        limits_.appendBytes = bytes / 2;
    else if (ended && !ended->checkpoint.empty())
        ended->checkpoint.clear(); // A run without a checkpoint starts again from the beginning.
    else
        return end(error);
    encodeAppend();
    sendAppend();
}

void ControllerWriter::end(const foundation::Error& error)
{
    stop();
    endCallback_(error);
}

void ControllerWriter::onLogRead(std::uint64_t ownPayloadCount)
{
    if (isAppendInFlight_ && ownPayloadCount >= storedPayloads_ + payloads_.size())
        completeAppend();
}

void ControllerWriter::completeAppend()
{
    const auto took = std::chrono::duration_cast<milliseconds>(clock_.now() - appendStartedAt_);
    storedPayloads_ += payloads_.size();
    storedRecords_ += inFlightCount_;
    queuedRecords_.erase(queuedRecords_.begin(), queuedRecords_.begin() + static_cast<std::ptrdiff_t>(inFlightCount_));
    events_.write("log.appended",
        { { "epoch", epoch_ }, { "sequence", sequence_ }, { "records", static_cast<std::uint64_t>(payloads_.size()) },
            { "stored", storedPayloads_ }, { "took_ms", std::int64_t(took.count()) } });
    ++sequence_;
    isAppendInFlight_ = false;
    wasAppendRefused_ = false;
    limits_.appendBytes = std::min(log_.recordLimits().appendBytes, 2 * limits_.appendBytes);
    const auto alive = alive_;
    while (!callbacks_.empty() && callbacks_.front().recordCount <= storedRecords_) {
        const StoredCallback done = std::move(callbacks_.front().done);
        callbacks_.pop_front();
        done();
        if (!*alive)
            return;
    }
    flush();
}

bool ControllerWriter::isStalled() const
{
    return isAppendInFlight_ && (wasAppendRefused_ || clock_.now() - appendStartedAt_ > stallThreshold);
}

void ControllerWriter::stop() { *alive_ = false; }

} // namespace turmericsill::eventlog
