#pragma once

#include "jobs/types/records.h"

#include <nlohmann/json.hpp>

namespace turmericsill::jobs {

/// Records as JSON arrays of their fields, shared by the record codec and the snapshot codec.
/// The decoding functions throw the exceptions of nlohmann::json on malformed input.
nlohmann::json toJson(const JobSubmitted& record);
nlohmann::json toJson(const ControlClaimed& record);
nlohmann::json toJson(const std::vector<ControlWitness>& witnesses);
JobSubmitted jobSubmittedFromJson(const nlohmann::json& fields);
ControlClaimed controlClaimedFromJson(const nlohmann::json& fields);
std::vector<ControlWitness> witnessesFromJson(const nlohmann::json& value);

nlohmann::json toJson(const InstanceRestarted& record);
InstanceRestarted instanceRestartedFromJson(const nlohmann::json& fields);

} // namespace turmericsill::jobs
