#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace turmericsill::membership {

/// The membership duty. Provides Feed<ServingView> and Feed<PeersView>.
class MembershipModule : public foundation::IModuleSetup {
public:
    MembershipModule(const settings::DaemonSettings& settings, std::uint64_t incarnation);
    ~MembershipModule() override;

    std::string name() const override { return "membership"; }
    void registerExports(foundation::ModuleRegistry& registry) override;
    void resolveImports(foundation::ModuleRegistry& registry) override;
    foundation::Result<void> start() override;
    void stop() override;

    /// Writes a planned leave into the log; returns when it is there or `limit` has passed.
    void leave(foundation::milliseconds limit);

private:
    class Duty;

    std::unique_ptr<Duty> duty_;
};

} // namespace turmericsill::membership
