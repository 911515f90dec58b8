#pragma once

#include "jobs/types/records.h"

#include <nlohmann/json.hpp>

namespace turmericsill::jobs {

/// Fields of records as JSON arrays, shared by the codecs of records and of snapshots.
/// The readers throw what nlohmann::json throws for damaged input.
nlohmann::json toJson(const Submitted& record);
nlohmann::json toJson(const Claimed& record);
Submitted submittedFrom(const nlohmann::json& fields);
Claimed claimedFrom(const nlohmann::json& fields);

} // namespace turmericsill::jobs
