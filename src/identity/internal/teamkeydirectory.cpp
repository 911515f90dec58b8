#include "identity/teamkeydirectory.h"

#include <random>
#include <utility>
#include <xxhash.h>

namespace turmericsill::identity {

namespace {

    std::uint64_t randomSeed()
    {
        std::random_device source;
        return (std::uint64_t(source()) << 32) | source();
    }

    /// Compares all bytes, whichever of them differ.
    bool isEqual(std::string_view one, std::string_view other)
    {
        if (one.size() != other.size())
            return false;
        unsigned difference = 0;
        for (std::size_t i = 0; i < one.size(); ++i)
            difference |= static_cast<unsigned char>(one[i]) ^ static_cast<unsigned char>(other[i]);
        return difference == 0;
    }

    std::string toText(IdentificationOutcome outcome)
    {
        switch (outcome) {
        case IdentificationOutcome::NotRequired:
            return "not-required";
        case IdentificationOutcome::Identified:
            return "identified";
        case IdentificationOutcome::MissingKey:
            return "missing-key";
        case IdentificationOutcome::RepeatedKey:
            return "repeated-key";
        case IdentificationOutcome::UnknownKey:
            return "unknown-key";
        case IdentificationOutcome::OutdatedConfiguration:
            break;
        }
        return "outdated-configuration";
    }

} // namespace

milliseconds maximumAgeForKeys(milliseconds revocationBound) { return revocationBound * 3 / 5; }

TeamKeyDirectory::TeamKeyDirectory(
    const KeyAgeLimits& limits, std::function<milliseconds()> configurationAge, telemetry::IEventSink& events)
    : limits_(limits)
    , configurationAge_(std::move(configurationAge))
    , events_(events)
    , seed_(randomSeed())
{
}

void TeamKeyDirectory::setConfiguration(const fleet::FleetConfiguration& configuration)
{
    version_ = configuration.version;
    identifiesCallers_ = configuration.teams.has_value();
    entries_.clear();
    if (!configuration.teams)
        return;
    for (const auto& [name, team] : *configuration.teams) {
        for (const auto& key : team.apiKeys)
            entries_.emplace(hash(key), Entry { key, name });
    }
}

std::uint64_t TeamKeyDirectory::hash(std::string_view key) const
{
    return XXH3_64bits_withSeed(key.data(), key.size(), seed_);
}

const TeamKeyDirectory::Entry* TeamKeyDirectory::find(std::string_view key) const
{
    const auto [begin, end] = entries_.equal_range(hash(key));
    for (auto entry = begin; entry != end; ++entry) {
        if (isEqual(entry->second.key, key))
            return &entry->second;
    }
    return nullptr;
}

Identification TeamKeyDirectory::identify(const fleet::Queue& queue, const std::vector<std::string_view>& keys)
{
    const milliseconds age = configurationAge_();
    Identification result = look(queue, keys, age);
    if (!result.isAccepted())
        events_.write("caller.refused",
            { { "queue", queue.name }, { "outcome", toText(result.outcome) }, { "configuration", version_ },
                { "age_ms", std::int64_t(age == milliseconds::max() ? -1 : age.count()) } });
    return result;
}

// A newer configuration may have added the key or made the queue public, so an outdated one refuses nothing for good.
Identification TeamKeyDirectory::look(
    const fleet::Queue& queue, const std::vector<std::string_view>& keys, milliseconds age) const
{
    if (!identifiesCallers_ || queue.isPublic)
        return { IdentificationOutcome::NotRequired, {} };
    if (keys.size() > 1)
        return { IdentificationOutcome::RepeatedKey, {} };
    const Entry* entry = keys.empty() ? nullptr : find(keys.front());
    const bool isOutdated = entry ? limits_.removedKeys && age > *limits_.removedKeys : age > limits_.newKeys;
    if (isOutdated)
        return { IdentificationOutcome::OutdatedConfiguration, {} };
    if (entry)
        return { IdentificationOutcome::Identified, entry->team };
    const bool hasKey = !keys.empty() && !keys.front().empty();
    return { hasKey ? IdentificationOutcome::UnknownKey : IdentificationOutcome::MissingKey, {} };
}

} // namespace turmericsill::identity
