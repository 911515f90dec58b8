#pragma once

#include "telemetry/itracer.h"

namespace turmericsill::telemetry::mocks {

/// Tracer that is disabled and discards every span.
class NullTracer : public ITracer {
public:
    bool isEnabled() const override { return false; }
    void record(const Span&) override { }
};

} // namespace turmericsill::telemetry::mocks
