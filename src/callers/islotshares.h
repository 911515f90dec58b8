#pragma once

#include "declarations/types/objects.h"

#include <cstdint>
#include <string>

namespace turmericsill::callers {

/// This entry's share of the endpoints' limits, which are divided among all entry instances.
class ISlotShares {
public:
    virtual ~ISlotShares() = default;

    /// Number of requests of a service that this entry may have in progress on an instance.
    virtual std::uint32_t slots(const declarations::Service& service, const std::string& instance) const = 0;

    /// Number of connections that this entry may hold open for a service on an instance.
    virtual std::uint32_t connections(const declarations::Service& service, const std::string& instance) const = 0;
};

} // namespace turmericsill::callers
