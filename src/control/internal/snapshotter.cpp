#include "control/snapshotter.h"

#include "jobs/snapshotcodec.h"

#include <algorithm>

namespace turmericsill::control {

using eventlog::SnapshotEntry;
using foundation::Result;

namespace {

    constexpr std::size_t targetBatchBytes = 512 << 10; ///< A quarter of what the platform accepts in one call.

} // namespace

Snapshotter::Snapshotter(eventlog::ISnapshotStore& store, const eventlog::JobFollower& follower,
    const foundation::IClock& clock, telemetry::IEventSink& events, std::uint64_t epoch,
    foundation::milliseconds interval)
    : store_(store)
    , follower_(follower)
    , clock_(clock)
    , events_(events)
    , epoch_(epoch)
    , interval_(interval)
    , lastWritten_(clock.now())
{
}

bool Snapshotter::isDue() const
{
    return !isSaving_ && (!batches_.empty() || clock_.now() - lastWritten_ >= interval_);
}

void Snapshotter::addJob(const jobs::Job& job, std::set<jobs::JobId>& currentIds)
{
    currentIds.insert(job.id);
    std::size_t bytes = 0;
    if (!batches_.empty()) {
        for (const auto& entry : batches_.back())
            bytes += entry.value.size();
    }
    if (batches_.empty() || bytes > targetBatchBytes)
        batches_.emplace_back();
    batches_.back().push_back({ jobs::toText(job.id), jobs::encodeJob(job) });
}

// An unanswered batch may have been saved under its sequence number, so the same batch is sent again.
void Snapshotter::write()
{
    if (!batches_.empty())
        return saveNext();
    lastWritten_ = clock_.now();
    std::set<jobs::JobId> currentIds;
    for (const jobs::Job& job : follower_.table().openJobs())
        addJob(job, currentIds);
    for (const jobs::Job& job : follower_.table().finalJobs())
        addJob(job, currentIds);
    std::vector<SnapshotEntry> removed;
    for (const auto id : follower_.restoredJobs()) {
        if (!currentIds.count(id))
            removed.push_back({ jobs::toText(id), {} });
    }
    for (const auto id : storedJobIds_) {
        if (!currentIds.count(id))
            removed.push_back({ jobs::toText(id), {} });
    }
    storedJobIds_ = std::move(currentIds);
    batches_.push_back(std::move(removed));
    headerOffset_ = follower_.offset();
    batches_.back().push_back(
        { eventlog::JobFollower::headerKey, jobs::encodeHeader(follower_.table().snapshotHeader(headerOffset_)) });
    std::reverse(batches_.begin(), batches_.end());
    saveNext();
}

void Snapshotter::saveNext()
{
    isSaving_ = true;
    store_.save(batches_.back(), { epoch_, sequence_ }, [this, alive = alive_](const Result<void>& saved) {
        if (!*alive)
            return;
        isSaving_ = false;
        if (!saved) {
            events_.write("snapshot.failed", { { "epoch", epoch_ }, { "reason", saved.error().message() } });
            return;
        }
        ++sequence_;
        batches_.pop_back();
        if (!batches_.empty())
            return saveNext();
        reportWritten();
    });
}

void Snapshotter::reportWritten()
{
    events_.write("snapshot.written",
        { { "epoch", epoch_ }, { "offset", headerOffset_ }, { "jobs", std::uint64_t(storedJobIds_.size()) } });
}

} // namespace turmericsill::control
