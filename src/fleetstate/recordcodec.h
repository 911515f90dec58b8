#pragma once

#include "fleetstate/types/records.h"
#include "foundation/result.h"

#include <string>
#include <string_view>

namespace turmericsill::fleetstate {

/// Newest schema version of records that this program reads, and the version that it writes.
constexpr std::uint64_t recordSchemaVersion = 1;

std::string encodeRecord(const Record& record);

/// Decodes a record. Errc::UnknownRecord: a newer version of the program introduced the kind or the schema;
/// Errc::ProtocolViolation: the payload is malformed.
foundation::Result<Record> decodeRecord(std::string_view payload);

/// Name of a record's kind as it is encoded, for example "config_change".
const char* kindName(const RecordBody& body);

const char* lifecycleName(Lifecycle lifecycle);
const char* purposeName(DrainPurpose purpose);

/// Inverse of lifecycleName() and purposeName(); both throw std::invalid_argument if the name is unknown.
Lifecycle lifecycleFromName(const std::string& name);
DrainPurpose purposeFromName(const std::string& name);

} // namespace turmericsill::fleetstate
