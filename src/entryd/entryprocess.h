#pragma once

#include "control/controlduty.h"
#include "control/httppeercontrol.h"
#include "control/submissionrouter.h"
#include "entry/declarationwatcher.h"
#include "entry/jobservice.h"
#include "eventlog/jobfollower.h"
#include "eventlog/jobsubmitter.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/systemclock.h"
#include "httpclient/httppeer.h"
#include "httpserver/httpserver.h"
#include "platform/httpadvice.h"
#include "platform/httpeventlog.h"
#include "platform/httpfleetsource.h"
#include "platform/httpinstancecontrol.h"
#include "platform/httpmachinecontrol.h"
#include "platform/jobfront.h"
#include "settings/entrysettings.h"
#include "telemetry/eventmetrics.h"
#include "telemetry/jsoneventlog.h"
#include "telemetry/metrics.h"
#include "telemetry/readiness.h"
#include "telemetry/telemetryhandler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace turmericsill::entryd {

/// Answers other entries' calls to this one's control, and everything else as telemetry.
class PeerCallHandler : public httpserver::IHttpHandler {
public:
    PeerCallHandler(control::ControlDuty& control, telemetry::TelemetryHandler& telemetry);

    void handle(const httpserver::HttpExchangePtr& exchange) override;

private:
    void store(const httpserver::HttpExchangePtr& exchange);

    control::ControlDuty& control_;
    telemetry::TelemetryHandler& telemetry_;
};

/// One entry instance that accepts jobs and, while it is dealt control, runs them.
/// All duties share one thread: an entry has a quarter of a core, where each wake-up of a further thread costs more
/// than the work it carries; see docs/design/platform.md.
class EntryProcess {
public:
    EntryProcess(settings::EntrySettings settings, std::string settingsPath);

    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    /// Runs until the process is told to stop.
    foundation::Result<void> run();

private:
    control::ControlSettings controlSettings() const;
    void connectDuties();
    foundation::Result<void> listen();
    void watchSignals();
    void onSignal(int signal);
    void reload();
    void beginStop();
    void finishStop();
    void watchReadiness();

    settings::EntrySettings settings_;
    std::string settingsPath_;
    boost::asio::io_context context_ { 1 };
    foundation::SystemClock clock_;
    foundation::AsioTimerQueue timers_;
    telemetry::JsonEventLog eventLog_;
    telemetry::Metrics metrics_;
    telemetry::EventMetrics events_;
    telemetry::Readiness readiness_;
    httpclient::HttpPeer storeReads_;
    httpclient::HttpPeer storeWrites_;
    httpclient::HttpPeer machineControl_;
    platform::HttpEventLog log_;
    platform::HttpFleetSource fleetSource_;
    platform::HttpInstanceControl instances_;
    platform::HttpMachineControl machines_;
    platform::HttpAdvice advice_;
    eventlog::JobFollower follower_;
    control::HttpPeerControl peers_;
    control::ControllerContext controlContext_;
    control::ControlDuty control_;
    control::SubmissionRouter router_;
    eventlog::JobSubmitter submitter_;
    entry::JobService service_;
    entry::DeclarationWatcher declarations_;
    platform::JobFront jobFront_;
    platform::ReadyFront readyFront_;
    telemetry::TelemetryHandler telemetryHandler_;
    PeerCallHandler peerHandler_;
    httpserver::HttpServer callerServer_;
    httpserver::HttpServer readyServer_;
    httpserver::HttpServer telemetryServer_;
    boost::asio::signal_set signals_;
    foundation::SteadyTime stopDeadline_ {};
    bool isStopping_ = false;
    bool hasLeft_ = false;
};

} // namespace turmericsill::entryd
