#pragma once

#include "telemetry/itracer.h"

#include <fstream>
#include <mutex>

namespace turmericsill::telemetry {

/// Appends spans to a file, one OTLP JSON "resourceSpans" object per line. Disabled if the path is empty. Thread-safe.
class OtlpFileTracer : public ITracer {
public:
    OtlpFileTracer(const std::string& path, std::string entry);

    bool isEnabled() const override { return isEnabled_; }
    void record(const Span& span) override;

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::string entry_;
    bool isEnabled_;
};

/// Encodes a span as OTLP JSON, the way OtlpFileTracer writes it.
std::string encodeOtlp(const Span& span, const std::string& entry);

} // namespace turmericsill::telemetry
