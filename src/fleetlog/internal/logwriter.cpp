#include "fleetlog/logwriter.h"

#include "fleetstate/recordcodec.h"

#include <algorithm>
#include <utility>

namespace turmericsill::fleetlog {

using foundation::Errc;
using foundation::milliseconds;

namespace {

    constexpr milliseconds appendTimeout { 3000 };
    constexpr milliseconds retryDelay { 500 };
    /// Time after a successful append until a record that was not read back is appended again.
    constexpr milliseconds readBackTimeout { 5000 };
    constexpr std::size_t maximumBatchBytes = 4u << 20; ///< A single larger record is still appended alone.

} // namespace

LogWriter::LogWriter(platform::ILogClient& log, foundation::ITimerQueue& timers, const foundation::IClock& clock,
    std::string stream, milliseconds appendInterval)
    : log_(log)
    , timers_(timers)
    , clock_(clock)
    , stream_(std::move(stream))
    , appendInterval_(appendInterval)
{
}

void LogWriter::submit(const fleetstate::Record& record, milliseconds timeout, Callback done)
{
    PendingRecord pending;
    pending.payload = fleetstate::encodeRecord(record);
    pending.deadline = clock_.now() + timeout;
    pending.nextAttempt = clock_.now();
    pending.done = std::move(done);
    if (!pendingRecords_.emplace(record.id, std::move(pending)).second)
        return;
    scheduleAppend();
}

void LogWriter::onRecordApplied(const fleetstate::ApplyResult& applyResult)
{
    if (applyResult.duplicate)
        return;
    resolve(applyResult.recordId, applyResult.accepted ? AppendOutcome::Accepted : AppendOutcome::Refused,
        applyResult.reason);
}

void LogWriter::scheduleAppend()
{
    if (isAppendScheduled_ || pendingRecords_.empty())
        return;
    isAppendScheduled_ = true;
    timers_.schedule(std::max(clock_.now(), lastAppendAt_ + appendInterval_), [this] {
        isAppendScheduled_ = false;
        resolveExpired();
        appendDueRecords();
        scheduleAppend();
    });
}

void LogWriter::appendDueRecords()
{
    std::vector<std::string> payloads;
    std::vector<std::string> ids = collectBatch(payloads);
    lastAppendAt_ = clock_.now();
    if (ids.empty())
        return;
    ++appendCalls_;
    log_.append(stream_, std::move(payloads), appendTimeout,
        [this, ids = std::move(ids)](const foundation::Result<std::uint64_t>& answer) { onAppendAnswer(ids, answer); });
}

std::vector<std::string> LogWriter::collectBatch(std::vector<std::string>& payloads)
{
    std::vector<std::string> ids;
    std::size_t bytes = 0;
    const auto now = clock_.now();
    for (auto& [id, pending] : pendingRecords_) {
        if (pending.isInFlight || pending.nextAttempt > now)
            continue;
        if (!ids.empty() && bytes + pending.payload.size() > maximumBatchBytes)
            break;
        bytes += pending.payload.size();
        pending.isInFlight = true;
        ids.push_back(id);
        payloads.push_back(pending.payload);
    }
    return ids;
}

void LogWriter::onAppendAnswer(const std::vector<std::string>& ids, const foundation::Result<std::uint64_t>& answer)
{
    // Errc::Unavailable means that the request was not sent; after any other error it may have taken effect.
    const bool wasNotSent = !answer && answer.error().code == Errc::Unavailable;
    for (const auto& id : ids) {
        auto found = pendingRecords_.find(id);
        if (found == pendingRecords_.end())
            continue;
        PendingRecord& pending = found->second;
        pending.isInFlight = false;
        pending.mayBeAppended |= !wasNotSent;
        pending.nextAttempt = clock_.now() + (answer ? readBackTimeout : retryDelay);
    }
    scheduleAppend();
}

void LogWriter::resolveExpired()
{
    const auto now = clock_.now();
    std::vector<std::pair<std::string, AppendOutcome>> expired;
    for (const auto& [id, pending] : pendingRecords_) {
        if (pending.deadline > now)
            continue;
        const bool isUncertain = pending.isInFlight || pending.mayBeAppended;
        expired.emplace_back(id, isUncertain ? AppendOutcome::Unknown : AppendOutcome::NotAppended);
    }
    for (const auto& [id, outcome] : expired)
        resolve(id, outcome,
            outcome == AppendOutcome::Unknown ? "not read back in time" : "the platform's log was unreachable");
}

void LogWriter::resolve(const std::string& id, AppendOutcome outcome, const std::string& reason)
{
    auto found = pendingRecords_.find(id);
    if (found == pendingRecords_.end())
        return;
    Callback done = std::move(found->second.done);
    pendingRecords_.erase(found);
    done(outcome, reason);
}

} // namespace turmericsill::fleetlog
