#pragma once

#include "declarations/types/objects.h"

#include <cstdint>
#include <string>

namespace turmericsill::callers {

/// This entry's part of the endpoints' limits, which all entry instances share.
class ISlotShares {
public:
    virtual ~ISlotShares() = default;

    /// Requests that this entry may have in progress for a service on an instance.
    virtual std::uint32_t slots(const declarations::Service& service, const std::string& instance) const = 0;

    /// Connections that this entry may hold for a service on an instance.
    virtual std::uint32_t connections(const declarations::Service& service, const std::string& instance) const = 0;
};

} // namespace turmericsill::callers
