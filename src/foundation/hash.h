#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericsill::foundation {

/// 64-bit xxHash of the bytes.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Member with the highest rendezvous weight for `key`; empty when there are no members.
/// Removing a member moves only the keys that it held.
std::string rendezvousWinner(std::string_view key, const std::vector<std::string>& members);

/// Sixteen hexadecimal digits.
std::string toHex(std::uint64_t value);

} // namespace turmericsill::foundation
