#pragma once

#include "eventlog/ieventlog.h"
#include "eventlog/isnapshotstore.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::eventlog::mocks {

/// A log and an empty snapshot store. Reads are answered when the test makes it, with one record each.
class HeldLog : public IEventLog, public ISnapshotStore {
public:
    jobs::RecordLimits recordLimits() const override { return {}; }
    jobs::RecordLimits entryLimits() const override { return {}; }
    void append(AppendRequest, foundation::milliseconds, AppendCallback) override { }
    void save(std::vector<SnapshotEntry>, ProducerPosition, SaveCallback) override { }
    void load(LoadCallback done) override { done(std::vector<SnapshotEntry>()); }

    void read(const ReadRequest& request, ReadCallback done) override { reads.push_back({ request, std::move(done) }); }

    /// Answers the oldest read.
    void answerRead()
    {
        auto [request, done] = std::move(reads.front());
        reads.pop_front();
        LogPage page { request.from, records.size(), {} };
        if (request.from < records.size())
            page.payloads.push_back(records[request.from]);
        done(page);
    }

    std::vector<std::string> records;
    std::deque<std::pair<ReadRequest, ReadCallback>> reads; ///< Reads without an answer, oldest first.
};

} // namespace turmericsill::eventlog::mocks
