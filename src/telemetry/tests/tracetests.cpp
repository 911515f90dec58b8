#include "telemetry/otlpfiletracer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace turmericsill;
using telemetry::TraceContext;

TEST_CASE("trace context: a valid header is parsed and written back, a malformed one is rejected", "[telemetry]")
{
    const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    auto context = TraceContext::parse(header);
    REQUIRE(context);
    CHECK(context->isSampled);
    CHECK(context->header() == header);
    std::mt19937_64 random(7);
    TraceContext child = context->child(random);
    CHECK(child.traceId == context->traceId);
    CHECK(child.spanId != context->spanId);
    CHECK(TraceContext::parse(child.header()));

    for (const std::string& broken : { std::string(), header.substr(1), "01" + header.substr(2),
             std::string("00-00000000000000000000000000000000-b7ad6b7169203331-01"),
             std::string("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01") })
        CHECK_FALSE(TraceContext::parse(broken));
}

TEST_CASE("otlp: an encoded span contains its ids, times and attributes", "[telemetry]")
{
    telemetry::Span span;
    span.context = *TraceContext::parse("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    span.parentSpanId = "00f067aa0ba902b7";
    span.name = "endpoint.attempt";
    span.start = foundation::WallTime(foundation::milliseconds(5));
    span.duration = foundation::milliseconds(3);
    span.attributes = { { "instance", "w1" } };
    const auto encoded = nlohmann::json::parse(telemetry::encodeOtlp(span, "entry-a"));
    const auto& written = encoded["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(written["traceId"] == "0af7651916cd43dd8448eb211c80319c");
    CHECK(written["parentSpanId"] == "00f067aa0ba902b7");
    CHECK(written["startTimeUnixNano"] == "5000000");
    CHECK(written["endTimeUnixNano"] == "8000000");
    CHECK(written["attributes"][0]["value"]["stringValue"] == "w1");
}
