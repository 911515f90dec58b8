#pragma once

#include "foundation/iclock.h"

#include <nlohmann/json.hpp>
#include <random>

namespace turmericsill::standins {

/// Faults of the platform stand-in, which can be changed while it runs.
struct Faults {
    bool isDown = false; ///< Requests are answered with 503 and have no effect.
    bool isInstanceApiDown = false; ///< Like isDown, for the instance list and reboots only.
    foundation::milliseconds delay { 0 }; ///< Delay before each answer.
    double lostAnswerRatio = 0; ///< Fraction of appends and reboots whose answer is lost after the effect.
    foundation::milliseconds listLatency { 0 }; ///< Delay until a change shows in the instance list.
    std::size_t retainedRecords = 0; ///< Number of latest records kept for each stream; 0 keeps all.

    /// Changes the fields that `value` contains. Throws nlohmann::json::exception when a value has the wrong type.
    void update(const nlohmann::json& value);
    nlohmann::json toJson() const;
};

} // namespace turmericsill::standins
