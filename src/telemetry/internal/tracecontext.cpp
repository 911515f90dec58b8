#include "telemetry/tracecontext.h"

#include "foundation/hash.h"

#include <algorithm>

namespace turmericsill::telemetry {

namespace {

    // Layout of the header: "00-", trace id, "-", span id, "-", flags.
    constexpr std::size_t headerLength = 55;
    constexpr std::size_t traceIdPosition = 3;
    constexpr std::size_t traceIdLength = 32;
    constexpr std::size_t spanIdPosition = 36;
    constexpr std::size_t spanIdLength = 16;
    constexpr std::size_t flagsPosition = 53;

    bool isLowerHex(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char character) {
            return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
        });
    }

    bool isAllZero(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char character) { return character == '0'; });
    }

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view header)
{
    if (header.size() != headerLength || header.substr(0, traceIdPosition) != "00-" || header[spanIdPosition - 1] != '-'
        || header[flagsPosition - 1] != '-')
        return std::nullopt;
    const std::string_view traceId = header.substr(traceIdPosition, traceIdLength);
    const std::string_view spanId = header.substr(spanIdPosition, spanIdLength);
    const std::string_view flags = header.substr(flagsPosition);
    if (!isLowerHex(traceId) || !isLowerHex(spanId) || !isLowerHex(flags) || isAllZero(traceId) || isAllZero(spanId))
        return std::nullopt;
    const bool isSampled = ((flags[1] >= 'a' ? flags[1] - 'a' + 10 : flags[1] - '0') & 1) != 0;
    return TraceContext { std::string(traceId), std::string(spanId), isSampled };
}

std::string TraceContext::header() const { return "00-" + traceId + "-" + spanId + (isSampled ? "-01" : "-00"); }

TraceContext TraceContext::start(std::mt19937_64& random, bool isSampled)
{
    return { foundation::toHex(random() | 1) + foundation::toHex(random()), foundation::toHex(random() | 1),
        isSampled };
}

TraceContext TraceContext::child(std::mt19937_64& random) const
{
    return { traceId, foundation::toHex(random() | 1), isSampled };
}

} // namespace turmericsill::telemetry
