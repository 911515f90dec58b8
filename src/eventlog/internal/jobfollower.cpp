#include "eventlog/jobfollower.h"

#include "jobs/recordcodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmericsill::eventlog {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    /// A page of this size takes 0.1 s on a link of 10 Mbit/s, well within the timeout of a read.
    constexpr std::size_t pageBytes = 128 << 10;
    /// Time after the end of its leases for which a restart is not new if the log is read once more.
    constexpr milliseconds retainedRestartTime { 60000 };
    constexpr std::size_t retainedClaimTimes = 64; ///< Exceeds the number of claims that a table retains.

} // namespace

JobFollower::JobFollower(IEventLog& log, ISnapshotStore& snapshots, foundation::IClock& clock,
    foundation::ITimerQueue& timers, FollowerOptions options)
    : log_(log)
    , snapshots_(snapshots)
    , clock_(clock)
    , timers_(timers)
    , options_(options)
    , table_(std::make_unique<jobs::JobTable>())
{
}

const std::string JobFollower::headerKey = "head";

void JobFollower::start() { poll(); }

// Reads that are requested while the snapshot loads wait for it, and fail if loading fails.
void JobFollower::loadSnapshot()
{
    if (std::exchange(isLoadingSnapshot_, true))
        return;
    snapshots_.load([this, generation = generation_](Result<std::vector<SnapshotEntry>> entries) {
        isLoadingSnapshot_ = false;
        if (!entries)
            return completeReads(std::exchange(waitingReads_, {}), tl::unexpected(entries.error()));
        if (generation == generation_)
            restore(joinEntries(std::move(*entries)));
        if (!waitingReads_.empty() && !isReadToEndInFlight_)
            startReadToEnd();
    });
}

void JobFollower::completeReads(std::vector<ReadToEndCallback> callers, const Result<void>& result)
{
    for (auto& caller : callers)
        caller(result);
}

// A job in the snapshot may be newer than the header's offset; applying its records again has no effect.
void JobFollower::restore(JoinedSnapshot snapshot)
{
    restoredKeys_ = std::move(snapshot.partKeys);
    unknownRecords_ += snapshot.incompleteEntries;
    for (const auto& entry : snapshot.entries) {
        if (entry.key == headerKey) {
            if (auto header = jobs::decodeHeader(entry.value)) {
                table_->restore(*header);
                offset_ = header->offset;
            } else {
                ++unknownRecords_;
            }
            continue;
        }
        auto job = jobs::decodeJob(entry.value);
        if (!job) {
            ++unknownRecords_;
            continue;
        }
        restoredKeys_.push_back(entry.key);
        table_->restore(std::move(*job));
    }
    isSnapshotLoaded_ = true;
    recordClaimTimes();
    recordRestartTimes();
}

void JobFollower::recordClaimTimes()
{
    const auto& claims = table_->claims();
    for (auto claim = claims.rbegin(); claim != claims.rend(); ++claim) {
        if (!claimsKnownSince_.emplace(claim->epoch, clock_.now()).second)
            break;
    }
    while (claimsKnownSince_.size() > retainedClaimTimes)
        claimsKnownSince_.erase(claimsKnownSince_.begin());
}

// A restart is first read after its record was written.
void JobFollower::recordRestartTimes()
{
    if (std::exchange(recordedRestarts_, table_->restartCount()) == table_->restartCount())
        return;
    const auto now = clock_.now();
    std::vector<std::string> outdated;
    for (const auto& [instance, restart] : table_->restarts()) {
        KnownRestart& known = knownRestarts_[instance];
        if (known.startedAt != restart.incarnation.startedAt)
            known = { restart.incarnation.startedAt, now + restart.leasesLeft };
        if (known.leasesExpiredAt < now)
            outdated.push_back(instance);
    }
    for (const auto& instance : outdated)
        table_->forgetRestart(instance);
    for (auto known = knownRestarts_.begin(); known != knownRestarts_.end();) {
        const bool isForgotten = known->second.leasesExpiredAt + retainedRestartTime < now;
        known = isForgotten ? knownRestarts_.erase(known) : std::next(known);
    }
}

