#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"
#include "jobs/types/recordlimits.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// Identifies an append, so that it takes effect at most once, and not at all after its writer was replaced.
struct ProducerPosition {
    std::uint64_t epoch = 0; ///< Epoch of the writer; a higher one fences every lower one.
    std::uint64_t sequence = 0; ///< Number of the append within its epoch, from 0.
};

struct AppendRequest {
    std::vector<std::string> payloads;
    std::optional<ProducerPosition> position; ///< Empty for an append that is neither deduplicated nor fenced.
};

/// Position of an append in the log.
struct AppendReceipt {
    std::uint64_t offset = 0; ///< Offset of the first payload.
    std::uint64_t end = 0; ///< First offset after the log's last record.
};

/// Range and limits of a read.
struct ReadRequest {
    std::uint64_t from = 0; ///< First offset to read.
    foundation::milliseconds wait { 0 }; ///< Long poll: how long to wait for the first record.
    std::size_t maximumBytes = 0; ///< Limit of a page, which always takes the first record; 0 for the log's own limit.
    bool skipsDropped = false; ///< Whether to begin at the first retained record if that at `from` was dropped.
};

/// Consecutive records of the log.
struct LogPage {
    std::uint64_t from = 0; ///< Offset of the first record of the page.
    std::uint64_t end = 0; ///< First offset after the log's last record when the page was read.
    std::vector<std::string> payloads;
};

/// Append-only log of callers' requests and of the controller's decisions and observations.
class IEventLog {
public:
    using AppendCallback = std::function<void(foundation::Result<AppendReceipt>)>;
    using ReadCallback = std::function<void(foundation::Result<LogPage>)>;

    virtual ~IEventLog() = default;

    /// Sizes of the records and appends that the log accepts.
    virtual jobs::RecordLimits recordLimits() const = 0;

    /// Appends all payloads or none. Errc::Unavailable: surely not appended. Errc::Rejected: not appended, nor will a
    /// repetition be. Errc::Fenced: a higher epoch has written. After any other error the append may have taken effect
    /// or may still do so.
    virtual void append(AppendRequest request, foundation::milliseconds timeout, AppendCallback done) = 0;

    /// Reads a page of records. Errc::RetentionPassed: the log no longer holds the first record of the range.
    virtual void read(const ReadRequest& request, ReadCallback done) = 0;
};

} // namespace turmericsill::eventlog
