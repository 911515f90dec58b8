#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace turmericsill::fleetlog {

/// Runs the fleet log on its own thread. Provides IFleetLogFactory and Feed<StateUpdate> to other modules.
class FleetLogModule : public foundation::IModuleSetup {
public:
    FleetLogModule(const settings::DaemonSettings& settings, std::uint64_t incarnation);
    ~FleetLogModule() override;

    std::string name() const override { return "fleetlog"; }
    void registerExports(foundation::ModuleRegistry& registry) override;
    void resolveImports(foundation::ModuleRegistry& registry) override;
    foundation::Result<void> start() override;
    void stop() override;

private:
    class Impl;

    std::shared_ptr<Impl> impl_;
};

} // namespace turmericsill::fleetlog
