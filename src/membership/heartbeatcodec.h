#pragma once

#include "foundation/result.h"
#include "membership/types/messages.h"

#include <string>
#include <string_view>

namespace turmericsill::membership {

/// Encodes a heartbeat in CBOR as one datagram.
std::string encodeHeartbeat(const Heartbeat& heartbeat);

/// Decodes a datagram. Errc::ProtocolViolation: the datagram is malformed.
foundation::Result<Heartbeat> decodeHeartbeat(std::string_view datagram);

} // namespace turmericsill::membership
