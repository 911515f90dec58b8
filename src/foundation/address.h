#pragma once

#include "foundation/result.h"

#include <cstdint>
#include <string>

namespace turmericsill::foundation {

/// IP address and port on which a process listens.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    /// Formats the address as "IP:PORT".
    std::string toString() const;
    bool operator==(const Address& other) const { return ip == other.ip && port == other.port; }
    bool operator<(const Address& other) const { return ip != other.ip ? ip < other.ip : port < other.port; }
};

/// Parses "IP:PORT". Host names and port 0 are rejected with Errc::InvalidInput.
Result<Address> parseAddress(const std::string& text);

} // namespace turmericsill::foundation
