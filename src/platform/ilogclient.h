#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericsill::platform {

/// Consecutive records of a stream.
struct LogPage {
    std::vector<std::string> payloads;
    std::uint64_t firstOffset = 0; ///< Offset of the first payload.
    std::uint64_t endOffset = 0; ///< Offset after the last record of the stream when the page was read.
};

/// Client of the platform's append-only log service.
/// Errc::Unavailable: the request was not sent. After any other error of append() its outcome is unknown.
class ILogClient {
public:
    using AppendCallback = std::function<void(foundation::Result<std::uint64_t>)>;
    using ReadCallback = std::function<void(foundation::Result<LogPage>)>;

    virtual ~ILogClient() = default;

    /// Appends the payloads in one call. The result is the offset of the first one.
    virtual void append(const std::string& stream, std::vector<std::string> payloads, foundation::milliseconds timeout,
        AppendCallback done)
        = 0;

    /// Reads at most `maximum` payloads from offset `from` on and waits up to `wait` for the first one.
    /// Errc::RetentionPassed: the log no longer holds the record at `from`.
    virtual void read(const std::string& stream, std::uint64_t from, std::size_t maximum, foundation::milliseconds wait,
        ReadCallback done)
        = 0;
};

} // namespace turmericsill::platform
