#pragma once

#include "eventlog/ieventlog.h"
#include "eventlog/isnapshotstore.h"
#include "eventlog/snapshotparts.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "jobs/jobtable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace turmericsill::eventlog {

/// Timing of the follower's reads.
struct FollowerOptions {
    foundation::milliseconds longPollTimeout { 1000 }; ///< How long a read waits for the first record.
    /// The same for a controller, which extends leases only as long as its reads show no later claim.
    foundation::milliseconds controllerLongPollTimeout { 400 };
    foundation::milliseconds followerPollDelay { 200 }; ///< Half of the staleness allowed without a fresh read.
    foundation::milliseconds closePollDelay { 20 }; ///< Instead of it while the log is followed closely.
    foundation::milliseconds controllerPollDelay { 4 }; ///< Adds to the start latency of a job, as do two appends.
    /// Delay between the reads of a controller that appends. Its own records need no read; callers' records that other
    /// entries append themselves are rare.
    foundation::milliseconds appendingPollDelay { 20 };
    foundation::milliseconds appendingTimeout { 100 }; ///< Time after an append in which the controller appends again.
    foundation::milliseconds retryDelay { 100 };
};

/// Reads of the log that were answered in a period of time.
struct ReadingLoad {
    std::uint64_t reads = 0;
    std::uint64_t records = 0;
    std::uint64_t bytes = 0; ///< Of the records.
    foundation::SteadyTime::duration longestRead {}; ///< From the request to the answer; long polls do not count.
    foundation::SteadyTime::duration applyTime {}; ///< Time for decoding and applying the records, in all.
};

/// Follows the log and maintains the job table that its records result in.
class JobFollower {
public:
    using ReadToEndCallback = std::function<void(foundation::Result<void>)>;

    JobFollower(IEventLog& log, ISnapshotStore& snapshots, foundation::IClock& clock, foundation::ITimerQueue& timers,
        FollowerOptions options);

    JobFollower(const JobFollower&) = delete;
    JobFollower& operator=(const JobFollower&) = delete;

    void start();

    const jobs::JobTable& table() const { return *table_; }

    /// First log offset that the table does not cover yet.
    std::uint64_t offset() const { return offset_; }

    /// Whether the table has covered the whole log at least once since it was last rebuilt.
    bool hasCaughtUp() const { return hasCaughtUp_; }

    /// Time as of which the table covered the whole log: when the latest read that reached its end was sent. Meaningful
    /// once hasCaughtUp().
    foundation::SteadyTime coveredAsOf() const { return coveredAsOf_; }

    /// Whether the log has dropped records that follow the snapshot, so that the table cannot be built from both. A
    /// later snapshot ends that.
    bool isSnapshotOutdated() const { return isSnapshotOutdated_; }

    /// Builds the table without the records that the log has dropped after the snapshot. What only they tell is lost.
    void skipDroppedRecords() { skipsDropped_ = true; }

    /// Epoch of the latest claim of control that was ever read; 0 if there is none, or if this process has not covered
    /// the whole log once, so that it may know less than an earlier process of this entry did.
    std::uint64_t latestKnownClaim() const;

    /// When the claim of an epoch was first read, which was after it was appended; the present if it was not read.
    foundation::SteadyTime claimKnownSince(std::uint64_t epoch) const;

    /// Time by which leases that orders for an earlier incarnation may have granted to an instance have expired.
    foundation::SteadyTime earlierLeasesExpiredAt(const std::string& instance) const;

    /// When the log last answered a read.
    foundation::SteadyTime lastAnswerAt() const { return lastAnswerAt_; }

    /// Whether the latest read failed.
    bool hasLastReadFailed() const { return hasLastReadFailed_; }

    /// Returns the reads since the previous call.
    ReadingLoad takeLoad() { return std::exchange(load_, {}); }

    /// Reads to the current end of the log, then calls `done`. Calls during such a read share the next one.
    void readToEnd(ReadToEndCallback done);

    /// Sets a callback that is called after records were read and applied.
    void onChange(std::function<void()> callback) { changeCallback_ = std::move(callback); }

    /// Sets a callback that is called after own records were stored, while the log is followed closely.
    void onOwnRecordsConfirmed(std::function<void()> callback) { ownRecordsCallback_ = std::move(callback); }

    /// Whether records of others are read as soon as they are appended, which takes more reads, instead of within
    /// FollowerOptions::followerPollDelay.
    void setFollowsClosely(bool followsClosely);

    /// Begins control: the records of this epoch are applied by applyOwnRecord() before they are appended, thus not
    /// again when they are read back, and reads become more frequent.
    void beginControl(std::uint64_t epoch);

    /// Applies a record of this controller that is about to be appended.
    void applyOwnRecord(const jobs::Record& record) { table_->apply(record); }

    /// Whether control under this epoch has begun and goes on. It ends with endControl(), and when the log no longer
    /// holds a record that was not read; the table is rebuilt then, and the change callback is called.
    bool isInControl(std::uint64_t epoch) const { return ownEpoch_ == epoch; }

