#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/result.h"

#include <string>
#include <string_view>
#include <vector>

/// Encoding of snapshots: CBOR of one object.
namespace turmericsill::fleetstate::snapshotcodec {

struct Decoded {
    boost::intrusive_ptr<FleetState> state;
    std::vector<std::uint64_t> recentIds;
};

std::string encode(const FleetState& state, const std::vector<std::uint64_t>& recentIds);

/// Errc::ProtocolViolation: malformed; Errc::UnknownRecord: written by a newer program.
foundation::Result<Decoded> decode(std::string_view snapshot);

} // namespace turmericsill::fleetstate::snapshotcodec
