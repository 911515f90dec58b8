#pragma once

#include "fleetstate/types/records.h"
#include "foundation/itimerqueue.h"
#include "platform/ilogclient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::fleetlog {

/// Outcome of a submitted record.
enum class AppendOutcome {
    Accepted, ///< The record was read back from the log and took effect.
    Refused, ///< The record was read back from the log, but its precondition failed.
    NotAppended, ///< No append can have succeeded, so the record is not in the log.
    Unknown, ///< The record may be in the log but was not read back before the timeout.
};

/// Appends records in batches, with at most one append call per interval, and resolves each record when it is read
/// back. A record whose append has an uncertain result is appended again with the same id; the state machine ignores
/// the repetition.
class LogWriter {
public:
    using Callback = std::function<void(AppendOutcome, const std::string& reason)>;

    LogWriter(platform::ILogClient& log, foundation::ITimerQueue& timers, const foundation::IClock& clock,
        std::string stream, foundation::milliseconds appendInterval);

    /// Queues a record. The callback runs once, when the record is read back or after `timeout`.
    void submit(const fleetstate::Record& record, foundation::milliseconds timeout, Callback done);

    /// Resolves the record that the result belongs to, if this writer submitted it.
    void onRecordApplied(const fleetstate::ApplyResult& applyResult);

    /// Number of append calls so far.
    std::uint64_t appendCalls() const { return appendCalls_; }

private:
    struct PendingRecord {
        std::string payload;
        foundation::SteadyTime deadline;
        foundation::SteadyTime nextAttempt;
        bool isInFlight = false;
        bool mayBeAppended = false; ///< At least one append attempt may have succeeded.
        Callback done;
    };

    void scheduleAppend();
    void appendDueRecords();

    /// Copies the payloads of the records that are due into `payloads`, marks them in flight and returns their ids.
    std::vector<std::string> collectBatch(std::vector<std::string>& payloads);
    void onAppendAnswer(const std::vector<std::string>& ids, const foundation::Result<std::uint64_t>& answer);
    void resolveExpired();
    void resolve(const std::string& id, AppendOutcome outcome, const std::string& reason);

    platform::ILogClient& log_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    std::string stream_;
    foundation::milliseconds appendInterval_;
    std::map<std::string, PendingRecord> pendingRecords_; ///< Unresolved records by id.
    foundation::SteadyTime lastAppendAt_ {};
    bool isAppendScheduled_ = false;
    std::uint64_t appendCalls_ = 0;
};

} // namespace turmericsill::fleetlog
