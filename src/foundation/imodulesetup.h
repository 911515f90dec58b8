#pragma once

#include "foundation/moduleregistry.h"
#include "foundation/result.h"

#include <string>

namespace turmericsill::foundation {

/// Lifecycle of one module within a process. The process calls the methods in the order of their declaration,
/// and calls each of them for all modules before the next one.
class IModuleSetup {
public:
    virtual ~IModuleSetup() = default;

    virtual std::string name() const = 0;

    /// Registers the interfaces that the module provides.
    virtual void registerExports(ModuleRegistry& registry) = 0;

    /// Looks up the interfaces that the module depends on and subscribes to feeds.
    virtual void resolveImports(ModuleRegistry& registry) = 0;

    /// Starts the module's thread. The process exits if this fails.
    virtual Result<void> start() = 0;

    /// Stops the module's thread.
    virtual void stop() = 0;
};

} // namespace turmericsill::foundation
