#include "telemetry/telemetrymodule.h"

#include "foundation/dutythread.h"
#include "httpserver/httpserver.h"
#include "telemetry/otlpfiletracer.h"
#include "telemetry/telemetryhandler.h"

namespace turmericsill::telemetry {

class TelemetryModule::Duty {
public:
    explicit Duty(const settings::DaemonSettings& settings)
        : address(settings.telemetryAddress)
        , thread("telemetry")
        , metrics(std::make_shared<Metrics>())
        , readiness(std::make_shared<Readiness>())
        , tracer(std::make_shared<OtlpFileTracer>(settings.traceFile, settings.entry))
        , handler(*metrics, *readiness)
        , server(thread.context(), handler, httpserver::ServerLimits())
    {
    }

    foundation::Address address;
    foundation::DutyThread thread;
    std::shared_ptr<Metrics> metrics;
    std::shared_ptr<Readiness> readiness;
    std::shared_ptr<OtlpFileTracer> tracer;
    TelemetryHandler handler;
    httpserver::HttpServer server;
};

TelemetryModule::TelemetryModule(const settings::DaemonSettings& settings)
    : duty_(std::make_unique<Duty>(settings))
{
}

TelemetryModule::~TelemetryModule() = default;

void TelemetryModule::registerExports(foundation::ModuleRegistry& registry)
{
    registry.provide(duty_->metrics);
    registry.provide(duty_->readiness);
    registry.provide<ITracer>(duty_->tracer);
}

void TelemetryModule::resolveImports(foundation::ModuleRegistry&) { }

foundation::Result<void> TelemetryModule::start()
{
    auto listening = duty_->server.listen(duty_->address);
    if (listening)
        duty_->thread.start();
    return listening;
}

void TelemetryModule::stop() { duty_->thread.stop(); }

} // namespace turmericsill::telemetry
