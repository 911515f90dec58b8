#pragma once

#include "control/controllerelection.h"
#include "control/ipeercontrol.h"
#include "emulator/emulatedplatform.h"
#include "eventlog/icontrolgroup.h"
#include "eventlog/ieventlog.h"
#include "fleet/iadviceservice.h"
#include "fleet/ifleetsource.h"
#include "fleet/iinstancecontrol.h"
#include "fleet/imachinecontrol.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace turmericsill::emulator {

/// Access of one entry process to the emulated platform and to the other entries. Requests that the process sent take
/// effect even when it ends meanwhile; their answers are dropped.
class EmulatedPlatformClient : public eventlog::IEventLog,
                               public eventlog::ISnapshotStore,
                               public eventlog::IControlGroup,
                               public fleet::IFleetSource,
                               public fleet::IInstanceControl,
                               public fleet::IMachineControl,
                               public fleet::IAdviceService,
                               public control::IPeerControl {
public:
    /// Looks up the entry that listens at an address; null when no entry answers there.
    using PeerLookup = std::function<control::ControllerElection*(const foundation::Address&)>;

    EmulatedPlatformClient(
        EmulatedPlatform& platform, foundation::IClock& clock, eventlog::GroupMember self, PeerLookup peerLookup);
    ~EmulatedPlatformClient() override;

    jobs::RecordLimits recordLimits() const override { return platform_.log().limits(); }
    jobs::RecordLimits entryLimits() const override { return platform_.log().limits(); }
    void append(eventlog::AppendRequest request, milliseconds timeout, AppendCallback done) override;
    void read(const eventlog::ReadRequest& request, ReadCallback done) override;
    void save(
        std::vector<eventlog::SnapshotEntry> entries, eventlog::ProducerPosition position, SaveCallback done) override;
    void load(LoadCallback done) override;
    void join(std::uint64_t generation, milliseconds timeToLive, JoinCallback done) override;
    void members(MembersCallback done) override;
    void leave(std::function<void()> done) override;

    void loadDeclarations(OperatorCallback done) override;
    void watchDeclarations(std::uint64_t from, milliseconds wait, OperatorCallback done) override;
    bool isReceivingDeclarations() const override { return false; }
    void loadInstances(InstanceCallback done) override;
    void watchInstances(std::uint64_t from, milliseconds wait, InstanceCallback done) override;
    void reportWave(std::uint64_t wave, bool completed, std::function<void(foundation::Result<void>)> done) override;

    void start(const fleet::InstanceHandle& instance, const fleet::StartOrder& order, StartCallback done) override;
    void stop(
        const fleet::InstanceHandle& instance, const jobs::TaskId& task, std::uint32_t run, StopCallback done) override;
    void renew(const fleet::InstanceHandle& instance, const fleet::RenewRequest& request, RenewCallback done) override;
    void throttle(const fleet::InstanceHandle& instance, const jobs::TaskId& task, std::uint32_t run, int percent,
        StopCallback done) override;
    void dropConnections(const foundation::Address& address) override { ++connectionGenerations_[address]; }

    void list(ListCallback done) override;
    void move(const std::string& machine, const std::string& pool, fleet::MachineOrderAuthority authority,
        OrderCallback done) override;
    void startMaintenance(const std::string& machine, std::uint64_t wave, fleet::MachineOrderAuthority authority,
        OrderCallback done) override;

    void ask(const std::string& step, const std::vector<std::string>& instances,
        fleet::IAdviceService::Callback done) override;

    void queryState(const foundation::Address& peer, control::IPeerControl::StateCallback done) override;
    void forward(const foundation::Address& peer, std::vector<std::string> records, milliseconds timeout,
        ForwardCallback done) override;

private:
    bool isStoreReachable() const;
    void answerDeclarations(std::uint64_t from, milliseconds wait, const OperatorCallback& done);
    void failDeclarations(milliseconds wait, const OperatorCallback& done);

    /// Returns the lateness of a call that is carried out late without an answer; nothing for any other call.
    std::optional<milliseconds> drawLateness(double ratio, milliseconds maximum);

    /// Queues an answer of the store on the entry's link and returns the time until it has arrived completely.
    milliseconds queueTransfer(std::size_t bytes);

    /// Runs an action after a delay, but only if the process still runs then or `canOutliveProcess` is set.
    void scheduleAfter(milliseconds delay, std::function<void()> action, bool canOutliveProcess);

    /// Delivers an answer after a delay, unless the process has ended by then.
    void answer(milliseconds delay, std::function<void()> action) { scheduleAfter(delay, std::move(action), false); }

    /// Sends an order to an instance. Depending on the injected faults it is lost, executed late, executed without an
    /// answer, or executed and answered. `execute` runs on the instance and returns the delivery of its answer;
    /// `reject` takes the error code of an order without one.
    template <typename Execute, typename Reject>
    void sendOrder(const fleet::InstanceHandle& instance, bool isForOneIncarnation, Execute execute, Reject reject);

    EmulatedPlatform& platform_;
    foundation::IClock& clock_;
    eventlog::GroupMember self_;
    PeerLookup peerLookup_;
    foundation::SteadyTime linkFreeAt_ {}; ///< Time at which everything queued on the link has arrived.
    /// Number of connections that were dropped, by address; answers of an earlier generation are lost.
    std::map<foundation::Address, int> connectionGenerations_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::emulator
