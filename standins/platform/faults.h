#pragma once

#include "foundation/iclock.h"

#include <nlohmann/json.hpp>
#include <random>

namespace turmericsill::standins {

/// Faults of the platform stand-in, switched while it runs.
struct Faults {
    bool down = false; ///< Requests are answered with 503 and have no effect.
    bool instancesDown = false; ///< As above, for the instance list and reboots only.
    foundation::milliseconds delay { 0 }; ///< Before each answer.
    double loseAnswers = 0; ///< Fraction of appends and reboots whose answer is lost after the effect.
    foundation::milliseconds listLag { 0 };
    std::size_t retainRecords = 0; ///< Records kept for each stream; 0 keeps all.

    /// Changes the fields that `value` names. Throws nlohmann::json::exception for a wrong type.
    void update(const nlohmann::json& value);
    nlohmann::json toJson() const;
};

} // namespace turmericsill::standins