    /// Number of bytes of the records that the table covers and that were read or stored after the snapshot from which
    /// it was built, or from the beginning of the log.
    std::uint64_t bytesSinceSnapshot() const { return bytesSinceSnapshot_; }

    /// Skips the records of an append of this controller that the log has acknowledged, instead of reading them back:
    /// under load, reading them takes longer than writing them.
    void onOwnRecordsStored(std::uint64_t offset, std::uint64_t count, std::uint64_t bytes);

    /// Number of this controller's records that were read back from the log or skipped.
    std::uint64_t ownRecordsRead() const { return ownRecordsRead_; }

    /// See JobTable::takeChangedJobs().
    std::vector<jobs::JobId> takeChangedJobs() { return table_->takeChangedJobs(); }

    /// See JobTable::startDueOccurrences().
    void startDueOccurrences(foundation::milliseconds wallTime) { table_->startDueOccurrences(wallTime); }

    /// See JobTable::dropDetailsOfCompletedJobs(). Without control it is done as the log is read.
    void dropDetailsOfCompletedJobs() { table_->dropDetailsOfCompletedJobs(); }

    /// Ends control and rebuilds the table from the log, since it may contain records that were never appended.
    void endControl();

    /// Keys that stand for a part of the snapshot from which the table was built, without that of the header.
    const std::vector<std::string>& restoredKeys() const { return restoredKeys_; }

    /// Key of the header in the snapshot store; all other entries are jobs, or parts of entries.
    static const std::string headerKey;

    /// Number of records and snapshot entries that could not be decoded.
    std::uint64_t unknownRecords() const { return unknownRecords_; }

private:
    void loadSnapshot();
    static void completeReads(std::vector<ReadToEndCallback> callers, const foundation::Result<void>& result);
    void restore(JoinedSnapshot snapshot);
    void poll();
    void catchUp();
    void schedulePoll(foundation::milliseconds delay);
    void scheduleNextPoll(bool hasReadSucceeded);
    bool isAppending() const;
    void skipOwnRecords();
    void onPage(const foundation::Result<LogPage>& page, std::uint64_t generation, foundation::SteadyTime sentAt);
    void applyPage(const LogPage& page);
    void countPage(const LogPage& page, foundation::SteadyTime::duration applyTime);
    void recordClaimTimes();
    void recordRestartTimes();
    void onRetentionPassed();
    void rebuild();
    void startReadToEnd();

    IEventLog& log_;
    ISnapshotStore& snapshots_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    FollowerOptions options_;
    std::unique_ptr<jobs::JobTable> table_;
    std::uint64_t offset_ = 0;
    std::uint64_t ownEpoch_ = 0; ///< Epoch of this controller; 0 while this entry is not the controller.
    std::uint64_t ownRecordsRead_ = 0;
    std::uint64_t bytesSinceSnapshot_ = 0;
    std::map<std::uint64_t, std::uint64_t>
        ownRanges_; ///< Offsets of acknowledged own records: first, and past the last.
    foundation::SteadyTime lastOwnAppendAt_ {};
    std::uint64_t generation_ = 0; ///< Increases with each rebuild; answers of an earlier generation are ignored.
    std::uint64_t unknownRecords_ = 0;
    std::map<std::uint64_t, foundation::SteadyTime> claimsKnownSince_; ///< Key: epoch. Outlives rebuilds of the table.
    /// The restart of an instance and when leases of orders for the incarnation before have expired.
    struct KnownRestart {
        std::int64_t startedAt = 0;
        foundation::SteadyTime leasesExpiredAt;
    };
    std::map<std::string, KnownRestart> knownRestarts_; ///< Key: name of the instance. Outlives rebuilds of the table.
    std::uint64_t recordedRestarts_ = 0; ///< JobTable::restartCount() as of the latest recordRestartTimes().
    bool isLoadingSnapshot_ = false;
    bool isSnapshotLoaded_ = false; ///< Whether the snapshot was loaded since the last rebuild.
    bool hasAppliedPage_ = false; ///< Whether a page was applied since the last rebuild.
    bool isSnapshotOutdated_ = false;
    bool skipsDropped_ = false; ///< Whether the next read skips records that the log has dropped.
    foundation::SteadyTime coveredAsOf_ {};
    foundation::SteadyTime lastAnswerAt_ {};
    bool hasLastReadFailed_ = false;
    bool hasCaughtUp_ = false;
    bool hasEverCaughtUp_ = false; ///< Also before the latest rebuild.
    bool isReadToEndInFlight_ = false;
    ReadingLoad load_;
    std::vector<std::string> restoredKeys_;
    std::vector<ReadToEndCallback> waitingReads_;
    std::function<void()> changeCallback_;
    std::function<void()> ownRecordsCallback_;
    bool followsClosely_ = false;
    bool isPollDelayed_ = false; ///< Whether the next poll is scheduled after followerPollDelay.
    std::uint64_t scheduledPoll_ = 0; ///< Number of the poll that is scheduled; earlier ones do not take place.
};

} // namespace turmericsill::eventlog
