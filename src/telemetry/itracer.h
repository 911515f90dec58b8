#pragma once

#include "foundation/iclock.h"
#include "telemetry/tracecontext.h"

#include <map>
#include <string>

namespace turmericsill::telemetry {

/// A finished span of a trace.
struct Span {
    TraceContext context;
    std::string parentSpanId; ///< Empty for the root span of a trace.
    std::string name;
    foundation::WallTime start;
    foundation::milliseconds duration { 0 };
    std::map<std::string, std::string> attributes;
};

/// Receives finished spans.
class ITracer {
public:
    virtual ~ITracer() = default;

    /// Whether new traces are recorded.
    virtual bool isEnabled() const = 0;

    virtual void record(const Span& span) = 0;
};

} // namespace turmericsill::telemetry
