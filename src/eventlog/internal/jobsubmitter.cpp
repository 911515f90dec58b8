#include "eventlog/jobsubmitter.h"

#include "jobs/recordcodec.h"

#include <iterator>
#include <utility>

namespace turmericsill::eventlog {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    /// An append is answered within about 10 ms. A slow store takes seconds, and a repeated append makes it slower; a
    /// lost answer is made up for by reading the log.
    constexpr milliseconds storeTimeout { 2500 };
    constexpr milliseconds retryDelay { 40 };
    /// After this a caller that surely got nothing stored is told so, to try another entry or come back later: sooner
    /// when the store is silent or refuses than when it is slow.
    constexpr milliseconds silentPatience { 120 };
    constexpr milliseconds slowPatience { 1200 }; ///< A slow store answers an append in 0.2 to 0.9 s.
    constexpr milliseconds unansweredPatience { 600 }; ///< For an append while the store is silent.
    constexpr milliseconds watchInterval { 100 };
    constexpr std::size_t maximumBatchBytes = 256 << 10;

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
    waiting_.push_back({ jobs::encode(record, 0), clock_.now(), deadline, std::move(isStored), std::move(done) });
    scheduleWatch();
    storeNext();
}

void JobSubmitter::answer(Pending& pending, AppendOutcome outcome)
{
    if (auto done = std::exchange(pending.done, nullptr))
        done(outcome);
}

void JobSubmitter::storeNext()
{
    giveUpExpired();
    while (!waiting_.empty() && !retryScheduled_ && underWay_.size() < path_.concurrentCalls())
        storeBatch();
}

void JobSubmitter::storeBatch()
{
    std::vector<std::string> records;
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < waiting_.size() && (count == 0 || bytes + waiting_[count].payload.size() <= maximumBatchBytes)) {
        bytes += waiting_[count].payload.size();
        records.push_back(waiting_[count].payload);
        ++count;
    }
    const auto batchEnd = waiting_.begin() + static_cast<std::ptrdiff_t>(count);
    const std::uint64_t number = ++lastBatch_;
    underWay_[number].assign(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(batchEnd));
    waiting_.erase(waiting_.begin(), batchEnd);
    path_.store(
        std::move(records), storeTimeout, [this, number](const Result<void>& stored) { onAnswer(number, stored); });
}

void JobSubmitter::onAnswer(std::uint64_t number, const Result<void>& stored)
{
    const auto found = underWay_.find(number);
    if (found == underWay_.end())
        return;
    Batch batch = std::move(found->second);
    underWay_.erase(found);
    if (stored) {
        for (auto& pending : batch)
            answer(pending, AppendOutcome::Stored);
        return storeNext();
    }
    const bool isSurelyNotStored = stored.error().code == Errc::Unavailable;
    for (auto& pending : batch) {
        if (!pending.done)
            continue;
        pending.mayBeStored |= !isSurelyNotStored;
        pending.wasRefused = isSurelyNotStored;
        waiting_.push_back(std::move(pending));
    }
    giveUpExpired();
    retryLater();
}

void JobSubmitter::retryLater()
{
    retryScheduled_ = true;
    timers_.schedule(clock_.now() + retryDelay, [this] {
        retryScheduled_ = false;
        storeNext();
    });
}

void JobSubmitter::noteRead()
{
    const auto answerStored = [](Batch& batch) {
        bool isAnyOpen = false;
        for (auto& pending : batch) {
            if (pending.done && pending.isStored())
                answer(pending, AppendOutcome::Stored);
            isAnyOpen |= pending.done != nullptr;
        }
        return isAnyOpen;
    };
    answerStored(waiting_);
    bool isAnyOver = false;
    for (auto batch = underWay_.begin(); batch != underWay_.end();) {
        // All of the batch has taken effect, so its answer was lost.
        const bool isOver = !answerStored(batch->second);
        batch = isOver ? underWay_.erase(batch) : std::next(batch);
        isAnyOver |= isOver;
    }
    if (isAnyOver)
        storeNext();
}

bool JobSubmitter::isExpired(const Pending& pending) const
{
    const auto now = clock_.now();
    if (!pending.done || now >= pending.deadline)
        return true;
    if (pending.mayBeStored)
        return !isAnswering_() && now >= pending.submittedAt + unansweredPatience;
    const milliseconds patience = isAnswering_() && !pending.wasRefused ? slowPatience : silentPatience;
    return now >= pending.submittedAt + patience;
}

void JobSubmitter::giveUpExpired()
{
    std::vector<Pending> expired;
    for (auto pending = waiting_.begin(); pending != waiting_.end();) {
        if (!isExpired(*pending)) {
            ++pending;
            continue;
        }
        expired.push_back(std::move(*pending));
        pending = waiting_.erase(pending);
    }
    for (auto& pending : expired)
        answer(pending, pending.mayBeStored ? AppendOutcome::Unknown : AppendOutcome::NotStored);
}

void JobSubmitter::giveUpUnderWay()
{
    const auto now = clock_.now();
    const bool isSilent = !isAnswering_();
    for (auto& [number, batch] : underWay_) {
        for (auto& pending : batch) {
            const bool isHopeless = isSilent && now >= pending.submittedAt + unansweredPatience;
            if (isHopeless || now >= pending.deadline)
                answer(pending, AppendOutcome::Unknown);
        }
    }
}

void JobSubmitter::scheduleWatch()
{
    if (std::exchange(watchScheduled_, true))
        return;
    timers_.schedule(clock_.now() + watchInterval, [this] { watch(); });
}

void JobSubmitter::watch()
{
    watchScheduled_ = false;
    giveUpExpired();
    giveUpUnderWay();
    if (!waiting_.empty() || !underWay_.empty())
        scheduleWatch();
}

} // namespace turmericsill::eventlog
