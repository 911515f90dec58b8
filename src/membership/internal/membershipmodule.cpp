#include "membership/membershipmodule.h"

#include "fleetlog/ilogport.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/dutythread.h"
#include "foundation/feed.h"
#include "foundation/systemclock.h"
#include "foundation/traffic.h"
#include "membership/membership.h"
#include "membership/udppeertransport.h"
#include "platform/httpplatform.h"
#include "telemetry/metrics.h"
#include "telemetry/readiness.h"

#include <boost/asio/post.hpp>
#include <future>
#include <glog/logging.h>

namespace turmericsill::membership {

class MembershipModule::Duty {
public:
    Duty(const settings::DaemonSettings& daemonSettings, std::uint64_t startIncarnation)
        : settings(daemonSettings)
        , incarnation(startIncarnation)
        , thread("membership")
        , timers(thread.context())
        , transport(thread.context(), [this](std::string_view datagram) { membership->onDatagram(datagram); })
        , instances(thread.context(), daemonSettings.platformAddress)
        , servingFeed(std::make_shared<foundation::Feed<ServingView>>())
        , peersFeed(std::make_shared<foundation::Feed<PeersView>>())
    {
    }

    void build(foundation::ModuleRegistry& registry)
    {
        auto metrics = registry.resolve<telemetry::Metrics>();
        readiness = registry.resolve<telemetry::Readiness>();
        divergences = &metrics->counter("state_divergences_total", "Heartbeats whose state digest differs from ours");
        log = registry.resolve<fleetlog::ILogPort>()->connect(thread.context());
        Membership::Callbacks callbacks;
        callbacks.onServingView = [this](const ServingView& view) { servingFeed->publish(view); };
        sentGauge = &metrics->gauge("control_sent_bytes_total", "Payload bytes sent for control");
        receivedGauge = &metrics->gauge("control_received_bytes_total", "Payload bytes received for control");
        callbacks.onPeersView = [this](const PeersView& view) {
            peersFeed->publish(view);
            sentGauge->Set(static_cast<double>(foundation::Traffic::ofProcess().sent));
            receivedGauge->Set(static_cast<double>(foundation::Traffic::ofProcess().received));
        };
        callbacks.onDivergence
            = [this](const std::string& entry, bool isOddOneOut) { onDivergence(entry, isOddOneOut); };
        membership = std::make_unique<Membership>(
            settings, incarnation, transport, instances, *log, timers, clock, std::move(callbacks));
    }

    void onDivergence(const std::string& entry, bool isOddOneOut)
    {
        divergences->Increment();
        if (isOddOneOut)
            readiness->setReason("divergence", "the state differs from that of most entries, " + entry + " among them");
    }

    settings::DaemonSettings settings;
    std::uint64_t incarnation;
    foundation::SystemClock clock;
    foundation::DutyThread thread;
    foundation::AsioTimerQueue timers;
    UdpPeerTransport transport;
    platform::HttpInstancePlatform instances;
    std::shared_ptr<foundation::Feed<ServingView>> servingFeed;
    std::shared_ptr<foundation::Feed<PeersView>> peersFeed;
    std::shared_ptr<telemetry::Readiness> readiness;
    std::unique_ptr<fleetlog::IFleetLog> log;
    std::unique_ptr<Membership> membership;
    prometheus::Counter* divergences = nullptr;
    prometheus::Gauge* sentGauge = nullptr;
    prometheus::Gauge* receivedGauge = nullptr;
};

MembershipModule::MembershipModule(const settings::DaemonSettings& settings, std::uint64_t incarnation)
    : duty_(std::make_unique<Duty>(settings, incarnation))
{
}

MembershipModule::~MembershipModule() = default;

void MembershipModule::registerExports(foundation::ModuleRegistry& registry)
{
    registry.provide(duty_->servingFeed);
    registry.provide(duty_->peersFeed);
}

void MembershipModule::resolveImports(foundation::ModuleRegistry& registry)
{
    duty_->build(registry);
    registry.resolve<foundation::Feed<fleetlog::StateUpdate>>()->subscribe(duty_->thread.context(),
        [duty = duty_.get()](const fleetlog::StateUpdate& update) { duty->membership->onState(update); });
    registry.resolve<foundation::Feed<CallerReport>>()->subscribe(duty_->thread.context(),
        [duty = duty_.get()](const CallerReport& report) { duty->membership->onCallerReport(report); });
}

foundation::Result<void> MembershipModule::start()
{
    auto bound = duty_->transport.bind(duty_->settings.peerAddress);
    if (!bound)
        return bound;
    boost::asio::post(duty_->thread.context(), [duty = duty_.get()] { duty->membership->start(); });
    duty_->thread.start();
    return {};
}

void MembershipModule::leave(foundation::milliseconds limit)
{
    auto left = std::make_shared<std::promise<void>>();
    auto waiting = left->get_future();
    boost::asio::post(duty_->thread.context(),
        [duty = duty_.get(), left] { duty->membership->leave([left] { left->set_value(); }); });
    if (waiting.wait_for(limit) == std::future_status::timeout)
        LOG(WARNING) << "the leave could not be confirmed in time";
}

void MembershipModule::stop() { duty_->thread.stop(); }

} // namespace turmericsill::membership
