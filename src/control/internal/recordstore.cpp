#include "control/internal/recordstore.h"

#include <utility>
#include <variant>

namespace turmericsill::control {

using foundation::Errc;
using jobs::Job;

void RecordStore::write(const jobs::Record& record)
{
    follower_.applyOwnRecord(record);
    writer_.write(record);
}

void RecordStore::writeDecidingRecord(const jobs::Record& record, jobs::JobId id)
{
    write(record);
    const Job* job = follower_.table().find(id);
    if (job && job->isFinal())
        trackUnstored(id);
}

void RecordStore::trackUnstored(jobs::JobId id)
{
    ++unstoredRecords_[id];
    writer_.whenStored([this, id] {
        if (--unstoredRecords_[id] == 0)
            unstoredRecords_.erase(id);
    });
}

void RecordStore::storeCallerRecords(
    const std::vector<jobs::Record>& records, eventlog::ISubmissionPath::StoreCallback done)
{
    for (const auto& record : records)
        applySubmission(record);
    const std::uint64_t id = nextStoreId_++;
    pendingStores_.emplace(id, std::move(done));
    writer_.whenStored([this, id] {
        if (!pendingStores_.count(id))
            return;
        const auto callback = std::move(pendingStores_.at(id));
        pendingStores_.erase(id);
        callback({});
    });
}

void RecordStore::failPendingStores()
{
    const auto pending = std::exchange(pendingStores_, {});
    for (const auto& [id, done] : pending)
        done(foundation::failure(Errc::Fenced, "control.store", {}, "no longer the controller"));
}

// Skips a record that would change nothing: the record that had the same effect is in the log or is being appended.
void RecordStore::applySubmission(const jobs::Record& record)
{
    if (const auto* submitted = std::get_if<jobs::JobSubmitted>(&record)) {
        if (follower_.table().find(submitted->job))
            return;
        write(record);
        trackUnstored(submitted->job);
    }
    if (const auto* cancelled = std::get_if<jobs::JobCancelled>(&record)) {
        const Job* job = follower_.table().find(cancelled->job);
        if (job && job->isFinal())
            return;
        write(record);
        trackUnstored(cancelled->job);
    }
}

} // namespace turmericsill::control