foundation::SteadyTime JobFollower::earlierLeasesExpiredAt(const std::string& instance) const
{
    const auto known = knownRestarts_.find(instance);
    return known == knownRestarts_.end() ? foundation::SteadyTime::min() : known->second.leasesExpiredAt;
}

std::uint64_t JobFollower::latestKnownClaim() const
{
    return hasEverCaughtUp_ && !claimsKnownSince_.empty() ? claimsKnownSince_.rbegin()->first : 0;
}

foundation::SteadyTime JobFollower::claimKnownSince(std::uint64_t epoch) const
{
    const auto known = claimsKnownSince_.find(epoch);
    return known == claimsKnownSince_.end() ? clock_.now() : known->second;
}

void JobFollower::poll()
{
    if (!isSnapshotLoaded_) {
        loadSnapshot();
        return schedulePoll(options_.controllerPollDelay);
    }
    if (!hasCaughtUp_ || isReadToEndInFlight_)
        return catchUp();
    // A long poll would return with each of the controller's own appends.
    const auto longPollTimeout = ownEpoch_ > 0 ? options_.controllerLongPollTimeout : options_.longPollTimeout;
    const ReadRequest request { offset_, isAppending() ? milliseconds(0) : longPollTimeout, pageBytes };
    log_.read(request, [this, generation = generation_, sentAt = clock_.now()](const Result<LogPage>& page) {
        onPage(page, generation, sentAt);
        const bool isBehind = page && offset_ < page->end;
        if (isBehind)
            return catchUp();
        scheduleNextPoll(page.has_value());
    });
}

// Shares the read to the end: two concurrent reads of a long log would compete for the link and transfer the same
// records twice.
void JobFollower::catchUp()
{
    readToEnd([this](const Result<void>& read) { scheduleNextPoll(read.has_value()); });
}

void JobFollower::scheduleNextPoll(bool hasReadSucceeded)
{
    if (!hasReadSucceeded)
        return schedulePoll(options_.retryDelay);
    if (ownEpoch_ == 0) {
        isPollDelayed_ = !followsClosely_;
        return schedulePoll(followsClosely_ ? options_.closePollDelay : options_.followerPollDelay);
    }
    schedulePoll(isAppending() ? options_.appendingPollDelay : options_.controllerPollDelay);
}

bool JobFollower::isAppending() const
{
    return ownEpoch_ > 0 && clock_.now() - lastOwnAppendAt_ < options_.appendingTimeout;
}

void JobFollower::onOwnRecordsStored(std::uint64_t offset, std::uint64_t count, std::uint64_t bytes)
{
    bytesSinceSnapshot_ += bytes;
    lastOwnAppendAt_ = clock_.now();
    ownRanges_.emplace(offset, offset + count);
    skipOwnRecords();
    // In a later turn, since the writer has yet to note that the append was stored.
    if (followsClosely_ && ownRecordsCallback_)
        timers_.schedule(clock_.now(), ownRecordsCallback_);
}

void JobFollower::skipOwnRecords()
{
    while (!ownRanges_.empty() && ownRanges_.begin()->first <= offset_) {
        const std::uint64_t end = ownRanges_.begin()->second;
        ownRanges_.erase(ownRanges_.begin());
        if (end <= offset_)
            continue;
        ownRecordsRead_ += end - offset_;
        offset_ = end;
    }
}

void JobFollower::schedulePoll(milliseconds delay)
{
    timers_.schedule(clock_.now() + delay, [this, number = ++scheduledPoll_] {
        if (number != scheduledPoll_)
            return;
        isPollDelayed_ = false;
        poll();
    });
}

void JobFollower::setFollowsClosely(bool followsClosely)
{
    followsClosely_ = followsClosely;
    if (followsClosely && std::exchange(isPollDelayed_, false))
        schedulePoll(milliseconds(0));
}

