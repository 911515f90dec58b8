#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace turmericsill::telemetry {

/// Module that serves metrics and health checks on a thread of its own. Provides MetricsRegistry, Readiness and
/// ITracer.
class TelemetryModule : public foundation::IModuleSetup {
public:
    explicit TelemetryModule(const settings::DaemonSettings& settings);
    ~TelemetryModule() override;

    std::string name() const override { return "telemetry"; }
    void registerExports(foundation::ModuleRegistry& registry) override;
    void resolveImports(foundation::ModuleRegistry& registry) override;
    foundation::Result<void> start() override;
    void stop() override;

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace turmericsill::telemetry
