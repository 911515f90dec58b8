#pragma once

#include "callers/requeststatemachine.h"
#include "foundation/itimerqueue.h"
#include "telemetry/tracecontext.h"

#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::callers {

/// A caller's request while this entry instance handles it. Used only on the thread of the callers module.
class CallerRequest : public boost::intrusive_ref_counter<CallerRequest, boost::thread_unsafe_counter>,
                      public boost::intrusive::list_base_hook<> {
public:
    using ReplyCallback = std::function<void(CallerReply)>;

    CallerRequest(httpserver::HttpRequest requestMessage, bool isIdempotent, ReplyCallback replyCallback)
        : message(std::move(requestMessage))
        , idempotent(isIdempotent)
        , stateMachine(isIdempotent)
        , onReply(std::move(replyCallback))
    {
    }

    httpserver::HttpRequest message; ///< The message that is sent to the endpoint.
    std::string service;
    std::string idempotencyKey;
    bool idempotent;
    foundation::SteadyTime receivedAt {};
    foundation::SteadyTime deadline {};
    telemetry::TraceContext trace;
    std::string parentSpanId; ///< Span of the caller; empty if it sent no trace context.
    RequestStateMachine stateMachine;
    ReplyCallback onReply; ///< Called exactly once, with the reply to the caller.
    std::uint32_t attempts = 0;
    /// No attempt may start to send at or after this time.
    foundation::SteadyTime sendDeadline = foundation::SteadyTime::max();
    std::uint64_t lookupRosterVersion = 0; ///< Roster version that a lookup from another entry asks about.
    std::shared_ptr<const httpserver::HttpRequest> forwardedMessage; ///< Copy that is being forwarded to another entry.
    /// Extra header fields for a reply to another entry.
    std::vector<std::pair<std::string, std::string>> extraReplyHeaders;
    foundation::TimerId timer = 0; ///< Pending timeout; 0 if there is none.
    bool queued = false;
};

using CallerRequestPtr = boost::intrusive_ptr<CallerRequest>;

} // namespace turmericsill::callers
