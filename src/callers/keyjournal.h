#pragma once

#include "callers/types/callerrequest.h"

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericsill::callers {

/// What the home of a key remembers of the request that ran, or may have run, under it.
class KeyJournal {
public:
    enum class State { Absent, InProgress, Answered, Unknown };

    /// `window`: how long a key is remembered after its request has ended.
    KeyJournal(foundation::milliseconds window, std::size_t maximumKeys, std::size_t maximumAnswerBytes);

    State stateOf(const std::string& key) const;

    /// Remembers a request before it starts. Returns false when the journal is full; it must not start then.
    bool begin(const std::string& key);

    /// Notes another copy of a request in progress; `callback` gets the same reply.
    void join(const std::string& key, CallerRequest::ReplyCallback callback);

    /// Ends a request and returns the copies that wait for its reply.
    /// A request that was not run is forgotten, so that a later copy may run.
    std::vector<CallerRequest::ReplyCallback> end(
        const std::string& key, const CallerReply& reply, foundation::SteadyTime now);

    /// The answer that was given; only in state Answered. Its body may have been dropped for lack of room.
    const CallerReply* answerOf(const std::string& key) const;

    /// Forgets what is older than the window.
    void expire(foundation::SteadyTime now);

    std::size_t size() const { return entries_.size(); }

private:
    struct Entry {
        State state = State::InProgress;
        CallerReply reply;
        std::vector<CallerRequest::ReplyCallback> waiting;
        bool hasAnswer = false;
    };

    void dropOldAnswers();

    foundation::milliseconds window_;
    std::size_t maximumKeys_;
    std::size_t maximumAnswerBytes_;
    std::size_t answerBytes_ = 0;
    std::unordered_map<std::string, Entry> entries_;
    std::deque<std::pair<foundation::SteadyTime, std::string>> ended_; ///< Oldest first.
    std::deque<std::string> answered_; ///< Keys whose answers are held, oldest first.
};

} // namespace turmericsill::callers
