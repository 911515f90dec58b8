#pragma once

#include <cstddef>
#include <optional>

namespace turmericsill::settings {

constexpr std::size_t megabyte = 1 << 20;

/// Memory for requests or for responses, in bytes: what is given for them, or else a quarter of the memory of the
/// process, or else a fixed size.
inline std::size_t memoryFor(
    const std::optional<std::size_t>& megabytes, const std::optional<std::size_t>& limitMb, std::size_t withoutLimit)
{
    constexpr std::size_t memoryShare = 4;
    if (megabytes)
        return *megabytes * megabyte;
    return limitMb ? *limitMb * megabyte / memoryShare : withoutLimit;
}

} // namespace turmericsill::settings
