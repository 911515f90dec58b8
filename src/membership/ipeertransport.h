#pragma once

#include "foundation/address.h"

#include <string>

namespace turmericsill::membership {

/// Sends datagrams to other entry instances; they may be lost, repeated or late.
class IPeerTransport {
public:
    virtual ~IPeerTransport() = default;

    virtual void send(const foundation::Address& peer, const std::string& datagram) = 0;
};

} // namespace turmericsill::membership
