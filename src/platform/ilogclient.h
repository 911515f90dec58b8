#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericsill::platform {

/// Records of a stream from one offset on.
struct LogPage {
    std::vector<std::string> payloads;
    std::uint64_t from = 0; ///< Offset of the first payload.
    std::uint64_t tail = 0; ///< First offset that the log had not assigned when it answered.
};

/// The platform's append-only log service.
/// Errc::Unavailable: the request was not sent; any other error of append() leaves open whether it took effect.
class ILogClient {
public:
    using AppendCallback = std::function<void(foundation::Result<std::uint64_t>)>;
    using ReadCallback = std::function<void(foundation::Result<LogPage>)>;

    virtual ~ILogClient() = default;

    /// Appends payloads in one call; answers with the offset of the first.
    virtual void append(const std::string& stream, std::vector<std::string> payloads, foundation::milliseconds timeout,
        AppendCallback done)
        = 0;

    /// Reads at most `maximum` payloads from `from` on and waits up to `wait` for the first of them.
    /// Errc::RetentionPassed: the log no longer keeps `from`.
    virtual void read(const std::string& stream, std::uint64_t from, std::size_t maximum, foundation::milliseconds wait,
        ReadCallback done)
        = 0;
};

} // namespace turmericsill::platform
