#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace turmericsill::httpserver {

/// Limits that an HTTP server enforces on its clients.
struct ServerLimits {
    std::size_t maximumConnections = 1000;
    std::size_t maximumHeaderBytes = 16 << 10;
    std::size_t maximumBodyBytes = 1 << 20;
    std::size_t maximumTrailerBytes = 16 << 10; ///< Trailers of a chunked body; also the header of one chunk.
    std::size_t maximumChunkExtensionBytes = 16 << 10; ///< Sum of the extensions of all chunks of a body.
    std::size_t maximumEmptyLines = 8; ///< Empty lines before a request that are ignored.
    foundation::milliseconds requestTimeout { 5000 }; ///< Longest time from the first to the last byte of a request.
    foundation::milliseconds idleTimeout { 60000 }; ///< Longest time that a connection stays open without a request.
    foundation::milliseconds writeTimeout { 10000 };
    /// Time without a request for which a connection stays open also when connections or descriptors are short.
    foundation::milliseconds guaranteedIdleTime { 15000 };
};

/// Counters of an HTTP server.
struct ServerCounters {
    std::size_t accepted = 0; ///< Accepted connections.
    std::size_t refusedConnections = 0; ///< Connections closed since connections or descriptors are short.
    std::size_t malformedRequests = 0; ///< Requests that are not valid HTTP.
    std::size_t oversizedRequests = 0; ///< Requests with a header, body, trailer or extension beyond its limit.
    std::size_t timedOut = 0; ///< Connections closed by a request or idle timeout.
    std::size_t abandonedRequests = 0; ///< Requests whose client disconnected before the response.
    std::size_t refusedForMemory = 0; ///< Requests that were answered 503 since the ReadBudget is used up.
    std::size_t closedForMemory = 0; ///< Connections that were closed since the ReadBudget is used up.
    std::size_t open = 0; ///< Connections open now.
};

} // namespace turmericsill::httpserver
