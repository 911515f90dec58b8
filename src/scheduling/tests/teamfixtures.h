#pragma once

#include "fleet/types/fleet.h"

#include <map>
#include <string>

namespace turmericsill::scheduling {

/// A configuration with teams of these weights.
inline fleet::FleetConfiguration withTeams(const std::map<std::string, double>& weights)
{
    fleet::FleetConfiguration configuration;
    configuration.teams.emplace();
    for (const auto& [name, weight] : weights) {
        fleet::Team team;
        team.name = name;
        team.weight = weight;
        configuration.teams->emplace(name, team);
    }
    return configuration;
}

} // namespace turmericsill::scheduling
