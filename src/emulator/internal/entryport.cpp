#include "emulator/entryport.h"

#include <algorithm>
#include <random>
#include <utility>

namespace turmericsill::emulator {

using eventlog::AppendReceipt;
using fleet::InstanceHandle;
using foundation::Errc;
using foundation::failure;
using foundation::Result;

namespace {

    constexpr milliseconds orderDelay { 2 }; ///< One way.
    constexpr milliseconds orderTimeout { 400 };
    constexpr milliseconds silentTimeout { 800 }; ///< Of a read or a join without an answer.
    constexpr milliseconds answerAllowance { 1500 }; ///< For a page on its way, as in the adapter.
    constexpr milliseconds longestLateness { 12000 }; ///< Of an order without an answer.
    constexpr milliseconds shortestLateness { 500 };
    constexpr milliseconds directoryInterval { 200 }; ///< Between two looks of a watch.

} // namespace

EntryPort::EntryPort(EmulatedPlatform& platform, foundation::IClock& clock, eventlog::GroupMember self, Peers peers)
    : platform_(platform)
    , clock_(clock)
    , self_(std::move(self))
    , peers_(std::move(peers))
{
}

EntryPort::~EntryPort() { *alive_ = false; }

void EntryPort::later(milliseconds delay, std::function<void()> action, bool survivesProcess)
{
    platform_.network().schedule(clock_.now() + delay, [alive = alive_, action = std::move(action), survivesProcess] {
        if (survivesProcess || *alive)
            action();
    });
}

bool EntryPort::isStoreReachable() const
{
    return !platform_.faults().storeDown && !platform_.faults().entriesCutFromStore.count(self_.entry);
}

void EntryPort::append(eventlog::AppendRequest request, milliseconds timeout, AppendCallback done)
{
    if (!isStoreReachable())
        return answer(orderDelay, [done] { done(failure(Errc::Unavailable, "log.append")); });
    if (platform_.faults().storeSilent)
        return answer(timeout, [done] { done(failure(Errc::Timeout, "log.append")); });
    const bool isLost = platform_.draw(platform_.faults().lostAnswers);
    const auto takesEffectAt = platform_.queueAppend();
    if (!takesEffectAt)
        return answer(orderDelay, [done] { done(failure(Errc::Unavailable, "log.append")); });
    later(
        std::chrono::duration_cast<milliseconds>(*takesEffectAt - clock_.now()),
        [this, &platform = platform_, alive = alive_, request, timeout, done, isLost] {
            auto receipt = platform.log().append(request);
            if (!*alive)
                return;
            if (isLost)
                return answer(timeout, [done] { done(failure(Errc::Timeout, "log.append")); });
            answer(orderDelay, [done, receipt] { done(receipt); });
        },
        true);
}

// Answers share the entry's link, one after the other.
milliseconds EntryPort::transferTime(std::size_t bytes)
{
    const auto rate = platform_.faults().linkBytesPerSecond.find(self_.entry);
    if (rate == platform_.faults().linkBytesPerSecond.end())
        return milliseconds(0);
    constexpr std::size_t msPerSecond = 1000;
    const auto took = milliseconds(static_cast<std::int64_t>(bytes * msPerSecond / rate->second));
    linkFreeAt_ = std::max(linkFreeAt_, clock_.now()) + took;
    return std::chrono::duration_cast<milliseconds>(linkFreeAt_ - clock_.now());
}

void EntryPort::read(const eventlog::ReadRequest& request, ReadCallback done)
{
    if (!isStoreReachable())
        return answer(orderDelay, [done] { done(failure(Errc::Unavailable, "log.read")); });
    if (platform_.faults().storeSilent)
        return answer(silentTimeout, [done] { done(failure(Errc::Timeout, "log.read")); });
    answer(platform_.faults().storeDelay, [this, request, done] {
        auto page = platform_.log().read(request);
        const milliseconds step { 10 };
        if (page && page->payloads.empty() && request.wait > step) {
            eventlog::ReadRequest again = request;
            again.wait -= step;
            return answer(step, [this, again, done] { read(again, done); });
        }
        std::size_t bytes = 0;
        if (page) {
            for (const auto& payload : page->payloads)
                bytes += payload.size();
        }
        const auto took = transferTime(bytes);
        if (took > answerAllowance)
            return answer(answerAllowance, [done] { done(failure(Errc::Timeout, "log.read")); });
        answer(took, [done, page] { done(page); });
    });
}

void EntryPort::save(
    std::vector<eventlog::SnapshotEntry> entries, eventlog::ProducerPosition position, SaveCallback done)
{
    if (!isStoreReachable())
        return answer(orderDelay, [done] { done(failure(Errc::Unavailable, "snapshot.save")); });
    later(
        platform_.faults().storeDelay,
        [this, &platform = platform_, alive = alive_, entries, position, done] {
            auto saved = platform.log().save(entries, position);
            if (*alive)
                answer(orderDelay, [done, saved] { done(saved); });
        },
        true);
}

void EntryPort::load(LoadCallback done)
{
    if (!isStoreReachable())
        return answer(orderDelay, [done] { done(failure(Errc::Unavailable, "snapshot.load")); });
    answer(platform_.faults().storeDelay, [this, done] { done(platform_.log().load()); });
}

void EntryPort::join(std::uint64_t, milliseconds timeToLive, JoinCallback done)
{
    if (!isStoreReachable())
        return answer(orderDelay, [done] { done(failure(Errc::Unavailable, "group.join")); });
    if (platform_.faults().storeSilent)
        return answer(silentTimeout, [done] { done(failure(Errc::Timeout, "group.join")); });
    answer(platform_.faults().storeDelay, [this, timeToLive, done] { done(platform_.log().join(self_, timeToLive)); });
}

void EntryPort::members(MembersCallback done)
{
    if (!isStoreReachable())
        return answer(orderDelay, [done] { done(failure(Errc::Unavailable, "group.members")); });
    answer(platform_.faults().storeDelay, [this, done] { done(platform_.log().members()); });
}

void EntryPort::leave(std::function<void()> done)
{
    platform_.log().leave(self_.entry);
    answer(orderDelay, std::move(done));
}

void EntryPort::loadDeclarations(OperatorCallback done)
{
    answer(orderDelay, [this, done] { done(fleet::OperatorChanges { platform_.configuration(), {}, 0 }); });
}

void EntryPort::watchDeclarations(std::uint64_t, milliseconds, OperatorCallback done)
{
    answer(directoryInterval, [this, done] { done(fleet::OperatorChanges { platform_.configuration(), {}, 0 }); });
}

// Each look returns every entry, and the names that have gone since the process began.
void EntryPort::loadInstances(InstanceCallback done)
{
    if (!isStoreReachable())
        return answer(orderDelay, [done] { done(failure(Errc::Unavailable, "instances.load")); });
    answer(platform_.faults().storeDelay, [this, done] {
        fleet::InstanceChanges changes;
        for (const auto& [name, report] : platform_.entries())
            changes.changes.push_back({ name, report });
        done(changes);
    });
}

void EntryPort::watchInstances(std::uint64_t, milliseconds, InstanceCallback done)
{
    answer(directoryInterval, [done] { done(failure(Errc::RetentionPassed, "instances.watch")); });
}

void EntryPort::reportWave(std::uint64_t, bool, std::function<void(Result<void>)> done)
{
    answer(orderDelay, [done] { done({}); });
}

template <typename Carry, typename Fail> void EntryPort::order(const InstanceHandle& handle, Carry carry, Fail fail)
{
    auto& faults = platform_.faults();
    if (faults.unreachableInstances.count(handle.instance))
        return answer(orderTimeout, [fail] { fail(Errc::Timeout); });
    if (platform_.draw(faults.lateOrders)) {
        // The instance holds the order, so the order ends with the instance's life.
        std::uniform_int_distribution<std::int64_t> lateness(shortestLateness.count(), longestLateness.count());
        const EmulatedInstance* holder = platform_.at(handle.address);
        const std::int64_t born = holder ? holder->report().life.born : 0;
        later(
            milliseconds(lateness(platform_.random())),
            [&platform = platform_, handle, carry, born] {
                EmulatedInstance* instance = platform.at(handle.address);
                if (!instance || instance->report().life != jobs::InstanceLife { handle.instance, born })
                    return;
                platform.rulebook().setCarryingLate(true);
                carry(*instance);
                platform.rulebook().setCarryingLate(false);
            },
            true);
        return answer(orderTimeout, [fail] { fail(Errc::Timeout); });
    }
    const bool isLost = platform_.draw(faults.lostOrderAnswers);
    const int connection = connections_[handle.address];
    later(
        orderDelay,
        [this, &platform = platform_, alive = alive_, handle, carry, fail, isLost, connection] {
            EmulatedInstance* instance = platform.at(handle.address);
            const bool isOther = instance && instance->report().life.instance != handle.instance;
            if (!instance || isOther) {
                const Errc code = isOther ? Errc::WrongInstance : Errc::Unavailable;
                if (*alive)
                    answer(orderDelay, [fail, code] { fail(code); });
                return;
            }
            auto reply = carry(*instance);
            if (!*alive || connection != connections_[handle.address])
                return;
            if (isLost)
                return answer(orderTimeout, [fail] { fail(Errc::Timeout); });
            answer(orderDelay, [reply] { reply(); });
        },
        true);
}

void EntryPort::start(const InstanceHandle& handle, const fleet::StartOrder& startOrder, StartCallback done)
{
    order(
        handle,
        [&platform = platform_, startOrder, token = handle.token, done](EmulatedInstance& instance) {
            const auto result = instance.start(
                startOrder, token, [&platform](const jobs::TaskId& task) { return platform.planOf(task); });
            return std::function<void()>([done, result] { done(result); });
        },
        [done](Errc code) { done(failure(code, "instance.start")); });
}

void EntryPort::stop(const InstanceHandle& handle, const jobs::TaskId& task, std::uint32_t run, StopCallback done)
{
    order(
        handle,
        [task, run, token = handle.token, done](EmulatedInstance& instance) {
            const auto result = instance.stop(task, run, token);
            return std::function<void()>([done, result] { done(result); });
        },
        [done](Errc code) { done(failure(code, "instance.stop")); });
}

// An answer that may wait for an end is given at short intervals instead.
void EntryPort::renew(const InstanceHandle& handle, const fleet::RenewRequest& request, RenewCallback done)
{
    constexpr milliseconds look { 100 };
    const milliseconds wait = request.wait.count() > 0 ? look : milliseconds(0);
    order(
        handle,
        [this, alive = alive_, request, token = handle.token, done, wait, address = handle.address,
            connection = connections_[handle.address]](EmulatedInstance& instance) {
            const auto result = instance.renew(request, token);
            return std::function<void()>([this, alive, done, result, wait, address, connection] {
                const bool isDropped = !*alive || connection != connections_[address];
                if (!isDropped)
                    answer(wait, [this, done, result, address, connection] {
                        if (connection == connections_[address])
                            done(result);
                    });
            });
        },
        [done](Errc code) { done(failure(code, "instance.renew")); });
}

void EntryPort::pace(const InstanceHandle&, const jobs::TaskId&, std::uint32_t, int, StopCallback done)
{
    answer(orderDelay, [done] { done({}); });
}

void EntryPort::list(ListCallback done)
{
    answer(orderDelay, [this, done] {
        std::vector<fleet::MachineReport> machines;
        for (const auto& [name, report] : platform_.entries())
            machines.push_back(
                { report.machine, report.pool, fleet::MachineState::Up, report.dataCentre, name, report.capacity });
        done(std::move(machines));
    });
}

void EntryPort::move(const std::string&, const std::string&, std::uint64_t, OrderCallback done)
{
    answer(orderDelay, [done] { done(fleet::MachineVerdict::Refused); });
}

void EntryPort::beginUpkeep(const std::string&, std::uint64_t, std::uint64_t, OrderCallback done)
{
    const auto verdict
        = platform_.faults().upkeepDoneBefore ? fleet::MachineVerdict::Accepted : fleet::MachineVerdict::Refused;
    answer(orderDelay, [done, verdict] { done(verdict); });
}

// Every second instance is good, and its ticket names it.
void EntryPort::ask(const std::string&, const std::vector<std::string>& instances, fleet::IAdvice::Callback done)
{
    fleet::AdviceAnswer advice;
    advice.validity = milliseconds(2000);
    for (std::size_t i = 0; i < instances.size(); i += 2)
        advice.tickets[instances[i]] = "ticket-of-" + instances[i];
    answer(orderDelay, [done, advice] { done(advice); });
}

void EntryPort::ask(const foundation::Address& peer, control::IPeerControl::Callback done)
{
    answer(orderDelay, [this, peer, done] {
        const control::ControlDuty* control = peers_(peer);
        if (!control)
            return done(failure(Errc::Timeout, "control.ask"));
        done(control->state());
    });
}

void EntryPort::forward(
    const foundation::Address& peer, std::vector<std::string> records, milliseconds timeout, ForwardCallback done)
{
    auto isOpen = std::make_shared<bool>(true);
    const auto finish = [isOpen, done](const Result<void>& result) {
        if (std::exchange(*isOpen, false))
            done(result);
    };
    answer(timeout, [finish] { finish(failure(Errc::Timeout, "control.forward")); });
    answer(orderDelay, [this, alive = alive_, peer, records, finish] {
        control::ControlDuty* control = peers_(peer);
        if (!control)
            return;
        control->store(records, [this, alive, finish](const Result<void>& stored) {
            if (*alive)
                answer(orderDelay, [finish, stored] { finish(stored); });
        });
    });
}

} // namespace turmericsill::emulator
