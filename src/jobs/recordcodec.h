#pragma once

#include "foundation/result.h"
#include "jobs/types/records.h"

#include <string>
#include <string_view>

namespace turmericsill::jobs {

/// A record as it stands in the log.
struct LoggedRecord {
    Record record;
    std::uint64_t epoch = 0; ///< Of the controller that wrote it; 0: an entry wrote it for a caller.
};

/// Encodes a record as CBOR: an array of the kind's number, the record's fields in order and the epoch.
std::string encode(const Record& record, std::uint64_t epoch);

/// Decodes a record. Errc::UnknownRecord: the bytes are of another writer or a later version.
foundation::Result<LoggedRecord> decode(std::string_view bytes);

} // namespace turmericsill::jobs
