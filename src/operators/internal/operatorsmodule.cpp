#include "operators/operatorsmodule.h"

#include "fleetlog/ilogport.h"
#include "foundation/dutythread.h"
#include "foundation/feed.h"
#include "httpserver/httpserver.h"
#include "operators/operatorservice.h"
#include "operators/rpchandler.h"
#include "telemetry/readiness.h"

namespace turmericsill::operators {

namespace {

    constexpr std::size_t maximumRequestBytes = 64u << 20; ///< Declarations of a whole fleet.

    httpserver::ServerLimits serverLimits()
    {
        httpserver::ServerLimits limits;
        limits.maximumBodyBytes = maximumRequestBytes;
        return limits;
    }

} // namespace

class OperatorsModule::Duty {
public:
    explicit Duty(const settings::DaemonSettings& daemonSettings)
        : settings(daemonSettings)
        , thread("operators")
    {
    }

    void build(foundation::ModuleRegistry& registry)
    {
        readiness = registry.resolve<telemetry::Readiness>();
        log = registry.resolve<fleetlog::ILogPort>()->connect(thread.context());
        service = std::make_unique<OperatorService>(settings.entry, *log);
        handler = std::make_unique<RpcHandler>(*service);
        server = std::make_unique<httpserver::HttpServer>(thread.context(), *handler, serverLimits());
    }

    settings::DaemonSettings settings;
    foundation::DutyThread thread;
    std::shared_ptr<telemetry::Readiness> readiness;
    std::unique_ptr<fleetlog::IFleetLog> log;
    std::unique_ptr<OperatorService> service;
    std::unique_ptr<RpcHandler> handler;
    std::unique_ptr<httpserver::HttpServer> server;
};

OperatorsModule::OperatorsModule(const settings::DaemonSettings& settings)
    : duty_(std::make_unique<Duty>(settings))
{
}

OperatorsModule::~OperatorsModule() = default;

void OperatorsModule::registerExports(foundation::ModuleRegistry&) { }

void OperatorsModule::resolveImports(foundation::ModuleRegistry& registry)
{
    duty_->build(registry);
    auto& context = duty_->thread.context();
    registry.resolve<foundation::Feed<fleetlog::StateUpdate>>()->subscribe(
        context, [duty = duty_.get()](const fleetlog::StateUpdate& update) { duty->service->sources().log = update; });
    registry.resolve<foundation::Feed<callers::DispatcherCounters>>()->subscribe(
        context, [duty = duty_.get()](const callers::DispatcherCounters& counters) {
            duty->service->sources().callers = counters;
            duty->service->sources().notReadyReasons = duty->readiness->reasons();
        });
    registry.resolve<foundation::Feed<maintenance::DrainReports>>()->subscribe(context,
        [duty = duty_.get()](const maintenance::DrainReports& reports) { duty->service->sources().drains = reports; });
}

foundation::Result<void> OperatorsModule::start()
{
    auto listening = duty_->server->listen(duty_->settings.operatorAddress);
    if (listening)
        duty_->thread.start();
    return listening;
}

void OperatorsModule::stop() { duty_->thread.stop(); }

} // namespace turmericsill::operators
