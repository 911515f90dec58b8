#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace turmericsill::httpserver {

/// Bounds that one HTTP server keeps towards its clients.
struct ServerLimits {
    std::size_t maximumConnections = 1000;
    std::size_t maximumHeaderBytes = 16 << 10;
    std::size_t maximumBodyBytes = 1 << 20;
    foundation::milliseconds headerTimeout { 5000 }; ///< From the first byte of a request to its last.
    foundation::milliseconds idleTimeout { 60000 }; ///< Between requests.
    foundation::milliseconds writeTimeout { 10000 };
};

/// Events that a server counts.
struct ServerCounters {
    std::size_t accepted = 0;
    std::size_t refusedConnections = 0;
    std::size_t malformed = 0;
    std::size_t oversized = 0;
    std::size_t timedOut = 0;
    std::size_t abandoned = 0; ///< The client left before its answer.
    std::size_t open = 0;
};

} // namespace turmericsill::httpserver
