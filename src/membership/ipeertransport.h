#pragma once

#include "foundation/address.h"

#include <string>

namespace turmericsill::membership {

/// Sends datagrams to other entry instances. Datagrams may be lost, duplicated or delayed.
class IPeerTransport {
public:
    virtual ~IPeerTransport() = default;

    virtual void send(const foundation::Address& peer, const std::string& datagram) = 0;
};

} // namespace turmericsill::membership
