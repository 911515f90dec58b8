#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace turmericsill::maintenance {

/// Module that runs the pool controller on a thread of its own. Provides Feed<DrainReports>.
class MaintenanceModule : public foundation::IModuleSetup {
public:
    explicit MaintenanceModule(const settings::DaemonSettings& settings);
    ~MaintenanceModule() override;

    std::string name() const override { return "maintenance"; }
    void registerExports(foundation::ModuleRegistry& registry) override;
    void resolveImports(foundation::ModuleRegistry& registry) override;
    foundation::Result<void> start() override;
    void stop() override;

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace turmericsill::maintenance
