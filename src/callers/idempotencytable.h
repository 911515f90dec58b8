#pragma once

#include "callers/types/callerrequest.h"

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericsill::callers {

/// In-memory table of the requests that ran, or may have run, under the idempotency keys that this entry owns.
class IdempotencyTable {
public:
    enum class State {
        Absent, ///< No request with the key is recorded.
        InProgress, ///< A request with the key is running.
        Answered, ///< The request ran and its response was received.
        Unknown ///< The request may have run.
    };

    /// A key is kept for `retention` after its request has ended.
    IdempotencyTable(foundation::milliseconds retention, std::size_t maximumKeys, std::size_t maximumReplyBytes);

    State stateOf(const std::string& key) const;

    /// Records a key before its request starts. Returns false if the table is full; the request must not start then.
    bool insert(const std::string& key);

    /// Registers another copy of a request in progress; `callback` receives the same reply.
    void addWaiter(const std::string& key, CallerRequest::ReplyCallback callback);

    /// Records the end of a request and returns the callbacks of the copies that wait for its reply.
    /// The key of a request that was not run is removed, so that a later copy may run.
    std::vector<CallerRequest::ReplyCallback> complete(
        const std::string& key, const CallerReply& reply, foundation::SteadyTime now);

    /// The stored reply to an answered request; null if there is none or it was evicted to limit memory.
    const CallerReply* findReply(const std::string& key) const;

    /// Removes the keys whose requests ended longer ago than the retention time.
    void removeExpired(foundation::SteadyTime now);

    std::size_t size() const { return records_.size(); }

private:
    struct Record {
        State state = State::InProgress;
        CallerReply reply;
        std::vector<CallerRequest::ReplyCallback> waiters;
        bool hasReply = false;
    };

    void evictOldReplies();

    foundation::milliseconds retention_;
    std::size_t maximumKeys_;
    std::size_t maximumReplyBytes_;
    std::size_t replyBytes_ = 0;
    std::unordered_map<std::string, Record> records_;
    /// Completion time and key of each ended request, oldest first.
    std::deque<std::pair<foundation::SteadyTime, std::string>> completedKeys_;
    std::deque<std::string> keysWithReply_; ///< Keys whose replies are stored, oldest first.
};

} // namespace turmericsill::callers
