#pragma once

#include "foundation/iclock.h"
#include "httpserver/httpexchange.h"

#include <cstdint>
#include <string>

namespace turmericsill::callers {

/// Outcome of a request as reported to its caller.
enum class Outcome : std::uint8_t {
    Answered, ///< The complete response of an endpoint was received.
    NotRun, ///< Provably not run: no byte was sent to an endpoint, or it refused the request before running it.
    Unknown, ///< The request may or may not have run.
};

/// Value of the Turmericsill-Outcome header field for an outcome.
const char* outcomeName(Outcome outcome);

/// The reply to a caller that ends its request.
struct CallerReply {
    Outcome outcome = Outcome::NotRun;
    unsigned status = 503; ///< HTTP status; used for outcomes other than Answered.
    std::string reason; ///< Explanation for the caller; used for outcomes other than Answered.
    foundation::milliseconds retryAfter { 1000 }; ///< Value of the Retry-After header field, sent with status 503.
    httpserver::HttpResponse response; ///< Response of the endpoint; set only for the outcome Answered.
};

} // namespace turmericsill::callers
