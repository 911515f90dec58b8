#pragma once

#include "foundation/moduleregistry.h"
#include "foundation/result.h"

#include <string>

namespace turmericsill::foundation {

/// Sets one module up within a process. The calls come in the order in which they stand here,
/// each for all modules before the next.
class IModuleSetup {
public:
    virtual ~IModuleSetup() = default;

    virtual std::string name() const = 0;

    /// Puts what the module provides into the registry.
    virtual void registerExports(ModuleRegistry& registry) = 0;

    /// Takes what the module needs from the registry and subscribes to feeds.
    virtual void resolveImports(ModuleRegistry& registry) = 0;

    /// Starts the module's thread. An error ends the process.
    virtual Result<void> start() = 0;

    /// Ends the module's thread.
    virtual void stop() = 0;
};

} // namespace turmericsill::foundation
