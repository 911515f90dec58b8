#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// Makes a writer's appends take effect once, and those of a writer that it replaced not at all.
struct ProducerPosition {
    std::uint64_t epoch = 0; ///< A higher one fences every lower one.
    std::uint64_t sequence = 0; ///< Appends of an epoch count from 0.
};

struct AppendRequest {
    std::vector<std::string> payloads;
    std::optional<ProducerPosition> position;
};

/// Where the payloads of an append stand.
struct AppendReceipt {
    std::uint64_t offset = 0; ///< Of the first payload.
    std::uint64_t end = 0; ///< First offset after the log's last record.
};

/// What to read.
struct ReadRequest {
    std::uint64_t from = 0;
    foundation::milliseconds wait { 0 }; ///< For the first record.
    std::size_t maximumBytes = 0; ///< Of the records of one page, where the first one fits; 0: the log's own limit.
};

/// Records from an offset on.
struct LogPage {
    std::uint64_t from = 0;
    std::uint64_t end = 0; ///< First offset after the log's last record, when the page was read.
    std::vector<std::string> payloads;
};

/// The log of accepted jobs and of what the controller did about them.
class IEventLog {
public:
    using AppendCallback = std::function<void(foundation::Result<AppendReceipt>)>;
    using ReadCallback = std::function<void(foundation::Result<LogPage>)>;

    virtual ~IEventLog() = default;

    /// Appends all payloads or none. Errors: Unavailable: surely not appended; Fenced: a higher epoch writes; any other
    /// leaves open whether the append takes effect.
    virtual void append(AppendRequest request, foundation::milliseconds timeout, AppendCallback done) = 0;

    /// Errc::RetentionPassed: the log no longer holds the first record asked for.
    virtual void read(const ReadRequest& request, ReadCallback done) = 0;
};

} // namespace turmericsill::eventlog
