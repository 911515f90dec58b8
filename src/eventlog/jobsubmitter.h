#pragma once

#include "eventlog/isubmissionpath.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "jobs/types/records.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// Outcome of storing a caller's record.
enum class AppendOutcome : std::uint8_t {
    Stored,
    NotStored, ///< Surely not stored, now or later.
    Unknown, ///< An attempt got no answer, so the record may have been stored or may still be.
    Rejected, ///< Not stored, nor would it be if it was submitted again.
    Overloaded, ///< Surely not stored, because the fleet is overloaded; may be submitted again later.
};

struct AppendResult {
    AppendOutcome outcome = AppendOutcome::Unknown;
    foundation::milliseconds retryAfter { 0 }; ///< Delay before the next attempt, for AppendOutcome::Overloaded.
};

/// Stores callers' records for this entry in batches. As many batches are in flight as the path allows; records that
/// arrive meanwhile go into the next one.
/// A record may be stored twice, which is harmless because applying it again has no effect.
class JobSubmitter {
public:
    using Callback = std::function<void(const AppendResult&)>;

    JobSubmitter(ISubmissionPath& path, foundation::IClock& clock, foundation::ITimerQueue& timers);

    JobSubmitter(const JobSubmitter&) = delete;
    JobSubmitter& operator=(const JobSubmitter&) = delete;

    /// Sets the predicate that tells whether the log's store has answered recently. While it has not, records that were
    /// not sent are refused soon, and those that were sent are given up, so that callers can try another entry.
    void setStoreAvailabilityCheck(std::function<bool()> isStoreResponsive)
    {
        isStoreResponsive_ = std::move(isStoreResponsive);
    }

    /// Stores a record; gives up at `deadline`. `isStored` tells whether the log, as far as it was read, already holds
    /// the record's effect.
    void submit(
        const jobs::Record& record, foundation::SteadyTime deadline, std::function<bool()> isStored, Callback done);

    /// To be called when the log was read further. Completes the records whose effect it holds, answered or not.
    void onLogRead();

private:
    /// A record whose caller waits for its outcome.
    struct PendingRecord {
        std::string payload;
        foundation::SteadyTime submittedAt;
        foundation::SteadyTime deadline;
        std::function<bool()> isStored;
        Callback done; ///< Null once the caller was told the outcome.
        bool mayBeStored = false; ///< Whether an attempt got no answer.
        bool wasRefused
            = false; ///< Whether the log, or a controller that it refuses, refused the latest attempt for now.
        bool isSentAlone = false; ///< Whether the record was part of a batch that was rejected for good.
    };

    using Batch = std::vector<PendingRecord>;

    void sendBatches();
    void sendBatch();
    void onAnswer(std::uint64_t number, const foundation::Result<StoreReceipt>& stored);
    void onStored(Batch batch, const StoreReceipt& receipt);
    void onRejected(Batch batch);
    std::size_t countNextBatch() const;
    void scheduleRetry();
    void failExpiredWaiting();
    void failExpiredInFlight();
    void checkDeadlines();
    void scheduleDeadlineCheck();
    bool isExpired(const PendingRecord& pending) const;
    static void complete(PendingRecord& pending, const AppendResult& result);

    ISubmissionPath& path_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    Batch waiting_;
    std::map<std::uint64_t, Batch> inFlight_; ///< Batches by number; an answer to any other batch comes too late.
    std::uint64_t lastBatchNumber_ = 0;
    std::function<bool()> isStoreResponsive_ = [] { return true; };
    bool isRetryScheduled_ = false;
    bool isDeadlineCheckScheduled_ = false;
};

} // namespace turmericsill::eventlog
