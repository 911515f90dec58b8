#include "eventlog/jobsubmitter.h"

#include "jobs/recordcodec.h"

#include <iterator>
#include <utility>

namespace turmericsill::eventlog {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    /// An append is usually answered within about 10 ms, but a slow store takes seconds, and a repeated append slows it
    /// down further. A lost answer is detected earlier by reading the log.
    constexpr milliseconds storeCallTimeout { 2500 };
    constexpr milliseconds retryDelay { 40 };
    /// Time after which the caller of a record that surely was not stored is told so, to try another entry or to retry
    /// later. Shorter while the store is silent or rejects records than while it is slow.
    constexpr milliseconds silentStoreTimeout { 120 };
    constexpr milliseconds slowStoreTimeout { 1200 }; ///< A slow store answers an append in 0.2 to 0.9 s.
    constexpr milliseconds unansweredAppendTimeout { 600 }; ///< For an unanswered append while the store is silent.
    constexpr milliseconds deadlineCheckInterval { 100 };
    /// The controller encodes a record anew under its epoch, which takes up to as many bytes more than the epoch 0.
    constexpr std::size_t epochBytes = 8;

} // namespace

JobSubmitter::JobSubmitter(ISubmissionPath& path, foundation::IClock& clock, foundation::ITimerQueue& timers)
    : path_(path)
    , clock_(clock)
    , timers_(timers)
{
}

void JobSubmitter::submit(
    const jobs::Record& record, foundation::SteadyTime deadline, std::function<bool()> isStored, Callback done)
{
    std::string payload = jobs::encode(record, 0);
    if (payload.size() + epochBytes > path_.recordLimits().recordBytes)
        return done({ AppendOutcome::Rejected });
    waiting_.push_back({ std::move(payload), clock_.now(), deadline, std::move(isStored), std::move(done) });
    scheduleDeadlineCheck();
    sendBatches();
}

void JobSubmitter::complete(PendingRecord& pending, const AppendResult& result)
{
    if (auto done = std::exchange(pending.done, nullptr))
        done(result);
}

void JobSubmitter::sendBatches()
{
    failExpiredWaiting();
    while (!waiting_.empty() && !isRetryScheduled_ && inFlight_.size() < path_.maximumConcurrentCalls())
        sendBatch();
}

std::size_t JobSubmitter::countNextBatch() const
{
    if (waiting_.front().isSentAlone)
        return 1;
    const jobs::RecordLimits limits = path_.recordLimits();
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const auto& pending : waiting_) {
        bytes += limits.framedSize(pending.payload.size());
        if (pending.isSentAlone || (count > 0 && bytes > limits.appendBytes))
            break;
        ++count;
    }
    return count;
}

void JobSubmitter::sendBatch()
{
    const auto batchEnd = waiting_.begin() + static_cast<std::ptrdiff_t>(countNextBatch());
    std::vector<std::string> records;
    for (auto pending = waiting_.begin(); pending != batchEnd; ++pending)
        records.push_back(pending->payload);
    const std::uint64_t number = ++lastBatchNumber_;
    inFlight_[number].assign(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(batchEnd));
    waiting_.erase(waiting_.begin(), batchEnd);
    path_.store(std::move(records), storeCallTimeout,
        [this, number](const Result<StoreReceipt>& stored) { onAnswer(number, stored); });
}

void JobSubmitter::onAnswer(std::uint64_t number, const Result<StoreReceipt>& stored)
{
    const auto found = inFlight_.find(number);
    if (found == inFlight_.end())
        return;
    Batch batch = std::move(found->second);
    inFlight_.erase(found);
    if (stored)
        return onStored(std::move(batch), *stored);
    if (stored.error().code == Errc::Rejected)
        return onRejected(std::move(batch));
    const bool isKnownNotStored = stored.error().code == Errc::Unavailable;
    for (auto& pending : batch) {
        if (!pending.done)
            continue;
        pending.mayBeStored |= !isKnownNotStored;
        pending.wasRefused = isKnownNotStored;
        waiting_.push_back(std::move(pending));
    }
    failExpiredWaiting();
    scheduleRetry();
}