void JobFollower::onPage(const Result<LogPage>& page, std::uint64_t generation, foundation::SteadyTime sentAt)
{
    hasLastReadFailed_ = !page;
    if (page)
        lastAnswerAt_ = clock_.now();
    if (generation != generation_)
        return;
    if (!page) {
        if (page.error().code == Errc::RetentionPassed)
            onRetentionPassed();
        return;
    }
    const auto receivedAt = clock_.now();
    applyPage(*page);
    countPage(*page, clock_.now() - receivedAt);
    if (offset_ >= page->end) {
        hasCaughtUp_ = true;
        hasEverCaughtUp_ = true;
        coveredAsOf_ = std::max(coveredAsOf_, sentAt);
    }
    if (!page->payloads.empty() && changeCallback_)
        changeCallback_();
}

void JobFollower::countPage(const LogPage& page, foundation::SteadyTime::duration applyTime)
{
    ++load_.reads;
    load_.records += page.payloads.size();
    for (const auto& payload : page.payloads)
        load_.bytes += payload.size();
    load_.applyTime += applyTime;
}

// Two reads may be in flight, so a page may begin with records that were already applied.
void JobFollower::applyPage(const LogPage& page)
{
    hasAppliedPage_ = true;
    isSnapshotOutdated_ = false;
    if (std::exchange(skipsDropped_, false))
        offset_ = std::max(offset_, page.from);
    std::uint64_t offset = page.from;
    for (const auto& payload : page.payloads) {
        if (offset++ != offset_)
            continue;
        ++offset_;
        bytesSinceSnapshot_ += payload.size();
        auto logged = jobs::decode(payload);
        if (!logged) {
            ++unknownRecords_;
            continue;
        }
        if (logged->epoch == 0 || logged->epoch != ownEpoch_)
            table_->apply(logged->record);
        else
            ++ownRecordsRead_;
    }
    if (ownEpoch_ == 0)
        table_->dropDetailsOfCompletedJobs();
    recordClaimTimes();
    recordRestartTimes();
    skipOwnRecords();
}

void JobFollower::readToEnd(ReadToEndCallback done)
{
    waitingReads_.push_back(std::move(done));
    if (!isReadToEndInFlight_)
        startReadToEnd();
}

void JobFollower::startReadToEnd()
{
    if (!isSnapshotLoaded_)
        return loadSnapshot();
    isReadToEndInFlight_ = true;
    auto callers = std::make_shared<std::vector<ReadToEndCallback>>(std::move(waitingReads_));
    waitingReads_.clear();
    ReadRequest request { offset_, milliseconds(0), pageBytes };
    request.skipsDropped = skipsDropped_;
    log_.read(request, [this, callers, generation = generation_, sentAt = clock_.now()](const Result<LogPage>& page) {
        if (page)
            load_.longestRead = std::max(load_.longestRead, clock_.now() - sentAt);
        onPage(page, generation, sentAt);
        isReadToEndInFlight_ = false;
        const bool hasReachedEnd = page && generation == generation_ && offset_ >= page->end;
        if (page && !hasReachedEnd) {
            waitingReads_.insert(waitingReads_.begin(), callers->begin(), callers->end());
            return startReadToEnd();
        }
        Result<void> result;
        if (!page)
            result = tl::unexpected(page.error());
        completeReads(std::move(*callers), result);
        if (!waitingReads_.empty() && !isReadToEndInFlight_)
            startReadToEnd();
    });
}

void JobFollower::beginControl(std::uint64_t epoch)
{
    ownEpoch_ = epoch;
    ownRecordsRead_ = 0;
    ownRanges_.clear();
}

void JobFollower::endControl()
{
    ownEpoch_ = 0;
    rebuild();
}

// A table that is rebuilt during a term of control lacks the controller's own records, so the term ends.
void JobFollower::onRetentionPassed()
{
    const bool wasInControl = ownEpoch_ > 0;
    isSnapshotOutdated_ = isSnapshotLoaded_ && !hasAppliedPage_;
    endControl();
    if (wasInControl && changeCallback_)
        changeCallback_();
}

void JobFollower::rebuild()
{
    ++generation_;
    offset_ = 0;
    bytesSinceSnapshot_ = 0;
    ownRanges_.clear();
    isSnapshotLoaded_ = false;
    restoredKeys_.clear();
    hasAppliedPage_ = false;
    hasCaughtUp_ = false;
    table_ = std::make_unique<jobs::JobTable>();
    recordedRestarts_ = 0;
}

} // namespace turmericsill::eventlog
