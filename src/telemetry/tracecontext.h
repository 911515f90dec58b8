#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace turmericsill::telemetry {

/// Trace context of a request, as the W3C header "traceparent" carries it.
struct TraceContext {
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId; ///< 16 hexadecimal digits.
    bool isSampled = false;

    /// Parses a "traceparent" header; std::nullopt if it is malformed.
    static std::optional<TraceContext> parse(std::string_view header);

    /// The "traceparent" header of this context.
    std::string header() const;

    /// The root span of a new trace.
    static TraceContext start(std::mt19937_64& random, bool isSampled);

    /// A new span in this trace.
    TraceContext child(std::mt19937_64& random) const;
};

} // namespace turmericsill::telemetry
