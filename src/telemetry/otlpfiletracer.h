#pragma once

#include "telemetry/itracer.h"

#include <fstream>
#include <mutex>

namespace turmericsill::telemetry {

/// Appends spans to a file, one OTLP JSON "resourceSpans" object a line. Disabled without a file. Thread-safe.
class OtlpFileTracer : public ITracer {
public:
    OtlpFileTracer(const std::string& path, std::string entry);

    bool isEnabled() const override { return enabled_; }
    void record(const Span& span) override;

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::string entry_;
    bool enabled_;
};

/// OTLP JSON of one span, as OtlpFileTracer writes it.
std::string encodeOtlp(const Span& span, const std::string& entry);

} // namespace turmericsill::telemetry
