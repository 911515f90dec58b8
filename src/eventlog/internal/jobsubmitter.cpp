#include "eventlog/jobsubmitter.h"

#include "jobs/recordcodec.h"

#include <iterator>
#include <utility>

namespace turmericsill::eventlog {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    /// An append is answered within about 10 ms; a slow store takes 50 times as long.
    constexpr milliseconds appendTimeout { 700 };
    constexpr milliseconds retryDelay { 40 };
    /// After this a caller that surely got nothing stored is told so, to try another entry or come back later.
    constexpr milliseconds refusalPatience { 120 };
    constexpr std::size_t maximumBatchBytes = 256 << 10;

} // namespace

JobSubmitter::JobSubmitter(IEventLog& log, foundation::IClock& clock, foundation::ITimerQueue& timers)
    : log_(log)
    , clock_(clock)
    , timers_(timers)
{
}

void JobSubmitter::submit(const jobs::Record& record, foundation::SteadyTime deadline, Callback done)
{
    waiting_.push_back({ jobs::encode(record, 0), clock_.now(), deadline, std::move(done) });
    if (underWay_.empty() && !retryScheduled_)
        appendNext();
}

void JobSubmitter::appendNext()
{
    giveUpExpired();
    if (waiting_.empty() || !underWay_.empty())
        return;
    AppendRequest request;
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < waiting_.size() && (count == 0 || bytes + waiting_[count].payload.size() <= maximumBatchBytes)) {
        bytes += waiting_[count].payload.size();
        request.payloads.push_back(waiting_[count].payload);
        ++count;
    }
    const auto batchEnd = waiting_.begin() + static_cast<std::ptrdiff_t>(count);
    underWay_.assign(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(batchEnd));
    waiting_.erase(waiting_.begin(), batchEnd);
    log_.append(std::move(request), appendTimeout, [this](const Result<AppendReceipt>& answer) { onAnswer(answer); });
}

void JobSubmitter::onAnswer(const Result<AppendReceipt>& answer)
{
    std::vector<Pending> batch = std::move(underWay_);
    underWay_.clear();
    if (answer) {
        for (auto& pending : batch)
            pending.done(AppendOutcome::Stored);
        return appendNext();
    }
    const bool isSurelyNotStored = answer.error().code == Errc::Unavailable;
    for (auto& pending : batch)
        pending.mayBeStored |= !isSurelyNotStored;
    waiting_.insert(waiting_.begin(), std::make_move_iterator(batch.begin()), std::make_move_iterator(batch.end()));
    giveUpExpired();
    retryScheduled_ = true;
    timers_.schedule(clock_.now() + retryDelay, [this] {
        retryScheduled_ = false;
        appendNext();
    });
}

bool JobSubmitter::isExpired(const Pending& pending) const
{
    const auto now = clock_.now();
    if (now >= pending.deadline)
        return true;
    return !pending.mayBeStored && now >= pending.submittedAt + refusalPatience;
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
        pending.done(pending.mayBeStored ? AppendOutcome::Unknown : AppendOutcome::NotStored);
}

} // namespace turmericsill::eventlog
