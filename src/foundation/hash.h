#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericsill::foundation {

/// 64-bit xxHash (XXH64) of `bytes`.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Member to which rendezvous hashing (highest random weight) assigns `key`; empty when there are no members.
/// Removing a member reassigns only the keys that were assigned to it.
std::string rendezvousOwner(std::string_view key, const std::vector<std::string>& members);

/// Formats `value` as sixteen lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

} // namespace turmericsill::foundation
