#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"
#include "jobs/types/recordlimits.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// A record that was not stored because the fleet is overloaded.
struct RejectedRecord {
    std::size_t index = 0; ///< Position among the records of the call.
    foundation::milliseconds retryAfter { 0 }; ///< Delay before the caller should submit the record again.
};

/// Outcome of a call that stored the records, except those that were rejected.
struct StoreReceipt {
    std::vector<RejectedRecord> rejected;
};

/// Path on which callers' records are stored in the log, for example through the controller.
class ISubmissionPath {
public:
    using StoreCallback = std::function<void(foundation::Result<StoreReceipt>)>;

    virtual ~ISubmissionPath() = default;

    /// Limit of store() calls in flight at the same time.
    virtual std::size_t maximumConcurrentCalls() const = 0;

    /// Sizes of the records and calls of store() that the path accepts.
    virtual jobs::RecordLimits recordLimits() const = 0;

    /// Stores all encoded records but those named in the receipt, or none. Errc::Unavailable: surely not stored.
    /// Errc::Rejected: not stored, nor will they be by a repetition. After any other error the records may have been
    /// stored or may still be.
    virtual void store(std::vector<std::string> records, foundation::milliseconds timeout, StoreCallback done) = 0;
};

} // namespace turmericsill::eventlog
