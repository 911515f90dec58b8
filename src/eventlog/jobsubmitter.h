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

/// What became of a caller's record.
enum class AppendOutcome : std::uint8_t {
    Stored,
    NotStored, ///< Surely; and it never will be.
    Unknown, ///< An attempt had no answer, so the record may still be stored.
};

/// Stores callers' records for this entry. As many calls are under way as the path allows; what comes meanwhile goes
/// into the next.
/// Records may be stored twice, which the fold of the log allows for.
class JobSubmitter {
public:
    using Callback = std::function<void(AppendOutcome)>;

    JobSubmitter(ISubmissionPath& path, foundation::IClock& clock, foundation::ITimerQueue& timers);

    JobSubmitter(const JobSubmitter&) = delete;
    JobSubmitter& operator=(const JobSubmitter&) = delete;

    /// Tells whether the log's store has answered anything just now. While it is silent, records that were not sent are
    /// refused at once, and those that were are given up, so that callers can try another entry.
    void setStoreProbe(std::function<bool()> isAnswering) { isAnswering_ = std::move(isAnswering); }

    /// Stores a record; gives up at `deadline`. `isStored` tells whether the log, as far as it was read, holds the
    /// record's effect already.
    void submit(
        const jobs::Record& record, foundation::SteadyTime deadline, std::function<bool()> isStored, Callback done);

    /// The log was read further: what it holds needs no answer any more.
    void noteRead();

private:
    struct Pending {
        std::string payload;
        foundation::SteadyTime submittedAt;
        foundation::SteadyTime deadline;
        std::function<bool()> isStored;
        Callback done; ///< Null: the caller has its answer.
        bool mayBeStored = false;
        bool wasRefused = false; ///< By the log, or by a controller that it refuses.
    };

    using Batch = std::vector<Pending>;

    void storeNext();
    void storeBatch();
    void onAnswer(std::uint64_t number, const foundation::Result<void>& stored);
    void retryLater();
    void giveUpExpired();
    void giveUpUnderWay();
    void watch();
    void scheduleWatch();
    bool isExpired(const Pending& pending) const;
    static void answer(Pending& pending, AppendOutcome outcome);

    ISubmissionPath& path_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    Batch waiting_;
    std::map<std::uint64_t, Batch> underWay_; ///< By number; answers to one that is not here come too late.
    std::uint64_t lastBatch_ = 0;
    std::function<bool()> isAnswering_ = [] { return true; };
    bool retryScheduled_ = false;
    bool watchScheduled_ = false;
};

} // namespace turmericsill::eventlog
