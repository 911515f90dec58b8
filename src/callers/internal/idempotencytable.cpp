#include "callers/idempotencytable.h"

#include <utility>

namespace turmericsill::callers {

IdempotencyTable::IdempotencyTable(
    foundation::milliseconds retention, std::size_t maximumKeys, std::size_t maximumReplyBytes)
    : retention_(retention)
    , maximumKeys_(maximumKeys)
    , maximumReplyBytes_(maximumReplyBytes)
{
}

IdempotencyTable::State IdempotencyTable::stateOf(const std::string& key) const
{
    auto found = records_.find(key);
    return found == records_.end() ? State::Absent : found->second.state;
}

bool IdempotencyTable::insert(const std::string& key)
{
    if (records_.size() >= maximumKeys_)
        return false;
    records_[key].state = State::InProgress;
    return true;
}

void IdempotencyTable::addWaiter(const std::string& key, CallerRequest::ReplyCallback callback)
{
    records_.at(key).waiters.push_back(std::move(callback));
}

std::vector<CallerRequest::ReplyCallback> IdempotencyTable::complete(
    const std::string& key, const CallerReply& reply, foundation::SteadyTime now)
{
    auto found = records_.find(key);
    if (found == records_.end())
        return {};
    std::vector<CallerRequest::ReplyCallback> waiters = std::move(found->second.waiters);
    if (reply.outcome == Outcome::NotRun) {
        records_.erase(found);
        return waiters;
    }
    Record& record = found->second;
    record.waiters.clear();
    record.state = reply.outcome == Outcome::Answered ? State::Answered : State::Unknown;
    completedKeys_.emplace_back(now, key);
    if (record.state == State::Answered) {
        record.reply = reply;
        record.hasReply = true;
        replyBytes_ += reply.response.body().size();
        keysWithReply_.push_back(key);
        evictOldReplies();
    }
    return waiters;
}

// A key whose reply was evicted remains recorded as answered, so its request is never run again.
void IdempotencyTable::evictOldReplies()
{
    while (replyBytes_ > maximumReplyBytes_ && !keysWithReply_.empty()) {
        auto found = records_.find(keysWithReply_.front());
        keysWithReply_.pop_front();
        if (found == records_.end() || !found->second.hasReply)
            continue;
        replyBytes_ -= found->second.reply.response.body().size();
        found->second.reply = {};
        found->second.hasReply = false;
    }
}

const CallerReply* IdempotencyTable::findReply(const std::string& key) const
{
    auto found = records_.find(key);
    return found != records_.end() && found->second.hasReply ? &found->second.reply : nullptr;
}

void IdempotencyTable::removeExpired(foundation::SteadyTime now)
{
    while (!completedKeys_.empty() && completedKeys_.front().first + retention_ <= now) {
        auto found = records_.find(completedKeys_.front().second);
        if (found != records_.end()) {
            if (found->second.hasReply)
                replyBytes_ -= found->second.reply.response.body().size();
            records_.erase(found);
        }
        completedKeys_.pop_front();
    }
}

} // namespace turmericsill::callers
