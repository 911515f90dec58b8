#pragma once

#include "foundation/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericsill::platform {

/// An instance as the platform's list has it; the list lags.
struct ListedInstance {
    std::string name;
    bool live = false; ///< False: leaving.
};

/// Progress of an operation that the platform carries out.
enum class OperationState { Unknown, Running, Done, Failed };

/// The platform's control of instances.
class IInstancePlatform {
public:
    using ListCallback = std::function<void(foundation::Result<std::vector<ListedInstance>>)>;
    using DoneCallback = std::function<void(foundation::Result<void>)>;
    using OperationCallback = std::function<void(foundation::Result<OperationState>)>;

    virtual ~IInstancePlatform() = default;

    /// Lists those of the named instances that the platform knows.
    virtual void listInstances(const std::vector<std::string>& names, ListCallback done) = 0;

    /// Starts a reboot. Repeating an operation's id has no further effect;
    /// an epoch lower than one that the platform has seen for the instance is refused with Errc::Conflict.
    virtual void reboot(
        const std::string& instance, const std::string& operationId, std::uint64_t epoch, DoneCallback done)
        = 0;

    virtual void queryOperation(const std::string& operationId, OperationCallback done) = 0;
};

} // namespace turmericsill::platform
