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
    constexpr milliseconds readBackPatience {
        5000
    }; ///< After an answered append, before the record is appended again.
    constexpr std::size_t maximumBatchBytes = 4u << 20;

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
    Pending pending;
    pending.payload = fleetstate::encodeRecord(record);
    pending.deadline = clock_.now() + timeout;
    pending.nextAttempt = clock_.now();
    pending.done = std::move(done);
    if (!pending_.emplace(record.id, std::move(pending)).second)
        return;
    scheduleFlush();
}

void LogWriter::onVerdict(const fleetstate::Verdict& verdict)
{
    if (verdict.duplicate)
        return;
    resolve(verdict.recordId, verdict.accepted ? AppendOutcome::Accepted : AppendOutcome::Refused, verdict.reason);
}

void LogWriter::scheduleFlush()
{
    if (flushScheduled_ || pending_.empty())
        return;
    flushScheduled_ = true;
    timers_.schedule(std::max(clock_.now(), lastAppend_ + appendInterval_), [this] {
        flushScheduled_ = false;
        expire();
        flush();
        scheduleFlush();
    });
}

void LogWriter::flush()
{
    std::vector<std::string> payloads;
    std::vector<std::string> ids = collectBatch(payloads);
    lastAppend_ = clock_.now();
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
    for (auto& [id, pending] : pending_) {
        if (pending.inFlight || pending.nextAttempt > now)
            continue;
        if (!ids.empty() && bytes + pending.payload.size() > maximumBatchBytes)
            break;
        bytes += pending.payload.size();
        pending.inFlight = true;
        ids.push_back(id);
        payloads.push_back(pending.payload);
    }
    return ids;
}

void LogWriter::onAppendAnswer(const std::vector<std::string>& ids, const foundation::Result<std::uint64_t>& answer)
{
    const bool notSent = !answer && answer.error().code == Errc::Unavailable;
    for (const auto& id : ids) {
        auto found = pending_.find(id);
        if (found == pending_.end())
            continue;
        Pending& pending = found->second;
        pending.inFlight = false;
        pending.maybeAppended |= !notSent;
        pending.nextAttempt = clock_.now() + (answer ? readBackPatience : retryDelay);
    }
    scheduleFlush();
}

void LogWriter::expire()
{
    const auto now = clock_.now();
    std::vector<std::pair<std::string, AppendOutcome>> expired;
    for (const auto& [id, pending] : pending_) {
        if (pending.deadline > now)
            continue;
        const bool uncertain = pending.inFlight || pending.maybeAppended;
        expired.emplace_back(id, uncertain ? AppendOutcome::Unknown : AppendOutcome::NotAppended);
    }
    for (const auto& [id, outcome] : expired)
        resolve(id, outcome, outcome == AppendOutcome::Unknown ? "not read back in time" : "the log was not reachable");
}

void LogWriter::resolve(const std::string& id, AppendOutcome outcome, const std::string& reason)
{
    auto found = pending_.find(id);
    if (found == pending_.end())
        return;
    Callback done = std::move(found->second.done);
    pending_.erase(found);
    done(outcome, reason);
}

} // namespace turmericsill::fleetlog
