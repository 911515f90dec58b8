#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// How callers' records get into the log.
class ISubmissionPath {
public:
    using StoreCallback = std::function<void(foundation::Result<void>)>;

    virtual ~ISubmissionPath() = default;

    /// How many calls may be under way at a time.
    virtual std::size_t concurrentCalls() const = 0;

    /// Stores all encoded records or none. Errc::Unavailable: surely not stored; any other error leaves that open.
    virtual void store(std::vector<std::string> records, foundation::milliseconds timeout, StoreCallback done) = 0;
};

} // namespace turmericsill::eventlog
