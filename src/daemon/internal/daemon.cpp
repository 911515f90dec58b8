#include "daemon/daemon.h"

#include "callers/callersmodule.h"
#include "fleetlog/fleetlogmodule.h"
#include "maintenance/maintenancemodule.h"
#include "membership/membershipmodule.h"
#include "operators/operatorsmodule.h"
#include "telemetry/readiness.h"
#include "telemetry/telemetrymodule.h"

#include <glog/logging.h>
#include <thread>

namespace turmericsill::daemon {

namespace {

    constexpr foundation::milliseconds leaveTimeout { 5000 }; ///< Longest wait for the entry to leave the membership.

} // namespace

Daemon::Daemon(const settings::DaemonSettings& settings, std::uint64_t incarnation)
    : settings_(settings)
    , callers_(std::make_shared<callers::CallersModule>(settings))
    , membership_(std::make_shared<membership::MembershipModule>(settings, incarnation))
{
    modules_ = { std::make_shared<telemetry::TelemetryModule>(settings),
        std::make_shared<fleetlog::FleetLogModule>(settings, incarnation), membership_, callers_,
        std::make_shared<maintenance::MaintenanceModule>(settings),
        std::make_shared<operators::OperatorsModule>(settings) };
    for (const auto& module : modules_)
        module->registerExports(registry_);
    for (const auto& module : modules_)
        module->resolveImports(registry_);
}

// All module threads stop before any module is destroyed, because the modules are connected by ring buffers.
Daemon::~Daemon()
{
    for (const auto& module : modules_)
        module->stop();
}

foundation::Result<void> Daemon::start()
{
    for (const auto& module : modules_) {
        if (auto started = module->start(); !started)
            return started;
    }
    LOG(INFO) << "entry " << settings_.entry << " started; accepts caller requests at "
              << settings_.callerAddress.toString();
    return {};
}

void Daemon::stopGracefully()
{
    registry_.resolve<telemetry::Readiness>()->setReason("stopping", "this entry is shutting down");
    std::this_thread::sleep_for(settings_.shutdownNotice);
    callers_->drain(settings_.shutdownGrace);
    membership_->leave(leaveTimeout);
    for (const auto& module : modules_)
        module->stop();
    LOG(INFO) << "entry " << settings_.entry << " stopped";
}

} // namespace turmericsill::daemon
