#pragma once

#include "foundation/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericsill::platform {

/// An instance in the platform's list, which lags behind the actual state.
struct ListedInstance {
    std::string name;
    bool isLive = false; ///< False: the instance is leaving.
};

/// State of an operation that the platform carries out.
enum class OperationState { Unknown, Running, Done, Failed };

/// Lists and reboots instances through the platform.
class IInstanceManager {
public:
    using ListCallback = std::function<void(foundation::Result<std::vector<ListedInstance>>)>;
    using DoneCallback = std::function<void(foundation::Result<void>)>;
    using OperationCallback = std::function<void(foundation::Result<OperationState>)>;

    virtual ~IInstanceManager() = default;

    /// Lists the instances in `names` that the platform knows.
    virtual void listInstances(const std::vector<std::string>& names, ListCallback done) = 0;

    /// Starts a reboot. A repeated operation id has no further effect. `epoch` is a fencing token: the platform rejects
    /// one that is lower than the highest it has seen for the instance, with Errc::Conflict.
    virtual void reboot(
        const std::string& instance, const std::string& operationId, std::uint64_t epoch, DoneCallback done)
        = 0;

    /// Queries the state of the operation that reboot() started under this id.
    virtual void queryOperation(const std::string& operationId, OperationCallback done) = 0;
};

} // namespace turmericsill::platform
