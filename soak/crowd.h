#pragma once

#include "processtests/misbehavingpeer.h"

#include <cstdint>
#include <random>
#include <vector>

namespace turmericsill::soak {

/// Clients that do not keep to the limits, on all listening sockets of the entries. They use a connection until it is
/// closed, and then connect again.
class UntrustedCrowd {
public:
    /// Draws `count` clients for each loopback port.
    UntrustedCrowd(const std::vector<std::uint16_t>& ports, std::size_t count, std::mt19937_64& random);

    /// Lets each client send once.
    void step();

private:
    processtests::Crowd clients_;
};

} // namespace turmericsill::soak
