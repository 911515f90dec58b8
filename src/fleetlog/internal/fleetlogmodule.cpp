#include "fleetlog/fleetlogmodule.h"

#include "fleetlog/ifleetlogfactory.h"
#include "fleetlog/internal/crossthreadfleetlog.h"
#include "fleetlog/snapshotwriter.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/eventloopthread.h"
#include "foundation/feed.h"
#include "foundation/systemclock.h"
#include "httpclient/types/responselimits.h"
#include "platform/httpplatform.h"
#include "telemetry/metricsregistry.h"
#include "telemetry/readiness.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace turmericsill::fleetlog {

class FleetLogModule::Impl : public IFleetLogFactory {
public:
    Impl(const settings::DaemonSettings& settings, std::uint64_t incarnation)
        : thread("log")
        , timers(thread.context())
        , client(thread.context(), settings.platformAddress)
        , log(client, timers, clock, settings.logStream, settings.entry, incarnation, settings.appendInterval)
        , snapshots(client, LogFollower::snapshotStream(settings.logStream), settings.entry, settings.snapshotRecords)
        , feed(std::make_shared<foundation::Feed<StateUpdate>>())
    {
        httpclient::setResponseLimits(
            thread.context(), httpclient::responseLimitsWithin(settings::responseMemory(settings).log));
        log.follower().onSnapshot([this](std::uint64_t nextOffset) {
            LOG(INFO) << "restored the fleet state from the snapshot at offset " << nextOffset;
            snapshots.onSnapshotStored(nextOffset);
        });
        log.follower().onUpdate([this](const StateUpdate& update) { onUpdate(update); });
    }

    std::unique_ptr<IFleetLog> createClient(boost::asio::io_context& consumer) override
    {
        return std::make_unique<CrossThreadFleetLog>(consumer, thread.context(), log);
    }

    void onUpdate(const StateUpdate& update)
    {
        if (update.logReachable != wasLogReachable)
            LOG(INFO) << (update.logReachable ? "the platform's log is reachable"
                                              : "the platform's log is unreachable");
        wasLogReachable = update.logReachable;
        if (!update.haltReason.empty())
            readiness->setReason("log", update.haltReason);
        else if (update.caughtUp)
            readiness->clearReason("log");
        nextOffsetGauge->Set(static_cast<double>(update.state->nextOffset));
        configVersionGauge->Set(static_cast<double>(update.state->configVersion));
        reachableGauge->Set(update.logReachable ? 1 : 0);
        snapshotsWrittenGauge->Set(static_cast<double>(snapshots.writtenCount()));
        feed->publish(update);
        snapshots.onUpdate(update, log.follower().stateMachine());
    }

    foundation::SystemClock clock;
    foundation::EventLoopThread thread;
    foundation::AsioTimerQueue timers;
    platform::HttpLogClient client;
    FleetLog log;
    SnapshotWriter snapshots;
    std::shared_ptr<foundation::Feed<StateUpdate>> feed;
    std::shared_ptr<telemetry::Readiness> readiness;
    prometheus::Gauge* snapshotsWrittenGauge = nullptr;
    prometheus::Gauge* nextOffsetGauge = nullptr;
    prometheus::Gauge* configVersionGauge = nullptr;
    prometheus::Gauge* reachableGauge = nullptr;
    bool wasLogReachable = false;
};

FleetLogModule::FleetLogModule(const settings::DaemonSettings& settings, std::uint64_t incarnation)
    : impl_(std::make_shared<Impl>(settings, incarnation))
{
}

FleetLogModule::~FleetLogModule() = default;

void FleetLogModule::registerExports(foundation::ModuleRegistry& registry)
{
    registry.provide<IFleetLogFactory>(impl_);
    registry.provide(impl_->feed);
}

void FleetLogModule::resolveImports(foundation::ModuleRegistry& registry)
{
    auto metrics = registry.resolve<telemetry::MetricsRegistry>();
    impl_->readiness = registry.resolve<telemetry::Readiness>();
    impl_->readiness->setReason("log", "the fleet log has not been read to its tail yet");
    impl_->snapshotsWrittenGauge = &metrics->gauge("snapshots_written_total", "Snapshots that this entry has written");
    impl_->nextOffsetGauge = &metrics->gauge("log_next_offset", "First offset of the log that is not folded yet");
    impl_->configVersionGauge = &metrics->gauge("config_version", "Configuration version in force on this entry");
    impl_->reachableGauge = &metrics->gauge("log_reachable", "1 while the platform's log answers");
}

foundation::Result<void> FleetLogModule::start()
{
    boost::asio::post(impl_->thread.context(), [impl = impl_.get()] { impl->log.follower().start(); });
    impl_->thread.start();
    return {};
}

void FleetLogModule::stop() { impl_->thread.stop(); }

} // namespace turmericsill::fleetlog
