#include "telemetry/telemetrymodule.h"

#include "foundation/eventloopthread.h"
#include "httpserver/httpserver.h"
#include "telemetry/otlpfiletracer.h"
#include "telemetry/telemetryhandler.h"

namespace turmericsill::telemetry {

class TelemetryModule::Impl {
public:
    explicit Impl(const settings::DaemonSettings& settings)
        : address(settings.telemetryAddress)
        , thread("telemetry")
        , metrics(std::make_shared<MetricsRegistry>())
        , readiness(std::make_shared<Readiness>())
        , tracer(std::make_shared<OtlpFileTracer>(settings.traceFile, settings.entry))
        , handler(*metrics, *readiness)
        , readBudget(httpserver::readBudgetLimitsWithin(settings::requestMemory(settings).telemetry))
        , server(thread.context(), handler, httpserver::ServerLimits(), &readBudget)
    {
    }

    foundation::Address address;
    foundation::EventLoopThread thread;
    std::shared_ptr<MetricsRegistry> metrics;
    std::shared_ptr<Readiness> readiness;
    std::shared_ptr<OtlpFileTracer> tracer;
    TelemetryHandler handler;
    httpserver::ReadBudget readBudget;
    httpserver::HttpServer server;
};

TelemetryModule::TelemetryModule(const settings::DaemonSettings& settings)
    : impl_(std::make_unique<Impl>(settings))
{
}

TelemetryModule::~TelemetryModule() = default;

void TelemetryModule::registerExports(foundation::ModuleRegistry& registry)
{
    registry.provide(impl_->metrics);
    registry.provide(impl_->readiness);
    registry.provide<ITracer>(impl_->tracer);
}

void TelemetryModule::resolveImports(foundation::ModuleRegistry&) { }

foundation::Result<void> TelemetryModule::start()
{
    auto listening = impl_->server.listen(impl_->address);
    if (listening)
        impl_->thread.start();
    return listening;
}

void TelemetryModule::stop() { impl_->thread.stop(); }

} // namespace turmericsill::telemetry
