#include "membership/membershipmodule.h"

#include "fleetlog/ifleetlogfactory.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/controltraffic.h"
#include "foundation/eventloopthread.h"
#include "foundation/feed.h"
#include "foundation/systemclock.h"
#include "httpclient/types/responselimits.h"
#include "membership/membership.h"
#include "membership/udppeertransport.h"
#include "platform/httpplatform.h"
#include "telemetry/metricsregistry.h"
#include "telemetry/readiness.h"

#include <boost/asio/post.hpp>
#include <future>
#include <glog/logging.h>

namespace turmericsill::membership {

class MembershipModule::Impl {
public:
    Impl(const settings::DaemonSettings& daemonSettings, std::uint64_t startIncarnation)
        : settings(daemonSettings)
        , incarnation(startIncarnation)
        , thread("membership")
        , timers(thread.context())
        , transport(thread.context(), [this](std::string_view datagram) { membership->onDatagram(datagram); })
        , instances(thread.context(), daemonSettings.platformAddress)
        , servingLimitsFeed(std::make_shared<foundation::Feed<ServingLimits>>())
        , membershipViewFeed(std::make_shared<foundation::Feed<MembershipView>>())
    {
        httpclient::setResponseLimits(
            thread.context(), httpclient::responseLimitsWithin(settings::responseMemory(settings).other));
    }

    void build(foundation::ModuleRegistry& registry)
    {
        auto metrics = registry.resolve<telemetry::MetricsRegistry>();
        readiness = registry.resolve<telemetry::Readiness>();
        divergences = &metrics->counter("state_divergences_total", "Heartbeats whose state digest differs from ours");
        log = registry.resolve<fleetlog::IFleetLogFactory>()->createClient(thread.context());
        Membership::Callbacks callbacks;
        callbacks.onServingLimits = [this](const ServingLimits& limits) { servingLimitsFeed->publish(limits); };
        sentGauge = &metrics->gauge("control_sent_bytes_total", "Payload bytes sent for control");
        receivedGauge = &metrics->gauge("control_received_bytes_total", "Payload bytes received for control");
        callbacks.onMembershipView = [this](const MembershipView& view) {
            membershipViewFeed->publish(view);
            sentGauge->Set(static_cast<double>(foundation::ControlTraffic::processTotals().sent));
            receivedGauge->Set(static_cast<double>(foundation::ControlTraffic::processTotals().received));
        };
        callbacks.onDivergence
            = [this](const std::string& entry, bool isInMinority) { onDivergence(entry, isInMinority); };
        membership = std::make_unique<Membership>(
            settings, incarnation, transport, instances, *log, timers, clock, std::move(callbacks));
    }

    void onDivergence(const std::string& entry, bool isInMinority)
    {
        divergences->Increment();
        if (isInMinority)
            readiness->setReason(
                "divergence", "the state digest differs from that of most other entries, " + entry + " among them");
    }

    settings::DaemonSettings settings;
    std::uint64_t incarnation;
    foundation::SystemClock clock;
    foundation::EventLoopThread thread;
    foundation::AsioTimerQueue timers;
    UdpPeerTransport transport;
    platform::HttpInstanceManager instances;
    std::shared_ptr<foundation::Feed<ServingLimits>> servingLimitsFeed;
    std::shared_ptr<foundation::Feed<MembershipView>> membershipViewFeed;
    std::shared_ptr<telemetry::Readiness> readiness;
    std::unique_ptr<fleetlog::IFleetLog> log;
    std::unique_ptr<Membership> membership;
    prometheus::Counter* divergences = nullptr;
    prometheus::Gauge* sentGauge = nullptr;
    prometheus::Gauge* receivedGauge = nullptr;
};

MembershipModule::MembershipModule(const settings::DaemonSettings& settings, std::uint64_t incarnation)
    : impl_(std::make_unique<Impl>(settings, incarnation))
{
}

MembershipModule::~MembershipModule() = default;

void MembershipModule::registerExports(foundation::ModuleRegistry& registry)
{
    registry.provide(impl_->servingLimitsFeed);
    registry.provide(impl_->membershipViewFeed);
}

void MembershipModule::resolveImports(foundation::ModuleRegistry& registry)
{
    impl_->build(registry);
    registry.resolve<foundation::Feed<fleetlog::StateUpdate>>()->subscribe(impl_->thread.context(),
        [impl = impl_.get()](const fleetlog::StateUpdate& update) { impl->membership->onState(update); });
    registry.resolve<foundation::Feed<CallerReport>>()->subscribe(impl_->thread.context(),
        [impl = impl_.get()](const CallerReport& report) { impl->membership->onCallerReport(report); });
}

foundation::Result<void> MembershipModule::start()
{
    auto bound = impl_->transport.bind(impl_->settings.peerAddress);
    if (!bound)
        return bound;
    boost::asio::post(impl_->thread.context(), [impl = impl_.get()] { impl->membership->start(); });
    impl_->thread.start();
    return {};
}

void MembershipModule::leave(foundation::milliseconds limit)
{
    auto confirmed = std::make_shared<std::promise<void>>();
    auto confirmation = confirmed->get_future();
    boost::asio::post(impl_->thread.context(),
        [impl = impl_.get(), confirmed] { impl->membership->leave([confirmed] { confirmed->set_value(); }); });
    if (confirmation.wait_for(limit) == std::future_status::timeout)
        LOG(WARNING) << "the planned leave was not confirmed within the time limit";
}

void MembershipModule::stop() { impl_->thread.stop(); }

} // namespace turmericsill::membership
