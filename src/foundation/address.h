#pragma once

#include "foundation/result.h"

#include <cstdint>
#include <string>

namespace turmericsill::foundation {

/// IP number and port of a process.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const;
    bool operator==(const Address& other) const { return ip == other.ip && port == other.port; }
    bool operator<(const Address& other) const { return ip != other.ip ? ip < other.ip : port < other.port; }
};

/// Parses "IP:PORT"; host names are refused with Errc::InvalidInput.
Result<Address> parseAddress(const std::string& text);

} // namespace turmericsill::foundation
