#pragma once

#include "jobs/types/records.h"

#include <nlohmann/json.hpp>

namespace turmericsill::jobs {

/// Throws std::out_of_range for a number that is no outcome.
RunOutcome runOutcomeFromNumber(unsigned number);

/// Encodes a batch as two flat arrays: the instances that it names, each as its name and the start of its incarnation
/// relative to the one before, and the runs by step.
nlohmann::json toJson(const RunBatch& batch);

/// Decodes what toJson() writes. Throws nlohmann::json::exception or std::out_of_range if the value is malformed.
RunBatch runBatchFromJson(const nlohmann::json& fields);

} // namespace turmericsill::jobs
