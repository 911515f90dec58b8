#include "foundation/hash.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace turmericsill::foundation {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed) { return XXH64(bytes.data(), bytes.size(), seed); }

std::string rendezvousOwner(std::string_view key, const std::vector<std::string>& members)
{
    std::string winner;
    std::uint64_t highestWeight = 0;
    const std::uint64_t keyHash = hashBytes(key);
    for (const auto& member : members) {
        std::uint64_t weight = hashBytes(member, keyHash);
        if (!winner.empty() && (weight < highestWeight || (weight == highestWeight && member >= winner)))
            continue;
        winner = member;
        highestWeight = weight;
    }
    return winner;
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(value));
    return digits.data();
}

} // namespace turmericsill::foundation
