#pragma once

#include "callers/outcomemachine.h"
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

/// One request of a caller on its way through this entry instance. Used on the callers' thread.
class CallerRequest : public boost::intrusive_ref_counter<CallerRequest, boost::thread_unsafe_counter>,
                      public boost::intrusive::list_base_hook<> {
public:
    using ReplyCallback = std::function<void(CallerReply)>;

    CallerRequest(httpserver::HttpRequest requestMessage, bool isIdempotent, ReplyCallback replyCallback)
        : message(std::move(requestMessage))
        , idempotent(isIdempotent)
        , machine(isIdempotent)
        , onReply(std::move(replyCallback))
    {
    }

    httpserver::HttpRequest message; ///< As it goes to the endpoint.
    std::string service;
    std::string idempotencyKey;
    bool idempotent;
    foundation::SteadyTime receivedAt {};
    foundation::SteadyTime deadline {};
    telemetry::TraceContext trace;
    std::string parentSpanId; ///< Of the caller; empty when it sent no trace context.
    OutcomeMachine machine;
    ReplyCallback onReply; ///< Called once.
    std::uint32_t attempts = 0;
    foundation::SteadyTime notAfter = foundation::SteadyTime::max(); ///< No byte is sent to an endpoint from then on.
    std::uint64_t lookupRoster = 0; ///< For a lookup by another entry: the roster that it asks about.
    std::shared_ptr<const httpserver::HttpRequest> forwarded; ///< Copy on its way to another entry.
    std::vector<std::pair<std::string, std::string>> replyFields; ///< Header fields of a reply to another entry.
    foundation::TimerId timer = 0;
    bool queued = false;
};

using CallerRequestPtr = boost::intrusive_ptr<CallerRequest>;

} // namespace turmericsill::callers
