#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace turmericsill::callers {

/// Module that serves callers on a thread of its own: it accepts their requests and dispatches them to endpoints.
/// Provides Feed<membership::CallerReport> and Feed<DispatcherCounters>.
class CallersModule : public foundation::IModuleSetup {
public:
    explicit CallersModule(const settings::DaemonSettings& settings);
    ~CallersModule() override;

    std::string name() const override { return "callers"; }
    void registerExports(foundation::ModuleRegistry& registry) override;
    void resolveImports(foundation::ModuleRegistry& registry) override;
    foundation::Result<void> start() override;
    void stop() override;

    /// Stops accepting connections and waits up to `timeout` for every request to be answered.
    void drain(foundation::milliseconds timeout);

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace turmericsill::callers
