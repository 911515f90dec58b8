#include "callers/keyjournal.h"

#include <utility>

namespace turmericsill::callers {

KeyJournal::KeyJournal(foundation::milliseconds window, std::size_t maximumKeys, std::size_t maximumAnswerBytes)
    : window_(window)
    , maximumKeys_(maximumKeys)
    , maximumAnswerBytes_(maximumAnswerBytes)
{
}

KeyJournal::State KeyJournal::stateOf(const std::string& key) const
{
    auto found = entries_.find(key);
    return found == entries_.end() ? State::Absent : found->second.state;
}

bool KeyJournal::begin(const std::string& key)
{
    if (entries_.size() >= maximumKeys_)
        return false;
    entries_[key].state = State::InProgress;
    return true;
}

void KeyJournal::join(const std::string& key, CallerRequest::ReplyCallback callback)
{
    entries_.at(key).waiting.push_back(std::move(callback));
}

std::vector<CallerRequest::ReplyCallback> KeyJournal::end(
    const std::string& key, const CallerReply& reply, foundation::SteadyTime now)
{
    auto found = entries_.find(key);
    if (found == entries_.end())
        return {};
    std::vector<CallerRequest::ReplyCallback> waiting = std::move(found->second.waiting);
    if (reply.outcome == Outcome::NotRun) {
        entries_.erase(found);
        return waiting;
    }
    Entry& entry = found->second;
    entry.waiting.clear();
    entry.state = reply.outcome == Outcome::Answered ? State::Answered : State::Unknown;
    ended_.emplace_back(now, key);
    if (entry.state == State::Answered) {
        entry.reply = reply;
        entry.hasAnswer = true;
        answerBytes_ += reply.answer.body().size();
        answered_.push_back(key);
        dropOldAnswers();
    }
    return waiting;
}

// Without its answer a key is still known to have run, so its request never runs again.
void KeyJournal::dropOldAnswers()
{
    while (answerBytes_ > maximumAnswerBytes_ && !answered_.empty()) {
        auto found = entries_.find(answered_.front());
        answered_.pop_front();
        if (found == entries_.end() || !found->second.hasAnswer)
            continue;
        answerBytes_ -= found->second.reply.answer.body().size();
        found->second.reply = {};
        found->second.hasAnswer = false;
    }
}

const CallerReply* KeyJournal::answerOf(const std::string& key) const
{
    auto found = entries_.find(key);
    return found != entries_.end() && found->second.hasAnswer ? &found->second.reply : nullptr;
}

void KeyJournal::expire(foundation::SteadyTime now)
{
    while (!ended_.empty() && ended_.front().first + window_ <= now) {
        auto found = entries_.find(ended_.front().second);
        if (found != entries_.end()) {
            if (found->second.hasAnswer)
                answerBytes_ -= found->second.reply.answer.body().size();
            entries_.erase(found);
        }
        ended_.pop_front();
    }
}

} // namespace turmericsill::callers