// A rejected record of which an earlier attempt may have been stored is sent again, since its caller must not be told
// that it was not stored.
void JobSubmitter::onStored(Batch batch, const StoreReceipt& receipt)
{
    bool hasRetry = false;
    for (const RejectedRecord& rejected : receipt.rejected) {
        PendingRecord& pending = batch.at(rejected.index);
        if (!pending.done)
            continue;
        if (!pending.mayBeStored) {
            complete(pending, { AppendOutcome::Overloaded, rejected.retryAfter });
            continue;
        }
        pending.wasRefused = false;
        waiting_.push_back(std::move(pending));
        pending = PendingRecord();
        hasRetry = true;
    }
    for (auto& pending : batch)
        complete(pending, { AppendOutcome::Stored });
    if (!hasRetry)
        return sendBatches();
    failExpiredWaiting();
    scheduleRetry();
}

// One record may be the reason why the whole batch was rejected, so each is sent again by itself.
void JobSubmitter::onRejected(Batch batch)
{
    const bool isSingle = batch.size() == 1;
    for (auto& pending : batch) {
        if (isSingle)
            complete(pending, { pending.mayBeStored ? AppendOutcome::Unknown : AppendOutcome::Rejected });
        if (!pending.done)
            continue;
        pending.isSentAlone = true;
        waiting_.push_back(std::move(pending));
    }
    sendBatches();
}

void JobSubmitter::scheduleRetry()
{
    isRetryScheduled_ = true;
    timers_.schedule(clock_.now() + retryDelay, [this] {
        isRetryScheduled_ = false;
        sendBatches();
    });
}

void JobSubmitter::onLogRead()
{
    const auto completeStored = [](Batch& batch) {
        bool hasOpenRecord = false;
        for (auto& pending : batch) {
            if (pending.done && pending.isStored())
                complete(pending, { AppendOutcome::Stored });
            hasOpenRecord |= pending.done != nullptr;
        }
        return hasOpenRecord;
    };
    completeStored(waiting_);
    bool hasFinishedBatch = false;
    for (auto batch = inFlight_.begin(); batch != inFlight_.end();) {
        // No caller of the batch waits any more, as when its records have taken effect and its answer was lost.
        const bool isFinished = !completeStored(batch->second);
        batch = isFinished ? inFlight_.erase(batch) : std::next(batch);
        hasFinishedBatch |= isFinished;
    }
    if (hasFinishedBatch)
        sendBatches();
}

bool JobSubmitter::isExpired(const PendingRecord& pending) const
{
    const auto now = clock_.now();
    if (!pending.done || now >= pending.deadline)
        return true;
    if (pending.mayBeStored)
        return !isStoreResponsive_() && now >= pending.submittedAt + unansweredAppendTimeout;
    const milliseconds waitingTimeout
        = isStoreResponsive_() && !pending.wasRefused ? slowStoreTimeout : silentStoreTimeout;
    return now >= pending.submittedAt + waitingTimeout;
}

void JobSubmitter::failExpiredWaiting()
{
    std::vector<PendingRecord> expired;
    for (auto pending = waiting_.begin(); pending != waiting_.end();) {
        if (!isExpired(*pending)) {
            ++pending;
            continue;
        }
        expired.push_back(std::move(*pending));
        pending = waiting_.erase(pending);
    }
    for (auto& pending : expired)
        complete(pending, { pending.mayBeStored ? AppendOutcome::Unknown : AppendOutcome::NotStored });
}

void JobSubmitter::failExpiredInFlight()
{
    const auto now = clock_.now();
    const bool isStoreSilent = !isStoreResponsive_();
    for (auto& [number, batch] : inFlight_) {
        for (auto& pending : batch) {
            const bool hasTimedOut = isStoreSilent && now >= pending.submittedAt + unansweredAppendTimeout;
            if (hasTimedOut || now >= pending.deadline)
                complete(pending, { AppendOutcome::Unknown });
        }
    }
}

void JobSubmitter::scheduleDeadlineCheck()
{
    if (std::exchange(isDeadlineCheckScheduled_, true))
        return;
    timers_.schedule(clock_.now() + deadlineCheckInterval, [this] { checkDeadlines(); });
}

void JobSubmitter::checkDeadlines()
{
    isDeadlineCheckScheduled_ = false;
    failExpiredWaiting();
    failExpiredInFlight();
    if (!waiting_.empty() || !inFlight_.empty())
        scheduleDeadlineCheck();
}

} // namespace turmericsill::eventlog
