#pragma once

#include "eventlog/ieventlog.h"
#include "eventlog/isnapshotstore.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "jobs/jobtable.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace turmericsill::eventlog {

/// Pauses between reads.
struct FollowerOptions {
    foundation::milliseconds longPoll { 1000 }; ///< How long a read waits for the first record.
    foundation::milliseconds pauseAsFollower { 200 }; ///< Half of what a caller may see late without asking for it.
    foundation::milliseconds pauseAsController { 4 }; ///< New jobs start after this and two appends.
    foundation::milliseconds retryDelay { 100 };
};

/// Reads the log and keeps the table of jobs that it folds to.
class JobFollower {
public:
    using FreshCallback = std::function<void(foundation::Result<void>)>;

    JobFollower(IEventLog& log, ISnapshotStore& snapshots, foundation::IClock& clock, foundation::ITimerQueue& timers,
        FollowerOptions options);

    JobFollower(const JobFollower&) = delete;
    JobFollower& operator=(const JobFollower&) = delete;

    void start();

    const jobs::JobTable& table() const { return *table_; }

    /// Offset up to which the table holds the log.
    std::uint64_t offset() const { return offset_; }

    /// Whether the table has held the whole log at least once since it was last rebuilt.
    bool hasCaughtUp() const { return caughtUp_; }

    /// When the log last answered a read, and whether it failed the latest one.
    foundation::SteadyTime answeredAt() const { return answeredAt_; }
    bool hasLastReadFailed() const { return lastReadFailed_; }

    /// Reads to the log's present end, then calls back. Calls that come meanwhile share the next read.
    void readToEnd(FreshCallback done);

    /// Called after records were folded.
    void onChange(std::function<void()> callback) { changed_ = std::move(callback); }

    /// The controller folds its own records before they are appended, and reads more often.
    void beginControl(std::uint64_t epoch);
    void applyOwn(const jobs::Record& record) { table_->apply(record); }

    /// Records of this controller that were read back.
    std::uint64_t ownRecordsRead() const { return ownRecordsRead_; }

    /// As JobTable::beginDueOccurrences().
    void beginDueOccurrences(foundation::milliseconds timeOfDay) { table_->beginDueOccurrences(timeOfDay); }

    /// Ends control. The table may hold records that were never appended, so it is built anew from the log.
    void endControl();

    /// Jobs that stood in the snapshot that the table was built from.
    const std::vector<jobs::JobId>& restoredJobs() const { return restoredJobs_; }

    /// Key of a snapshot's head; the other keys are jobs' ids.
    static const std::string headKey;

    std::uint64_t unknownRecords() const { return unknownRecords_; }

private:
    void load();
    static void answerFresh(std::vector<FreshCallback> callers, const foundation::Result<void>& result);
    void onLoaded(const foundation::Result<std::vector<SnapshotEntry>>& entries, std::uint64_t generation);
    void poll();
    void schedulePoll(foundation::milliseconds delay);
    void continuePolling(bool hasAnswer);
    void onPage(const foundation::Result<LogPage>& page, std::uint64_t generation);
    void fold(const LogPage& page);
    void rebuild();
    void startFreshRead();

    IEventLog& log_;
    ISnapshotStore& snapshots_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    FollowerOptions options_;
    std::unique_ptr<jobs::JobTable> table_;
    std::uint64_t offset_ = 0;
    std::uint64_t ownEpoch_ = 0; ///< 0: this entry is not the controller.
    std::uint64_t ownRecordsRead_ = 0;
    std::uint64_t generation_ = 0; ///< Rises with each rebuild; pages of an earlier one are left out.
    std::uint64_t unknownRecords_ = 0;
    bool isLoading_ = false;
    bool loaded_ = false; ///< The snapshot, since the last rebuild.
    foundation::SteadyTime answeredAt_ {};
    bool lastReadFailed_ = false;
    bool caughtUp_ = false;
    bool freshReadRunning_ = false;
    std::vector<jobs::JobId> restoredJobs_;
    std::vector<FreshCallback> waitingForFresh_;
    std::function<void()> changed_;
};

} // namespace turmericsill::eventlog
