#include "fleetlog/snapshotparts.h"

#include "foundation/hash.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace turmericsill::fleetlog {

namespace {

    using nlohmann::json;

    constexpr std::size_t maximumPartBytes = 512u << 10; ///< Size before the Base64 encoding.

    /// Parts of one snapshot that were found so far.
    struct PartialSnapshot {
        std::uint64_t nextOffset = 0;
        std::uint64_t checksum = 0;
        std::size_t parts = 0;
        std::map<std::size_t, std::string> received;
    };

    void addPart(const std::string& record, std::map<std::string, PartialSnapshot>& partialSnapshots)
    {
        const json value = json::parse(record, nullptr, false);
        if (!value.is_object() || !value.contains("id") || !value.contains("data"))
            return;
        PartialSnapshot& partial = partialSnapshots[value["id"].get<std::string>()];
        partial.nextOffset = value.value("next_offset", std::uint64_t { 0 });
        partial.checksum = value.value("checksum", std::uint64_t { 0 });
        partial.parts = value.value("parts", std::size_t { 0 });
        partial.received[value.value("part", std::size_t { 0 })] = value["data"].get<std::string>();
    }

    std::optional<std::string> joinParts(const PartialSnapshot& partial)
    {
        if (partial.parts == 0 || partial.received.size() != partial.parts)
            return std::nullopt;
        std::string bytes;
        for (const auto& [part, text] : partial.received) {
            std::string decoded;
            if (!absl::Base64Unescape(text, &decoded))
                return std::nullopt;
            bytes += decoded;
        }
        if (foundation::hashBytes(bytes) != partial.checksum)
            return std::nullopt;
        return bytes;
    }

} // namespace

std::vector<std::string> splitSnapshot(const std::string& id, std::uint64_t nextOffset, const std::string& bytes)
{
    std::vector<std::string> records;
    const std::size_t parts = std::max<std::size_t>(1, (bytes.size() + maximumPartBytes - 1) / maximumPartBytes);
    const std::uint64_t checksum = foundation::hashBytes(bytes);
    for (std::size_t part = 0; part < parts; ++part) {
        const std::string chunk = bytes.substr(part * maximumPartBytes, maximumPartBytes);
        records.push_back(json { { "id", id }, { "part", part }, { "parts", parts }, { "next_offset", nextOffset },
            { "checksum", checksum }, { "data", absl::Base64Escape(chunk) } }
                              .dump());
    }
    return records;
}

std::optional<AssembledSnapshot> assembleNewest(const std::vector<std::string>& records)
{
    std::map<std::string, PartialSnapshot> partialSnapshots;
    for (const auto& record : records)
        addPart(record, partialSnapshots);
    std::optional<AssembledSnapshot> newest;
    for (const auto& [id, partial] : partialSnapshots) {
        if (newest && partial.nextOffset <= newest->nextOffset)
            continue;
        if (auto bytes = joinParts(partial))
            newest = AssembledSnapshot { partial.nextOffset, std::move(*bytes) };
    }
    return newest;
}

} // namespace turmericsill::fleetlog
