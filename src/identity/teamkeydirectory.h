#pragma once

#include "identity/icalleridentifier.h"
#include "telemetry/ieventsink.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace turmericsill::identity {

using foundation::milliseconds;

/// How old the configuration may be for a decision about a key.
struct KeyAgeLimits {
    /// A key that an older configuration does not hold may have been added since.
    milliseconds newKeys { 2000 };
    /// Keys of an older configuration may have been removed too long ago. Absent: removed keys are accepted until the
    /// removal is read.
    std::optional<milliseconds> removedKeys;
};

/// Greatest age of a configuration whose keys are accepted, if no request may run on a key that was removed longer than
/// `revocationBound` before the request was sent. The rest of the bound covers a store that acknowledges a change about
/// a second before it tells the watches of it.
milliseconds maximumAgeForKeys(milliseconds revocationBound);

/// The API keys of all teams of the configuration in force.
/// Keys are found by a hash with a random seed and then compared in constant time, so that the duration of a look-up
/// tells nothing about how much of a key is right.
class TeamKeyDirectory : public ICallerIdentifier {
public:
    /// `configurationAge` returns the age of the configuration: all changes that were confirmed longer ago are known.
    TeamKeyDirectory(
        const KeyAgeLimits& limits, std::function<milliseconds()> configurationAge, telemetry::IEventSink& events);

    /// Replaces all keys by those of a newer configuration.
    void setConfiguration(const fleet::FleetConfiguration& configuration);

    Identification identify(const fleet::Queue& queue, const std::vector<std::string_view>& keys) override;

private:
    struct Entry {
        std::string key;
        std::string team;
    };

    std::uint64_t hash(std::string_view key) const;
    const Entry* find(std::string_view key) const;
    Identification look(const fleet::Queue& queue, const std::vector<std::string_view>& keys, milliseconds age) const;

    KeyAgeLimits limits_;
    std::function<milliseconds()> configurationAge_;
    telemetry::IEventSink& events_;
    std::uint64_t seed_;
    std::uint64_t version_ = 0;
    bool identifiesCallers_ = false;
    std::unordered_multimap<std::uint64_t, Entry> entries_; ///< Key: seeded hash of the API key.
};

} // namespace turmericsill::identity
