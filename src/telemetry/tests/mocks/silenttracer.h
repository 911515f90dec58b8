#pragma once

#include "telemetry/itracer.h"

namespace turmericsill::telemetry::mocks {

/// Records nothing.
class SilentTracer : public ITracer {
public:
    bool isEnabled() const override { return false; }
    void record(const Span&) override { }
};

} // namespace turmericsill::telemetry::mocks
