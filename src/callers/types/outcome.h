#pragma once

#include "foundation/iclock.h"
#include "httpserver/httpexchange.h"

#include <cstdint>
#include <string>

namespace turmericsill::callers {

/// What a caller is told about its request.
enum class Outcome : std::uint8_t {
    Answered, ///< The whole answer to this request.
    NotRun, ///< Provably not run: no byte reached an endpoint, or it was refused before it ran.
    Unknown, ///< All else.
};

const char* outcomeName(Outcome outcome);

/// The end of a request.
struct CallerReply {
    Outcome outcome = Outcome::NotRun;
    unsigned status = 503; ///< For outcomes other than Answered.
    std::string reason;
    foundation::milliseconds retryAfter { 1000 };
    httpserver::HttpResponse answer; ///< Set when answered.
};

} // namespace turmericsill::callers
