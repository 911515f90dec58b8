#include "telemetry/otlpfiletracer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace turmericsill::telemetry {

namespace {

    using nlohmann::json;

    constexpr int serverSpanKind = 2; ///< SPAN_KIND_SERVER of the OTLP schema.

    json attribute(const std::string& key, const std::string& value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

    std::string nanoseconds(foundation::WallTime time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
    }

} // namespace

std::string encodeOtlp(const Span& span, const std::string& entry)
{
    json attributes = json::array();
    for (const auto& [key, value] : span.attributes)
        attributes.push_back(attribute(key, value));
    const json encoded { { "traceId", span.context.traceId }, { "spanId", span.context.spanId },
        { "parentSpanId", span.parentSpanId }, { "name", span.name }, { "kind", serverSpanKind },
        { "startTimeUnixNano", nanoseconds(span.start) },
        { "endTimeUnixNano", nanoseconds(span.start + span.duration) }, { "attributes", std::move(attributes) } };
    const json resource { { "attributes",
        json::array({ attribute("service.name", "turmericsilld"), attribute("service.instance.id", entry) }) } };
    const json scope { { "scope", { { "name", "turmericsill" } } }, { "spans", json::array({ encoded }) } };
    const json resourceSpans { { "resource", resource }, { "scopeSpans", json::array({ scope }) } };
    return json { { "resourceSpans", json::array({ resourceSpans }) } }.dump();
}

OtlpFileTracer::OtlpFileTracer(const std::string& path, std::string entry)
    : entry_(std::move(entry))
    , isEnabled_(!path.empty())
{
    if (isEnabled_)
        file_.open(path, std::ios::app);
}

void OtlpFileTracer::record(const Span& span)
{
    if (!isEnabled_ || !span.context.isSampled)
        return;
    const std::string line = encodeOtlp(span, entry_);
    std::lock_guard<std::mutex> lock(mutex_);
    file_ << line << "\n";
    file_.flush();
}

} // namespace turmericsill::telemetry
