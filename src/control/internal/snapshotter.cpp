#include "control/snapshotter.h"

#include "eventlog/snapshotparts.h"
#include "jobs/snapshotcodec.h"

#include <algorithm>
#include <utility>

namespace turmericsill::control {

using eventlog::JobFollower;
using eventlog::SnapshotEntry;
using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    constexpr milliseconds retryDelay { 50 };
    constexpr milliseconds rejectedRetryDelay { 500 }; ///< Time in which the controller does its other work.
    constexpr std::size_t minimumEntryBytes = 1024; ///< Smaller parts do not make a snapshot acceptable.

    bool belongsToHeader(const std::string& key)
    {
        return key.compare(0, JobFollower::headerKey.size(), JobFollower::headerKey) == 0;
    }

} // namespace

Snapshotter::Snapshotter(eventlog::ISnapshotStore& store, const eventlog::JobFollower& follower,
    const foundation::IClock& clock, telemetry::IEventSink& events, std::uint64_t epoch, milliseconds interval)
    : store_(store)
    , follower_(follower)
    , clock_(clock)
    , events_(events)
    , epoch_(epoch)
    , interval_(interval)
    , limits_(store.entryLimits())
    , lastWritten_(clock.now())
{
    for (const auto& key : follower.restoredKeys())
        storedKeys_.insert(key);
}

bool Snapshotter::isDue() const
{
    if (isSaving_ || clock_.now() < retryAt_)
        return false;
    return !batches_.empty() || clock_.now() - lastWritten_ >= interval_;
}

// An unanswered batch may have been saved under its sequence number, so the same batch is sent again.
void Snapshotter::write()
{
    if (batches_.empty()) {
        lastWritten_ = clock_.now();
        collectEntries();
    }
    saveNext();
}

// A part is removed after the entry that told of it was replaced. Those of the header are the last ones.
void Snapshotter::collectEntries()
{
    ++snapshotCount_;
    lastBatchBytes_ = 0;
    jobCount_ = 0;
    currentKeys_.clear();
    const jobs::JobTable& table = follower_.table();
    for (const auto* list : { &table.openJobs(), &table.finalJobs() }) {
        for (const jobs::Job& job : *list) {
            add({ jobs::toText(job.id), jobs::encodeJob(job) });
            ++jobCount_;
        }
    }
    addRemovals(false);
    headerOffset_ = follower_.offset();
    add({ JobFollower::headerKey, jobs::encodeHeader(table.snapshotHeader(headerOffset_)) });
    addRemovals(true);
    storedKeys_.insert(currentKeys_.begin(), currentKeys_.end());
}

void Snapshotter::add(SnapshotEntry entry)
{
    const std::string generation = std::to_string(epoch_) + "-" + std::to_string(snapshotCount_);
    for (auto& part : eventlog::divideEntry(std::move(entry), generation, limits_)) {
        currentKeys_.insert(part.key);
        append(std::move(part));
    }
}

// Adds the removal of what the store may hold besides the present snapshot.
void Snapshotter::addRemovals(bool ofHeader)
{
    for (const auto& key : storedKeys_) {
        if (!currentKeys_.count(key) && belongsToHeader(key) == ofHeader)
            append({ key, {} });
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
    lastWritten_ = clock_.now() - interval_;
    limits_.recordBytes = std::max(minimumEntryBytes, limits_.recordBytes / 2);
    limits_.appendBytes = std::max(limits_.framedSize(minimumEntryBytes), limits_.appendBytes / 2);
}

// What was stored before and is not part of the present snapshot was removed by it.
void Snapshotter::reportWritten()
{
    storedKeys_ = std::exchange(currentKeys_, {});
    events_.write(
        "snapshot.written", { { "epoch", epoch_ }, { "offset", headerOffset_ }, { "jobs", std::uint64_t(jobCount_) } });
}

} // namespace turmericsill::control
