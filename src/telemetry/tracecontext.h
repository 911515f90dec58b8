#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace turmericsill::telemetry {

/// Position in a trace, as the W3C header "traceparent" carries it.
struct TraceContext {
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId; ///< 16 hexadecimal digits.
    bool sampled = false;

    /// Parses a header; nothing when it is malformed.
    static std::optional<TraceContext> parse(std::string_view header);

    std::string header() const;

    /// A new trace, and a new span of this trace.
    static TraceContext start(std::mt19937_64& random, bool sampled);
    TraceContext child(std::mt19937_64& random) const;
};

} // namespace turmericsill::telemetry
