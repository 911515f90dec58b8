#pragma once

#include "control/controllerelection.h"
#include "control/httppeercontrol.h"
#include "control/submissionrouter.h"
#include "entry/declarationwatcher.h"
#include "entry/jobservice.h"
#include "entryd/internal/refusalreporter.h"
#include "eventlog/jobfollower.h"
#include "eventlog/jobsubmitter.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/systemclock.h"
#include "httpclient/pooledhttpclient.h"
#include "httpserver/httpserver.h"
#include "identity/teamkeydirectory.h"
#include "platform/httpadvice.h"
#include "platform/httpeventlog.h"
#include "platform/httpfleetsource.h"
#include "platform/httpinstancecontrol.h"
#include "platform/httpmachinecontrol.h"
#include "platform/jobhttphandler.h"
#include "settings/entrysettings.h"
#include "telemetry/eventmetrics.h"
#include "telemetry/jsoneventsink.h"
#include "telemetry/maintenancemetrics.h"
#include "telemetry/metricsregistry.h"
#include "telemetry/readiness.h"
#include "telemetry/teammetrics.h"
#include "telemetry/telemetryhandler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace turmericsill::entryd {

/// Handles the calls of other entries to this entry's control component; all other requests go to the telemetry
/// handler.
class PeerCallHandler : public httpserver::IHttpHandler {
public:
    PeerCallHandler(control::ControllerElection& control, telemetry::TelemetryHandler& telemetry);

    void handle(const httpserver::HttpExchangePtr& exchange) override;

private:
    void storeRecords(const httpserver::HttpExchangePtr& exchange);

    control::ControllerElection& control_;
    telemetry::TelemetryHandler& telemetry_;
};

/// An entry instance: accepts jobs and, while it is the controller, runs them on the fleet.
/// All components share one thread: an entry has a quarter of a core, where waking another thread costs more than the
/// work that it would do; see docs/design/platform.md.
class EntryProcess {
public:
    EntryProcess(settings::EntrySettings settings, std::string settingsPath);

    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    /// Runs until the process has shut down after SIGTERM or SIGINT. Fails if a server cannot listen.
    foundation::Result<void> run();

private:
    control::ControlSettings controlSettings() const;
    identity::KeyAgeLimits keyAgeLimits() const;
    httpserver::ReadBudgetLimits readBudgetLimits() const;
    httpserver::ServerLimits callerLimits() const;
    void connectComponents();
    foundation::Result<void> listen();
    void watchSignals();
    void onSignal(int signal);
    void reload();
    void beginStop();
    void stopWhenIdle();
    void updateReadiness();
    void flushEvents();
    void reportLoad(foundation::SteadyTime dueAt);

    settings::EntrySettings settings_;
    std::string settingsPath_;
    boost::asio::io_context context_ { 1 };
    foundation::SystemClock clock_;
    foundation::AsioTimerQueue timers_;
    telemetry::JsonEventSink eventSink_;
    telemetry::MetricsRegistry metrics_;
    telemetry::TeamMetrics teamMetrics_;
    telemetry::MaintenanceMetrics maintenanceMetrics_;
    telemetry::EventMetrics events_;
    telemetry::Readiness readiness_;
    prometheus::Gauge& configurationAge_;
    httpclient::PooledHttpClient declarationClient_;
    httpclient::PooledHttpClient storeReadClient_;
    httpclient::PooledHttpClient storeWriteClient_;
    httpclient::PooledHttpClient machineControlClient_;
    platform::HttpEventLog jobLog_;
    platform::HttpFleetSource fleetSource_;
    platform::HttpInstanceControl instanceControl_;
    platform::HttpMachineControl machineControl_;
    platform::HttpAdvice advice_;
    eventlog::JobFollower jobFollower_;
    control::HttpPeerControl peerControl_;
    control::ControllerContext controlContext_;
    control::ControllerElection control_;
    control::SubmissionRouter submissionRouter_;
    eventlog::JobSubmitter jobSubmitter_;
    entry::JobService jobService_;
    entry::DeclarationWatcher declarationWatcher_;
    identity::TeamKeyDirectory teamKeys_;
    platform::JobHttpHandler jobHandler_;
    platform::ReadinessHttpHandler readinessHandler_;
    telemetry::TelemetryHandler telemetryHandler_;
    PeerCallHandler peerHandler_;
    httpserver::ReadBudget readBudget_;
    RefusalReporter refusals_;
    httpserver::HttpServer callerServer_;
    httpserver::HttpServer healthServer_;
    httpserver::HttpServer telemetryServer_;
    boost::asio::signal_set signals_;
    foundation::SteadyTime stopDeadline_ {};
    bool isStopping_ = false;
    bool hasLeftGroup_ = false;
};

} // namespace turmericsill::entryd
