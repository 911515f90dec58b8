#include "operators/operatorsmodule.h"

#include "fleetlog/ifleetlogfactory.h"
#include "foundation/eventloopthread.h"
#include "foundation/feed.h"
#include "httpserver/httpserver.h"
#include "operators/operatorservice.h"
#include "operators/rpchandler.h"
#include "telemetry/readiness.h"

namespace turmericsill::operators {

namespace {

    httpserver::ServerLimits serverLimits(const settings::DaemonSettings& settings)
    {
        httpserver::ServerLimits limits;
        limits.maximumBodyBytes = settings::maximumOperatorRequestBytes(settings);
        return limits;
    }

} // namespace

class OperatorsModule::Impl {
public:
    explicit Impl(const settings::DaemonSettings& daemonSettings)
        : settings(daemonSettings)
        , thread("operators")
        , readBudget(httpserver::readBudgetLimitsWithin(settings::requestMemory(daemonSettings).operators))
    {
    }

    void connectImports(foundation::ModuleRegistry& registry)
    {
        readiness = registry.resolve<telemetry::Readiness>();
        log = registry.resolve<fleetlog::IFleetLogFactory>()->createClient(thread.context());
        service = std::make_unique<OperatorService>(settings.entry, *log);
        handler = std::make_unique<RpcHandler>(*service, settings::requestMemory(settings).operators);
        server
            = std::make_unique<httpserver::HttpServer>(thread.context(), *handler, serverLimits(settings), &readBudget);
    }

    settings::DaemonSettings settings;
    foundation::EventLoopThread thread;
    std::shared_ptr<telemetry::Readiness> readiness;
    std::unique_ptr<fleetlog::IFleetLog> log;
    std::unique_ptr<OperatorService> service;
    std::unique_ptr<RpcHandler> handler;
    httpserver::ReadBudget readBudget;
    std::unique_ptr<httpserver::HttpServer> server;
};

OperatorsModule::OperatorsModule(const settings::DaemonSettings& settings)
    : impl_(std::make_unique<Impl>(settings))
{
}

OperatorsModule::~OperatorsModule() = default;

void OperatorsModule::registerExports(foundation::ModuleRegistry&) { }

void OperatorsModule::resolveImports(foundation::ModuleRegistry& registry)
{
    impl_->connectImports(registry);
    auto& context = impl_->thread.context();
    registry.resolve<foundation::Feed<fleetlog::StateUpdate>>()->subscribe(
        context, [impl = impl_.get()](const fleetlog::StateUpdate& update) { impl->service->sources().log = update; });
    registry.resolve<foundation::Feed<callers::DispatcherCounters>>()->subscribe(
        context, [impl = impl_.get()](const callers::DispatcherCounters& counters) {
            impl->service->sources().callers = counters;
            impl->service->sources().notReadyReasons = impl->readiness->reasons();
        });
    registry.resolve<foundation::Feed<maintenance::DrainReports>>()->subscribe(context,
        [impl = impl_.get()](const maintenance::DrainReports& reports) { impl->service->sources().drains = reports; });
}

foundation::Result<void> OperatorsModule::start()
{
    auto listening = impl_->server->listen(impl_->settings.operatorAddress);
    if (listening)
        impl_->thread.start();
    return listening;
}

void OperatorsModule::stop() { impl_->thread.stop(); }

} // namespace turmericsill::operators
