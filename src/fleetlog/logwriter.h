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

/// What a writer learns about its record.
enum class AppendOutcome {
    Accepted, ///< Read back from the log and in force.
    Refused, ///< Read back; its precondition failed.
    NotAppended, ///< Provably not in the log.
    Unknown, ///< Neither was shown in time.
};

/// Appends records in batches, at most one append call an interval, and resolves each by reading it back.
/// A record whose append has an uncertain answer is appended again with the same id; the fold takes it once.
class LogWriter {
public:
    using Callback = std::function<void(AppendOutcome, const std::string& reason)>;

    LogWriter(platform::ILogClient& log, foundation::ITimerQueue& timers, const foundation::IClock& clock,
        std::string stream, foundation::milliseconds appendInterval);

    /// Queues a record. The callback runs once, at the latest when `timeout` has passed.
    void submit(const fleetstate::Record& record, foundation::milliseconds timeout, Callback done);

    /// Tells the writer about a folded record.
    void onVerdict(const fleetstate::Verdict& verdict);

    /// Append calls made so far.
    std::uint64_t appendCalls() const { return appendCalls_; }

private:
    struct Pending {
        std::string payload;
        foundation::SteadyTime deadline;
        foundation::SteadyTime nextAttempt;
        bool inFlight = false;
        bool maybeAppended = false; ///< Some attempt may have taken effect.
        Callback done;
    };

    void scheduleFlush();
    void flush();
    std::vector<std::string> collectBatch(std::vector<std::string>& payloads);
    void onAppendAnswer(const std::vector<std::string>& ids, const foundation::Result<std::uint64_t>& answer);
    void expire();
    void resolve(const std::string& id, AppendOutcome outcome, const std::string& reason);

    platform::ILogClient& log_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    std::string stream_;
    foundation::milliseconds appendInterval_;
    std::map<std::string, Pending> pending_;
    foundation::SteadyTime lastAppend_ {};
    bool flushScheduled_ = false;
    std::uint64_t appendCalls_ = 0;
};

} // namespace turmericsill::fleetlog
