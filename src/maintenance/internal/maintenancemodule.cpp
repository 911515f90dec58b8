#include "maintenance/maintenancemodule.h"

#include "fleetlog/ifleetlogfactory.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/eventloopthread.h"
#include "foundation/feed.h"
#include "foundation/systemclock.h"
#include "httpclient/types/responselimits.h"
#include "maintenance/poolcontroller.h"
#include "platform/httpplatform.h"
#include "telemetry/metricsregistry.h"

#include <boost/asio/post.hpp>

namespace turmericsill::maintenance {

namespace {

    constexpr foundation::milliseconds reportInterval { 500 };

} // namespace

class MaintenanceModule::Impl {
public:
    explicit Impl(const settings::DaemonSettings& daemonSettings)
        : settings(daemonSettings)
        , thread("maintenance")
        , timers(thread.context())
        , instanceManager(thread.context(), daemonSettings.platformAddress)
        , reports(std::make_shared<foundation::Feed<DrainReports>>())
    {
        httpclient::setResponseLimits(
            thread.context(), httpclient::responseLimitsWithin(settings::responseMemory(settings).other));
    }

    void connectImports(foundation::ModuleRegistry& registry)
    {
        auto metrics = registry.resolve<telemetry::MetricsRegistry>();
        log = registry.resolve<fleetlog::IFleetLogFactory>()->createClient(thread.context());
        controller = std::make_unique<PoolController>(settings.entry, instanceManager, *log, timers, clock);
        drainsGauge = &metrics->gauge("drains", "Instances whose planned work this entry controls");
        overdueGauge = &metrics->gauge("drains_overdue", "Drains past their pool's limit");
        rebootsGauge = &metrics->gauge("reboots_total", "Reboots that the platform took from this entry");
        movesGauge = &metrics->gauge("moves_total", "Instances that this entry moved to another pool");
    }

    void reportPeriodically()
    {
        const DrainReports current = controller->reports();
        std::size_t overdue = 0;
        for (const auto& report : current)
            overdue += report.overdue;
        reports->publish(current);
        drainsGauge->Set(static_cast<double>(current.size()));
        overdueGauge->Set(static_cast<double>(overdue));
        rebootsGauge->Set(static_cast<double>(controller->counters().reboots));
        movesGauge->Set(static_cast<double>(controller->counters().moves));
        timers.schedule(clock.now() + reportInterval, [this] { reportPeriodically(); });
    }

    settings::DaemonSettings settings;
    foundation::SystemClock clock;
    foundation::EventLoopThread thread;
    foundation::AsioTimerQueue timers;
    platform::HttpInstanceManager instanceManager;
    std::shared_ptr<foundation::Feed<DrainReports>> reports;
    std::unique_ptr<fleetlog::IFleetLog> log;
    std::unique_ptr<PoolController> controller;
    prometheus::Gauge* drainsGauge = nullptr;
    prometheus::Gauge* overdueGauge = nullptr;
    prometheus::Gauge* rebootsGauge = nullptr;
    prometheus::Gauge* movesGauge = nullptr;
};

MaintenanceModule::MaintenanceModule(const settings::DaemonSettings& settings)
    : impl_(std::make_unique<Impl>(settings))
{
}

MaintenanceModule::~MaintenanceModule() = default;

void MaintenanceModule::registerExports(foundation::ModuleRegistry& registry) { registry.provide(impl_->reports); }

void MaintenanceModule::resolveImports(foundation::ModuleRegistry& registry)
{
    impl_->connectImports(registry);
    registry.resolve<foundation::Feed<fleetlog::StateUpdate>>()->subscribe(impl_->thread.context(),
        [impl = impl_.get()](const fleetlog::StateUpdate& update) { impl->controller->onState(update); });
    registry.resolve<foundation::Feed<membership::MembershipView>>()->subscribe(impl_->thread.context(),
        [impl = impl_.get()](const membership::MembershipView& view) { impl->controller->onMembershipView(view); });
}

foundation::Result<void> MaintenanceModule::start()
{
    boost::asio::post(impl_->thread.context(), [impl = impl_.get()] {
        impl->controller->start();
        impl->reportPeriodically();
    });
    impl_->thread.start();
    return {};
}

void MaintenanceModule::stop() { impl_->thread.stop(); }

} // namespace turmericsill::maintenance
