#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>
#include <vector>

namespace turmericsill::callers {
class CallersModule;
} // namespace turmericsill::callers

namespace turmericsill::membership {
class MembershipModule;
} // namespace turmericsill::membership

namespace turmericsill::daemon {

/// One entry instance: creates and connects its modules, starts them and shuts them down.
class Daemon {
public:
    Daemon(const settings::DaemonSettings& settings, std::uint64_t incarnation);
    ~Daemon();

    foundation::Result<void> start();

    /// Reports not ready, lets requests in progress finish, leaves the membership group and stops all module threads.
    void stopGracefully();

private:
    settings::DaemonSettings settings_;
    foundation::ModuleRegistry registry_;
    std::vector<std::shared_ptr<foundation::IModuleSetup>> modules_;
    std::shared_ptr<callers::CallersModule> callers_;
    std::shared_ptr<membership::MembershipModule> membership_;
};

} // namespace turmericsill::daemon
