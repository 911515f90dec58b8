#pragma once

#include <string>

namespace turmericsill::identity {

/// Result of looking for the team of a request's caller.
enum class IdentificationOutcome {
    NotRequired, ///< The queue is public, or callers are not identified at all.
    Identified, ///< The request carries the key of a team.
    MissingKey,
    RepeatedKey, ///< The request carries more than one key.
    UnknownKey, ///< No team of the current configuration has the key.
    /// The configuration has not been read recently enough to accept the key, or to tell that it does not exist.
    OutdatedConfiguration,
};

struct Identification {
    IdentificationOutcome outcome = IdentificationOutcome::MissingKey;
    std::string team; ///< Empty unless the caller was identified.

    /// Whether the request may be carried out.
    bool isAccepted() const
    {
        return outcome == IdentificationOutcome::Identified || outcome == IdentificationOutcome::NotRequired;
    }
};

} // namespace turmericsill::identity
