#pragma once

#include "foundation/result.h"
#include "jobs/types/records.h"

#include <string>
#include <string_view>

namespace turmericsill::jobs {

/// A record as it is stored in the log.
struct LoggedRecord {
    Record record;
    std::uint64_t epoch = 0; ///< Epoch of the controller that wrote it; 0 when an entry wrote it on behalf of a caller.
};

/// Encodes a record as a CBOR array: index of the record type in Record, array of the record's fields, epoch.
std::string encode(const Record& record, std::uint64_t epoch);

/// Compresses an encoded record, which decode() then reads as well, unless it is so small that this gains little.
std::string compressRecord(std::string encodedRecord);

/// Decodes a record. Errc::UnknownRecord: the bytes are damaged, or were written by another program or a later version.
foundation::Result<LoggedRecord> decode(std::string_view bytes);

} // namespace turmericsill::jobs
