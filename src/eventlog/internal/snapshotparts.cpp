#include "eventlog/snapshotparts.h"

#include "foundation/cbor.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>
#include <utility>

namespace turmericsill::eventlog {

using nlohmann::json;

namespace {

    constexpr char keySeparator = '.'; ///< Occurs in the keys of parts only.
    /// First byte of each part. CBOR texts do not begin with it, so that versions without parts skip them.
    constexpr char partMarker = '\xff';

    std::string partKey(const std::string& key, const std::string& generation, std::size_t number)
    {
        return key + keySeparator + generation + keySeparator + std::to_string(number);
    }

    bool isPart(const SnapshotEntry& entry) { return !entry.value.empty() && entry.value.front() == partMarker; }

    /// The reference to the parts of an entry is a map in CBOR; the values of undivided entries are arrays.
    bool isReference(const SnapshotEntry& entry)
    {
        constexpr unsigned majorTypeMask = 0xe0;
        constexpr unsigned mapType = 0xa0;
        return !entry.value.empty() && (static_cast<unsigned char>(entry.value.front()) & majorTypeMask) == mapType;
    }

    std::string encodeReference(const std::string& generation, std::size_t parts)
    {
        std::string bytes;
        json::to_cbor(json { { "generation", generation }, { "parts", parts } }, bytes);
        return bytes;
    }

    /// Returns null if the reference is malformed.
    json parseReference(const std::string& bytes)
    {
        try {
            return foundation::parseCbor(bytes);
        } catch (const std::exception&) {
            return nullptr;
        }
    }

    /// The value that a reference tells of, or nothing if a part of it is missing.
    std::optional<std::string> joinParts(
        const SnapshotEntry& reference, const std::unordered_map<std::string, std::string>& parts)
    {
        const json fields = parseReference(reference.value);
        if (!fields.is_object() || !fields.contains("generation") || !fields["generation"].is_string()
            || !fields.contains("parts") || !fields["parts"].is_number_unsigned())
            return std::nullopt;
        const auto generation = fields["generation"].get<std::string>();
        const auto count = fields["parts"].get<std::size_t>();
        std::string value;
        for (std::size_t number = 0; number < count; ++number) {
            const auto part = parts.find(partKey(reference.key, generation, number));
            if (part == parts.end())
                return std::nullopt;
            value.append(part->second, 1);
        }
        return value;
    }

} // namespace

std::vector<SnapshotEntry> divideEntry(
    SnapshotEntry entry, const std::string& generation, const jobs::RecordLimits& limits)
{
    constexpr std::size_t longestNumber = 20; ///< Digits of the number of a part.
    std::vector<SnapshotEntry> result;
    if (entry.key.size() + entry.value.size() > limits.recordBytes) {
        const std::size_t overhead = partKey(entry.key, generation, 0).size() + longestNumber + 1;
        const std::size_t partBytes = std::max(limits.recordBytes, overhead + 1) - overhead;
        std::size_t number = 0;
        for (std::size_t first = 0; first < entry.value.size(); first += partBytes)
            result.push_back(
                { partKey(entry.key, generation, number++), partMarker + entry.value.substr(first, partBytes) });
        entry.value = encodeReference(generation, number);
    }
    result.push_back(std::move(entry));
    return result;
}

JoinedSnapshot joinEntries(std::vector<SnapshotEntry> stored)
{
    JoinedSnapshot joined;
    std::unordered_map<std::string, std::string> parts;
    const auto firstPart
        = std::partition(stored.begin(), stored.end(), [](const SnapshotEntry& entry) { return !isPart(entry); });
    for (auto part = firstPart; part != stored.end(); ++part) {
        joined.partKeys.push_back(part->key);
        parts.emplace(std::move(part->key), std::move(part->value));
    }
    stored.erase(firstPart, stored.end());
    for (auto& entry : stored) {
        if (isReference(entry)) {
            auto value = joinParts(entry, parts);
            if (!value) {
                ++joined.incompleteEntries;
                continue;
            }
            entry.value = std::move(*value);
        }
        joined.entries.push_back(std::move(entry));
    }
    return joined;
}

} // namespace turmericsill::eventlog
