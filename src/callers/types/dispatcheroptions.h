#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace turmericsill::callers {

/// Limits on queueing, retries and late responses in the dispatcher.
struct DispatcherOptions {
    std::size_t maximumQueuedRequests = 2000; ///< Limit on queued requests over all services.
    foundation::milliseconds maximumQueueDelay { 400 }; ///< Longest time that a request may be queued.
    std::uint32_t maximumAttempts = 3; ///< Attempts per request, the first one included.
    /// Time after the deadline for which an attempt without a response keeps its slot.
    foundation::milliseconds lateResponseTimeout { 30000 };
};

/// Counters of the dispatcher since its start; the last three are current values.
struct DispatcherCounters {
    std::uint64_t received = 0; ///< Requests received, including those that other entries forwarded.
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t attempts = 0; ///< Attempts on endpoints, retries included.
    std::uint64_t retries = 0; ///< Retries after an attempt that did not answer the request.
    std::uint64_t shed = 0; ///< Requests refused because of overload.
    std::uint64_t lateResponses = 0; ///< Responses that arrived after the request had ended.
    std::uint64_t queued = 0; ///< Requests that are queued now.
    std::uint64_t inProgress = 0; ///< Attempts that are in progress now.
    std::uint64_t ejected = 0; ///< Endpoints that are ejected now.
};

} // namespace turmericsill::callers
