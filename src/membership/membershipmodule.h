#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace turmericsill::membership {

/// Runs the membership protocol on its own thread. Provides Feed<ServingLimits> and Feed<MembershipView> to other
/// modules.
class MembershipModule : public foundation::IModuleSetup {
public:
    MembershipModule(const settings::DaemonSettings& settings, std::uint64_t incarnation);
    ~MembershipModule() override;

    std::string name() const override { return "membership"; }
    void registerExports(foundation::ModuleRegistry& registry) override;
    void resolveImports(foundation::ModuleRegistry& registry) override;
    foundation::Result<void> start() override;
    void stop() override;

    /// Writes a planned leave to the fleet log and blocks until it is confirmed or `limit` has passed.
    void leave(foundation::milliseconds limit);

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace turmericsill::membership
