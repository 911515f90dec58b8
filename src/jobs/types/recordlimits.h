#pragma once

#include <cstddef>

namespace turmericsill::jobs {

/// Sizes that the store of the log, or of the snapshot, accepts.
struct RecordLimits {
    std::size_t recordBytes = 0; ///< Largest record.
    std::size_t appendBytes = 0; ///< Largest sum of the records of one append and of their frames.
    std::size_t frameBytes = 0; ///< Bytes that an append holds for each record besides the record itself.

    /// Bytes that a record of this size takes of an append.
    std::size_t framedSize(std::size_t recordSize) const { return recordSize + frameBytes; }
};

} // namespace turmericsill::jobs
