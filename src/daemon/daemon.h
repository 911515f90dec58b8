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

/// One entry instance: sets the modules up, runs them and stops them gracefully.
class Daemon {
public:
    Daemon(const settings::DaemonSettings& settings, std::uint64_t incarnation);
    ~Daemon();

    foundation::Result<void> start();

    /// Goes unready, finishes what is in progress, leaves the members and ends all threads.
    void stopGracefully();

private:
    settings::DaemonSettings settings_;
    foundation::ModuleRegistry registry_;
    std::vector<std::shared_ptr<foundation::IModuleSetup>> modules_;
    std::shared_ptr<callers::CallersModule> callers_;
    std::shared_ptr<membership::MembershipModule> membership_;
};

} // namespace turmericsill::daemon
