#pragma once

#include "callers/types/outcome.h"

#include <cstdint>
#include <memory>

namespace turmericsill::callers {

/// State machine of one request. It alone determines the request's outcome.
///
/// Queued -> Connecting -> Sent, then one of the final states Answered, NotRun and Unknown. A retry leads back to
/// Queued. Events that are not expected in a state, such as a late response, are ignored.
class RequestStateMachine {
public:
    enum class State : std::uint8_t { Queued, Connecting, Sent, Answered, NotRun, Unknown };

    explicit RequestStateMachine(bool idempotent);
    ~RequestStateMachine();

    RequestStateMachine(const RequestStateMachine&) = delete;
    RequestStateMachine& operator=(const RequestStateMachine&) = delete;

    /// Sets whether another copy of the request may have run. If so, the outcome cannot be NotRun.
    void setMayHaveRun(bool mayHaveRun);

    /// Called when an attempt starts; nothing has been sent yet.
    void onAttemptStarted();

    /// Called before the first byte is written; from here on an endpoint may have received the request.
    void onFirstByteSent();

    /// Called when the attempt fails before any byte was sent. `canRetry` tells whether another attempt is allowed.
    void onFailedBeforeSend(bool canRetry);

    /// Called when the endpoint refuses the request before running it.
    void onRefused(bool canRetry);

    /// Called when the connection fails, or the response is incomplete, after bytes were sent.
    /// The request is retried only if it is idempotent and `canRetry` is set.
    void onFailedAfterSend(bool canRetry);

    /// Called when the complete response has been received.
    void onResponse();

    /// Called when the deadline passes, the request is shed, or the caller disconnects.
    void onCancelled();

    State state() const;
    bool isDone() const { return state() >= State::Answered; }

    /// The outcome; valid only if isDone().
    Outcome outcome() const;

private:
    class Backend;

    std::unique_ptr<Backend> backend_;
};

} // namespace turmericsill::callers
