#pragma once

#include "control/controlduty.h"
#include "control/ipeercontrol.h"
#include "emulator/emulatedplatform.h"
#include "eventlog/icontrolgroup.h"
#include "eventlog/ieventlog.h"
#include "fleet/iadvice.h"
#include "fleet/ifleetsource.h"
#include "fleet/iinstancecontrol.h"
#include "fleet/imachinecontrol.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace turmericsill::emulator {

/// The platform as one process of an entry sees it. Answers that arrive after the process has ended are dropped;
/// what it sent takes effect all the same.
class EntryPort : public eventlog::IEventLog,
                  public eventlog::ISnapshotStore,
                  public eventlog::IControlGroup,
                  public fleet::IFleetSource,
                  public fleet::IInstanceControl,
                  public fleet::IMachineControl,
                  public fleet::IAdvice,
                  public control::IPeerControl {
public:
    /// The control duty of the entry at an address; null: nobody answers there.
    using Peers = std::function<control::ControlDuty*(const foundation::Address&)>;

    EntryPort(EmulatedPlatform& platform, foundation::IClock& clock, eventlog::GroupMember self, Peers peers);
    ~EntryPort() override;

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
    void loadInstances(InstanceCallback done) override;
    void watchInstances(std::uint64_t from, milliseconds wait, InstanceCallback done) override;
    void reportWave(std::uint64_t wave, bool completed, std::function<void(foundation::Result<void>)> done) override;

    void start(const fleet::InstanceHandle& instance, const fleet::StartOrder& order, StartCallback done) override;
    void stop(
        const fleet::InstanceHandle& instance, const jobs::TaskId& task, std::uint32_t run, StopCallback done) override;
    void renew(const fleet::InstanceHandle& instance, const fleet::RenewRequest& request, RenewCallback done) override;
    void pace(const fleet::InstanceHandle& instance, const jobs::TaskId& task, std::uint32_t run, int percent,
        StopCallback done) override;
    void forget(const foundation::Address& address) override { ++connections_[address]; }

    void list(ListCallback done) override;
    void move(const std::string& machine, const std::string& pool, std::uint64_t token, OrderCallback done) override;
    void beginUpkeep(const std::string& machine, std::uint64_t wave, std::uint64_t token, OrderCallback done) override;

    void ask(
        const std::string& step, const std::vector<std::string>& instances, fleet::IAdvice::Callback done) override;

    void ask(const foundation::Address& peer, control::IPeerControl::Callback done) override;
    void forward(const foundation::Address& peer, std::vector<std::string> records, milliseconds timeout,
        ForwardCallback done) override;

private:
    bool isStoreReachable() const;

    /// Until an answer of the store of this size is here.
    milliseconds transferTime(std::size_t bytes);
    void later(milliseconds delay, std::function<void()> action, bool survivesProcess);
    void answer(milliseconds delay, std::function<void()> action) { later(delay, std::move(action), false); }

    /// Sends an order: lost on the way, carried out late, carried out without an answer, or answered.
    template <typename Carry, typename Fail> void order(const fleet::InstanceHandle& instance, Carry carry, Fail fail);

    EmulatedPlatform& platform_;
    foundation::IClock& clock_;
    eventlog::GroupMember self_;
    Peers peers_;
    foundation::SteadyTime linkFreeAt_ {}; ///< When what was sent before is here.
    std::map<foundation::Address, int> connections_; ///< Answers that belong to dropped connections are lost.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::emulator
