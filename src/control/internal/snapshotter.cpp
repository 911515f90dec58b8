#include "control/snapshotter.h"

#include "eventlog/snapshotparts.h"
#include "jobs/snapshotcodec.h"

#include <algorithm>
#include <utility>

namespace turmericsill::control {

using eventlog::JobFollower;
using eventlog::SnapshotEntry;
using eventlog::UnstoredChanges;
using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    constexpr milliseconds retryDelay { 50 };
    constexpr milliseconds rejectedRetryDelay { 500 }; ///< Time in which the controller does its other work.
    constexpr milliseconds completeLogTimeout { 500 }; ///< Time to wait for the log to hold what the table holds.
    constexpr std::size_t bytesPerStep = 64 << 10; ///< Encoding this takes some milliseconds.
    constexpr std::size_t jobKeyLength = 16; ///< Parts of an entry have a longer key.
    constexpr std::size_t minimumEntryBytes = 1024; ///< Smaller parts do not make a snapshot acceptable.

    bool belongsToHeader(const std::string& key)
    {
        return key.compare(0, JobFollower::headerKey.size(), JobFollower::headerKey) == 0;
    }

} // namespace

Snapshotter::Snapshotter(eventlog::ISnapshotStore& store, const eventlog::JobFollower& follower,
    const foundation::IClock& clock, telemetry::IEventSink& events, std::uint64_t epoch, const SnapshotTerms& terms)
    : store_(store)
    , follower_(follower)
    , clock_(clock)
    , events_(events)
    , epoch_(epoch)
    , terms_(terms)
    , limits_(store.entryLimits())
    , lastWritten_(clock.now() - terms.interval)
{
    for (const auto& key : follower.restoredKeys())
        storedKeys_.insert(key);
}

bool Snapshotter::isDue() const
{
    if (isSaving_ || clock_.now() < retryAt_)
        return false;
    return isCollecting_ || !batches_.empty() || clock_.now() - lastWritten_ >= terms_.interval || hasLogGrown();
}

bool Snapshotter::hasLogGrown() const
{
    return follower_.bytesSinceSnapshot() - logBytesAtBegin_ >= std::max(terms_.growth, lastSnapshotBytes_);
}

// An unanswered batch may have been saved under its sequence number, so the same batch is sent again.
void Snapshotter::write(const UnstoredChanges& unstored)
{
    if (batches_.empty() && !isCollecting_ && !begin(unstored))
        return;
    if (isCollecting_)
        collectJobs(unstored);
    if (!isCollecting_)
        saveNext();
}

// While the log holds everything, a snapshot covers all of it; a controller under load has no such moment.
bool Snapshotter::begin(const UnstoredChanges& unstored)
{
    const auto now = clock_.now();
    if (!dueSince_)
        dueSince_ = now;
    const bool isLogComplete = unstored.jobs.empty() && unstored.areWithinJobs;
    if (!isLogComplete && now - *dueSince_ < completeLogTimeout)
        return false;
    dueSince_.reset();
    ++snapshotCount_;
    isCollecting_ = true;
    lastWritten_ = now;
    headerOffset_ = follower_.offset();
    logBytesAtBegin_ = follower_.bytesSinceSnapshot();
    lastBatchBytes_ = 0;
    snapshotBytes_ = 0;
    jobCount_ = 0;
    currentKeys_.clear();
    newFinalJobs_.clear();
    removedFinalJobs_.clear();
    uncollectedJobs_.clear();
    for (const jobs::Job& job : follower_.table().openJobs()) {
        // A run of a final job may have been intended before its cancellation was read.
        if (storedFinalJobs_.erase(job.id) > 0)
            storedKeys_.insert(jobs::toText(job.id));
        uncollectedJobs_.push_back(job.id);
    }
    for (const jobs::Job& job : follower_.table().finalJobs()) {
        if (!storedFinalJobs_.count(job.id))
            uncollectedJobs_.push_back(job.id);
    }
    return true;
}

// A job with records that are not in the log yet is left for a later step.
void Snapshotter::collectJobs(const UnstoredChanges& unstored)
{
    if (!unstored.areWithinJobs)
        return;
    const std::size_t bytesBefore = snapshotBytes_;
    std::deque<jobs::JobId> postponed;
    while (!uncollectedJobs_.empty() && snapshotBytes_ - bytesBefore < bytesPerStep) {
        const jobs::JobId id = uncollectedJobs_.front();
        uncollectedJobs_.pop_front();
        if (unstored.jobs.count(id))
            postponed.push_back(id);
        else if (const jobs::Job* job = follower_.table().find(id))
            collectJob(*job);
    }
    uncollectedJobs_.insert(uncollectedJobs_.end(), postponed.begin(), postponed.end());
    if (uncollectedJobs_.empty())
        collectHeader(unstored);
}

// A final job is written once. It has no parts.
void Snapshotter::collectJob(const jobs::Job& job)
{
    ++jobCount_;
    const std::string key = jobs::toText(job.id);
    if (!job.isFinal() || job.activeRuns > 0 || !job.crashHistories.empty())
        return add({ key, jobs::encodeJob(job) });
    newFinalJobs_.insert(job.id);
    append({ key, jobs::encodeFinalJob(job) });
}

