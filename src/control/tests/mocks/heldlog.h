#pragma once

#include "eventlog/ieventlog.h"
#include "eventlog/isnapshotstore.h"
#include "jobs/recordcodec.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::control::mocks {

/// A log without a snapshot that answers reads only when the test makes it.
class HeldLog : public eventlog::IEventLog, public eventlog::ISnapshotStore {
public:
    jobs::RecordLimits recordLimits() const override { return { 4000, 10000, 4 }; }
    jobs::RecordLimits entryLimits() const override { return recordLimits(); }
    void append(eventlog::AppendRequest, foundation::milliseconds, AppendCallback) override { }
    void save(std::vector<eventlog::SnapshotEntry>, eventlog::ProducerPosition, SaveCallback) override { }
    void load(LoadCallback done) override { done(std::vector<eventlog::SnapshotEntry> {}); }

    void read(const eventlog::ReadRequest& request, ReadCallback done) override
    {
        pendingReads.emplace_back(request.from, std::move(done));
    }

    /// Adds a record as one that the controller of this epoch has appended.
    void add(const jobs::Record& record, std::uint64_t epoch) { payloads.push_back(jobs::encode(record, epoch)); }

    /// Answers the pending reads with up to `limit` records each; those that the answers cause stay pending.
    void answerReads(std::size_t limit)
    {
        for (auto& [from, done] : std::exchange(pendingReads, {})) {
            const auto begin = payloads.begin() + static_cast<std::ptrdiff_t>(from);
            const auto count = std::min(limit, payloads.size() - from);
            done(eventlog::LogPage { from, payloads.size(), { begin, begin + static_cast<std::ptrdiff_t>(count) } });
        }
    }

    /// Fails the pending reads.
    void failReads()
    {
        for (auto& [from, done] : std::exchange(pendingReads, {}))
            done(foundation::failure(foundation::Errc::Timeout, "log.read"));
    }

    std::vector<std::string> payloads;
    std::vector<std::pair<std::uint64_t, ReadCallback>> pendingReads; ///< Each with its first offset.
};

} // namespace turmericsill::control::mocks
