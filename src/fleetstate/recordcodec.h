#pragma once

#include "fleetstate/types/records.h"
#include "foundation/result.h"

#include <string>
#include <string_view>

namespace turmericsill::fleetstate {

/// Newest record schema that this program reads and writes.
constexpr std::uint64_t recordSchemaVersion = 1;

std::string encodeRecord(const Record& record);

/// Decodes a record. Errc::UnknownRecord: the kind or schema is newer than this program;
/// Errc::ProtocolViolation: the payload is malformed.
foundation::Result<Record> decodeRecord(std::string_view payload);

/// Standard name of a record's kind, for example "config_change".
const char* kindName(const RecordBody& body);

const char* lifecycleName(Lifecycle lifecycle);
const char* purposeName(DrainPurpose purpose);

/// Inverse of the two above; throws std::invalid_argument for an unknown name.
Lifecycle lifecycleFromName(const std::string& name);
DrainPurpose purposeFromName(const std::string& name);

} // namespace turmericsill::fleetstate