// A part is removed after the entry that told of it was replaced. Those of the header are the last ones.
void Snapshotter::collectHeader(const UnstoredChanges& unstored)
{
    const jobs::SnapshotHeader header = follower_.table().snapshotHeader(headerOffset_);
    const auto& cancelled = header.unknownCancellations;
    const bool isHeaderStored
        = std::none_of(cancelled.begin(), cancelled.end(), [&](jobs::JobId id) { return unstored.jobs.count(id) > 0; });
    if (!isHeaderStored)
        return;
    addRemovals(false, unstored.jobs);
    addFinalJobRemovals(unstored.jobs);
    add({ JobFollower::headerKey, jobs::encodeHeader(header) });
    addRemovals(true, unstored.jobs);
    storedKeys_.insert(currentKeys_.begin(), currentKeys_.end());
    isCollecting_ = false;
}

void Snapshotter::add(SnapshotEntry entry)
{
    const std::string generation = std::to_string(epoch_) + "-" + std::to_string(snapshotCount_);
    for (auto& part : eventlog::divideEntry(std::move(entry), generation, limits_)) {
        currentKeys_.insert(part.key);
        append(std::move(part));
    }
}

// Adds the removal of what the store may hold besides the present snapshot. The removal of a job that is not in the log
// yet is left to the next snapshot.
void Snapshotter::addRemovals(bool ofHeader, const std::set<jobs::JobId>& unstoredJobs)
{
    for (const auto& key : storedKeys_) {
        if (currentKeys_.count(key) || belongsToHeader(key) != ofHeader)
            continue;
        const auto job = jobs::parseJobId(std::string_view(key).substr(0, jobKeyLength));
        if (job && unstoredJobs.count(*job))
            currentKeys_.insert(key);
        else if (!job || key.size() > jobKeyLength || !isFinalJobStored(*job))
            append({ key, {} });
    }
}

bool Snapshotter::isFinalJobStored(jobs::JobId job) const
{
    return newFinalJobs_.count(job) > 0 || storedFinalJobs_.count(job) > 0;
}

void Snapshotter::addFinalJobRemovals(const std::set<jobs::JobId>& unstoredJobs)
{
    for (const jobs::JobId job : storedFinalJobs_) {
        if (follower_.table().find(job) || unstoredJobs.count(job))
            continue;
        append({ jobs::toText(job), {} });
        removedFinalJobs_.push_back(job);
    }
}

void Snapshotter::append(SnapshotEntry entry)
{
    const std::size_t bytes = limits_.framedSize(entry.key.size() + entry.value.size());
    if (batches_.empty() || lastBatchBytes_ + bytes > limits_.appendBytes) {
        batches_.emplace_back();
        lastBatchBytes_ = 0;
    }
    lastBatchBytes_ += bytes;
    snapshotBytes_ += bytes;
    batches_.back().push_back(std::move(entry));
}

void Snapshotter::saveNext()
{
    isSaving_ = true;
    store_.save(batches_.front(), { epoch_, sequence_ }, [this, alive = alive_](const Result<void>& saved) {
        if (*alive)
            onSaved(saved);
    });
}

void Snapshotter::onSaved(const Result<void>& saved)
{
    isSaving_ = false;
    if (saved) {
        ++sequence_;
        batches_.pop_front();
        return batches_.empty() ? reportWritten() : saveNext();
    }
    events_.write("snapshot.failed",
        { { "epoch", epoch_ }, { "entries", std::uint64_t(batches_.front().size()) },
            { "reason", saved.error().message() } });
    retryAt_ = clock_.now() + retryDelay;
    if (saved.error().code != Errc::Rejected)
        return;
    // The store would reject the same batch again. A new snapshot with smaller entries and batches takes its place.
    retryAt_ = clock_.now() + rejectedRetryDelay;
    batches_.clear();
    for (const jobs::JobId job : newFinalJobs_)
        storedKeys_.insert(jobs::toText(job));
    lastWritten_ = clock_.now() - terms_.interval;
    limits_.recordBytes = std::max(minimumEntryBytes, limits_.recordBytes / 2);
    limits_.appendBytes = std::max(limits_.framedSize(minimumEntryBytes), limits_.appendBytes / 2);
}

// What was stored before and is not part of the present snapshot was removed by it.
void Snapshotter::reportWritten()
{
    storedKeys_ = std::exchange(currentKeys_, {});
    storedFinalJobs_.insert(newFinalJobs_.begin(), newFinalJobs_.end());
    for (const jobs::JobId job : removedFinalJobs_)
        storedFinalJobs_.erase(job);
    lastSnapshotBytes_ = snapshotBytes_;
    events_.write("snapshot.written",
        { { "epoch", epoch_ }, { "offset", headerOffset_ }, { "jobs", std::uint64_t(jobCount_) },
            { "bytes", std::uint64_t(snapshotBytes_) } });
}

} // namespace turmericsill::control
