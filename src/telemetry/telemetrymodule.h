#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace turmericsill::telemetry {

/// The telemetry duty. Provides Metrics, Readiness and ITracer.
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
    class Duty;

    std::unique_ptr<Duty> duty_;
};

} // namespace turmericsill::telemetry
