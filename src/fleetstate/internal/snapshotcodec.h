#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/result.h"

#include <string>
#include <string_view>
#include <vector>

/// Encoding of snapshots of the fleet state as one CBOR object.
namespace turmericsill::fleetstate::snapshotcodec {

/// Contents of a snapshot.
struct DecodedSnapshot {
    boost::intrusive_ptr<FleetState> state;
    std::vector<std::uint64_t> recentIdHashes; ///< Hashes of the most recent record ids, oldest first.
};

std::string encode(const FleetState& state, const std::vector<std::uint64_t>& recentIdHashes);

/// Errc::ProtocolViolation: the snapshot is malformed; Errc::UnknownRecord: a newer version of the program wrote it.
foundation::Result<DecodedSnapshot> decode(std::string_view snapshot);

} // namespace turmericsill::fleetstate::snapshotcodec
