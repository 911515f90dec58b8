#pragma once

#include "fleet/types/fleet.h"
#include "identity/types/identification.h"

#include <string_view>
#include <vector>

namespace turmericsill::identity {

/// Identifies the callers of requests by their API keys.
class ICallerIdentifier {
public:
    virtual ~ICallerIdentifier() = default;

    /// Finds the team of a request for a queue. `keys` are the values of all headers that carry an API key.
    virtual Identification identify(const fleet::Queue& queue, const std::vector<std::string_view>& keys) = 0;
};

} // namespace turmericsill::identity
