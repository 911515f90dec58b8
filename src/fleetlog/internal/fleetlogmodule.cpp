#include "fleetlog/fleetlogmodule.h"

#include "fleetlog/ilogport.h"
#include "fleetlog/internal/remotefleetlog.h"
#include "fleetlog/snapshotwriter.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/dutythread.h"
#include "foundation/feed.h"
#include "foundation/systemclock.h"
#include "platform/httpplatform.h"
#include "telemetry/metrics.h"
#include "telemetry/readiness.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace turmericsill::fleetlog {

class FleetLogModule::Duty : public ILogPort {
public:
    Duty(const settings::DaemonSettings& settings, std::uint64_t incarnation)
        : thread("log")
        , timers(thread.context())
        , client(thread.context(), settings.platformAddress)
        , log(client, timers, clock, settings.logStream, settings.entry, incarnation, settings.appendInterval)
        , snapshots(client, LogFollower::snapshotStream(settings.logStream), settings.entry, settings.snapshotRecords)
        , feed(std::make_shared<foundation::Feed<StateUpdate>>())
    {
        log.follower().onSnapshot([this](std::uint64_t nextOffset) {
            LOG(INFO) << "started from the snapshot at offset " << nextOffset;
            snapshots.onKnown(nextOffset);
        });
        log.follower().onUpdate([this](const StateUpdate& update) { onUpdate(update); });
    }

    std::unique_ptr<IFleetLog> connect(boost::asio::io_context& consumer) override
    {
        return std::make_unique<RemoteFleetLog>(consumer, thread.context(), log);
    }

    void onUpdate(const StateUpdate& update)
    {
        if (update.logReachable != wasReachable)
            LOG(INFO) << (update.logReachable ? "the log is reachable" : "the log is not reachable");
        wasReachable = update.logReachable;
        if (!update.haltReason.empty())
            readiness->setReason("log", update.haltReason);
        else if (update.caughtUp)
            readiness->clearReason("log");
        offsetGauge->Set(static_cast<double>(update.state->nextOffset));
        versionGauge->Set(static_cast<double>(update.state->configVersion));
        reachableGauge->Set(update.logReachable ? 1 : 0);
        snapshotGauge->Set(static_cast<double>(snapshots.written()));
        feed->publish(update);
        snapshots.onUpdate(update, log.follower().fold());
    }

    foundation::SystemClock clock;
    foundation::DutyThread thread;
    foundation::AsioTimerQueue timers;
    platform::HttpLogClient client;
    FleetLog log;
    SnapshotWriter snapshots;
    std::shared_ptr<foundation::Feed<StateUpdate>> feed;
    std::shared_ptr<telemetry::Readiness> readiness;
    prometheus::Gauge* snapshotGauge = nullptr;
    prometheus::Gauge* offsetGauge = nullptr;
    prometheus::Gauge* versionGauge = nullptr;
    prometheus::Gauge* reachableGauge = nullptr;
    bool wasReachable = false;
};

FleetLogModule::FleetLogModule(const settings::DaemonSettings& settings, std::uint64_t incarnation)
    : duty_(std::make_shared<Duty>(settings, incarnation))
{
}

FleetLogModule::~FleetLogModule() = default;

void FleetLogModule::registerExports(foundation::ModuleRegistry& registry)
{
    registry.provide<ILogPort>(duty_);
    registry.provide(duty_->feed);
}

void FleetLogModule::resolveImports(foundation::ModuleRegistry& registry)
{
    auto metrics = registry.resolve<telemetry::Metrics>();
    duty_->readiness = registry.resolve<telemetry::Readiness>();
    duty_->readiness->setReason("log", "the log has not been read to its tail");
    duty_->snapshotGauge = &metrics->gauge("snapshots_written_total", "Snapshots that this entry has written");
    duty_->offsetGauge = &metrics->gauge("log_next_offset", "First offset of the log that is not folded yet");
    duty_->versionGauge = &metrics->gauge("config_version", "Configuration version in force on this entry");
    duty_->reachableGauge = &metrics->gauge("log_reachable", "1 while the platform's log answers");
}

foundation::Result<void> FleetLogModule::start()
{
    boost::asio::post(duty_->thread.context(), [duty = duty_.get()] { duty->log.follower().start(); });
    duty_->thread.start();
    return {};
}

void FleetLogModule::stop() { duty_->thread.stop(); }

} // namespace turmericsill::fleetlog
