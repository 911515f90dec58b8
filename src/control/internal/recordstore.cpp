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

void RecordStore::storeCallerRecords(std::vector<jobs::Record> records, ISubmissionGate& gate, bool mayReject,
    eventlog::ISubmissionPath::StoreCallback done)
{
    eventlog::StoreReceipt receipt;
    for (std::size_t index = 0; index < records.size(); ++index) {
        if (const auto retryAfter = applyCallerRecord(std::move(records[index]), gate, mayReject))
            receipt.rejected.push_back({ index, *retryAfter });
    }
    // The callers of rejected records need not wait for what was written before.
    if (!records.empty() && receipt.rejected.size() == records.size())
        return done(std::move(receipt));
    const std::uint64_t id = nextStoreId_++;
    pendingStores_.emplace(id, PendingStore { std::move(done), std::move(receipt) });
    writer_.whenStored([this, id] {
        const auto pending = pendingStores_.find(id);
        if (pending == pendingStores_.end())
            return;
        PendingStore stored = std::move(pending->second);
        pendingStores_.erase(pending);
        stored.done(std::move(stored.receipt));
    });
}

void RecordStore::failPendingStores()
{
    const auto pending = std::exchange(pendingStores_, {});
    for (const auto& [id, store] : pending)
        store.done(foundation::failure(Errc::Fenced, "control.store", {}, "no longer the controller"));
}

// Skips a record that would change nothing: the record that had the same effect is in the log or is being appended.
std::optional<foundation::milliseconds> RecordStore::applyCallerRecord(
    jobs::Record record, ISubmissionGate& gate, bool mayReject)
{
    if (auto* submitted = std::get_if<jobs::JobSubmitted>(&record)) {
        if (follower_.table().find(submitted->job))
            return std::nullopt;
        if (const auto retryAfter = gate.examine(*submitted, mayReject))
            return retryAfter;
        write(record);
        trackUnstored(submitted->job);
    }
    if (const auto* cancelled = std::get_if<jobs::JobCancelled>(&record)) {
        const Job* job = follower_.table().find(cancelled->job);
        if (job && job->isFinal())
            return std::nullopt;
        write(record);
        trackUnstored(cancelled->job);
    }
    return std::nullopt;
}

} // namespace turmericsill::control
