#include "fleetlog/snapshotparts.h"

#include "foundation/hash.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace turmericsill::fleetlog {

namespace {

    using nlohmann::json;

    constexpr std::size_t partBytes = 512u << 10;

    /// Parts of one snapshot that were seen so far.
    struct Collection {
        std::uint64_t nextOffset = 0;
        std::uint64_t checksum = 0;
        std::size_t parts = 0;
        std::map<std::size_t, std::string> received;
    };

    void collect(const std::string& record, std::map<std::string, Collection>& collections)
    {
        const json value = json::parse(record, nullptr, false);
        if (!value.is_object() || !value.contains("id") || !value.contains("data"))
            return;
        Collection& collection = collections[value["id"].get<std::string>()];
        collection.nextOffset = value.value("next_offset", std::uint64_t { 0 });
        collection.checksum = value.value("checksum", std::uint64_t { 0 });
        collection.parts = value.value("parts", std::size_t { 0 });
        collection.received[value.value("part", std::size_t { 0 })] = value["data"].get<std::string>();
    }

    std::optional<std::string> join(const Collection& collection)
    {
        if (collection.parts == 0 || collection.received.size() != collection.parts)
            return std::nullopt;
        std::string bytes;
        for (const auto& [part, text] : collection.received) {
            std::string decoded;
            if (!absl::Base64Unescape(text, &decoded))
                return std::nullopt;
            bytes += decoded;
        }
        if (foundation::hashBytes(bytes) != collection.checksum)
            return std::nullopt;
        return bytes;
    }

} // namespace

std::vector<std::string> splitSnapshot(const std::string& id, std::uint64_t nextOffset, const std::string& bytes)
{
    std::vector<std::string> records;
    const std::size_t parts = std::max<std::size_t>(1, (bytes.size() + partBytes - 1) / partBytes);
    const std::uint64_t checksum = foundation::hashBytes(bytes);
    for (std::size_t part = 0; part < parts; ++part) {
        const std::string piece = bytes.substr(part * partBytes, partBytes);
        records.push_back(json { { "id", id }, { "part", part }, { "parts", parts }, { "next_offset", nextOffset },
            { "checksum", checksum }, { "data", absl::Base64Escape(piece) } }
                              .dump());
    }
    return records;
}

std::optional<AssembledSnapshot> assembleNewest(const std::vector<std::string>& records)
{
    std::map<std::string, Collection> collections;
    for (const auto& record : records)
        collect(record, collections);
    std::optional<AssembledSnapshot> newest;
    for (const auto& [id, collection] : collections) {
        if (newest && collection.nextOffset <= newest->nextOffset)
            continue;
        if (auto bytes = join(collection))
            newest = AssembledSnapshot { collection.nextOffset, std::move(*bytes) };
    }
    return newest;
}

} // namespace turmericsill::fleetlog
