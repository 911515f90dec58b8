#include "emulator/emulatedplatformclient.h"

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

    constexpr milliseconds networkDelay { 2 }; ///< One-way delay of orders, answers and calls between entries.
    constexpr milliseconds orderTimeout { 400 }; ///< Time until an order without an answer fails.
    constexpr milliseconds unansweredCallTimeout { 800 }; ///< Time until a read or a join without an answer fails.
    constexpr milliseconds pageTransferTimeout { 1500 }; ///< Time limit of a page's transfer, as in the HTTP event log.
    constexpr milliseconds maximumOrderLateness { 12000 }; ///< Longest delay of an order that is executed late.
    constexpr milliseconds minimumOrderLateness { 500 }; ///< Shortest delay of an order that is executed late.
    constexpr milliseconds minimumLateness { 1000 }; ///< Shortest delay of an append or machine order done late.
    constexpr milliseconds latestAppend { 6000 }; ///< Longest delay of an append that is done late.
    constexpr milliseconds latestMachineOrder { 4000 }; ///< Longest delay of a machine order that is carried out late.
    constexpr milliseconds machineOrderTimeout { 800 }; ///< Time until a machine order without an answer fails.
    constexpr milliseconds watchPollInterval { 200 }; ///< Interval at which watches of the instances are answered.
    constexpr milliseconds declarationPollInterval { 50 }; ///< Delay of a declaration until a watch is answered.
    constexpr milliseconds declarationTimeoutMargin { 1500 }; ///< As in the HTTP client of keyed topics.

} // namespace

EmulatedPlatformClient::EmulatedPlatformClient(
    EmulatedPlatform& platform, foundation::IClock& clock, eventlog::GroupMember self, PeerLookup peerLookup)
    : platform_(platform)
    , clock_(clock)
    , self_(std::move(self))
    , peerLookup_(std::move(peerLookup))
{
}

EmulatedPlatformClient::~EmulatedPlatformClient() { *isAlive_ = false; }

void EmulatedPlatformClient::scheduleAfter(milliseconds delay, std::function<void()> action, bool canOutliveProcess)
{
    platform_.network().schedule(
        clock_.now() + delay, [isAlive = isAlive_, action = std::move(action), canOutliveProcess] {
            if (canOutliveProcess || *isAlive)
                action();
        });
}

bool EmulatedPlatformClient::isStoreReachable() const
{
    const InjectedFaults& faults = platform_.faults();
    return !faults.isStoreDown && !faults.entriesPartitionedFromStore.count(self_.entry)
        && !faults.isolatedSide.count(self_.entry);
}

void EmulatedPlatformClient::append(eventlog::AppendRequest request, milliseconds timeout, AppendCallback done)
{
    if (!isStoreReachable())
        return answer(networkDelay, [done] { done(failure(Errc::Unavailable, "log.append")); });
    if (platform_.faults().isStoreUnresponsive)
        return answer(timeout, [done] { done(failure(Errc::Timeout, "log.append")); });
    const bool isAnswerLost = platform_.drawWithProbability(platform_.faults().lostAppendAnswerRatio);
    const auto takesEffectAt = platform_.queueAppend();
    if (!takesEffectAt)
        return answer(networkDelay, [done] { done(failure(Errc::Unavailable, "log.append")); });
    if (const auto lateness = drawLateness(platform_.faults().lateAppendRatio, latestAppend)) {
        scheduleAfter(
            *lateness, [&platform = platform_, request] { platform.log().append(request); }, true);
        return answer(timeout, [done] { done(failure(Errc::Timeout, "log.append")); });
    }
    scheduleAfter(
        std::chrono::duration_cast<milliseconds>(*takesEffectAt - clock_.now()),
        [this, &platform = platform_, isAlive = isAlive_, request, timeout, done, isAnswerLost] {
            auto receipt = platform.log().append(request);
            if (!*isAlive)
                return;
            if (isAnswerLost)
                return answer(timeout, [done] { done(failure(Errc::Timeout, "log.append")); });
            answer(networkDelay, [done, receipt] { done(receipt); });
        },
        true);
}

std::optional<milliseconds> EmulatedPlatformClient::drawLateness(double ratio, milliseconds maximum)
{
    auto& random = platform_.laterFaultsRandom();
    if (ratio == 0 || std::uniform_real_distribution<double>(0, 1)(random) >= ratio)
        return std::nullopt;
    return milliseconds(std::uniform_int_distribution<std::int64_t>(minimumLateness.count(), maximum.count())(random));
}

// Answers share the entry's link and are transferred one after the other.
milliseconds EmulatedPlatformClient::queueTransfer(std::size_t bytes)
{
    const auto rate = platform_.faults().linkBytesPerSecond.find(self_.entry);
    if (rate == platform_.faults().linkBytesPerSecond.end())
        return milliseconds(0);
    constexpr std::size_t msPerSecond = 1000;
    const auto took = milliseconds(static_cast<std::int64_t>(bytes * msPerSecond / rate->second));
    linkFreeAt_ = std::max(linkFreeAt_, clock_.now()) + took;
    return std::chrono::duration_cast<milliseconds>(linkFreeAt_ - clock_.now());
}

void EmulatedPlatformClient::read(const eventlog::ReadRequest& request, ReadCallback done)
{
    if (!isStoreReachable())
        return answer(networkDelay, [done] { done(failure(Errc::Unavailable, "log.read")); });
    if (platform_.faults().isStoreUnresponsive)
        return answer(unansweredCallTimeout, [done] { done(failure(Errc::Timeout, "log.read")); });
    answer(platform_.faults().storeLatency, [this, request, done] {
        auto page = platform_.log().read(request);
        const milliseconds pollInterval { 10 };
        if (page && page->payloads.empty() && request.wait > pollInterval) {
            eventlog::ReadRequest retry = request;
            retry.wait -= pollInterval;
            return answer(pollInterval, [this, retry, done] { read(retry, done); });
        }
        std::size_t bytes = 0;
        if (page) {
            for (const auto& payload : page->payloads)
                bytes += payload.size();
        }
        const auto transferTime = queueTransfer(bytes);
        if (transferTime > pageTransferTimeout)
            return answer(pageTransferTimeout, [done] { done(failure(Errc::Timeout, "log.read")); });
        answer(transferTime, [done, page] { done(page); });
    });
}

void EmulatedPlatformClient::save(
    std::vector<eventlog::SnapshotEntry> entries, eventlog::ProducerPosition position, SaveCallback done)
{
    if (!isStoreReachable())
        return answer(networkDelay, [done] { done(failure(Errc::Unavailable, "snapshot.save")); });
    scheduleAfter(
        platform_.faults().storeLatency,
        [this, &platform = platform_, isAlive = isAlive_, entries, position, done] {
            auto saved = platform.log().save(entries, position);
            if (*isAlive)
                answer(networkDelay, [done, saved] { done(saved); });
        },
        true);
}

void EmulatedPlatformClient::load(LoadCallback done)
{
    if (!isStoreReachable())
        return answer(networkDelay, [done] { done(failure(Errc::Unavailable, "snapshot.load")); });
    answer(platform_.faults().storeLatency, [this, done] { done(platform_.log().load()); });
}

void EmulatedPlatformClient::join(std::uint64_t, milliseconds timeToLive, JoinCallback done)
{
    if (!isStoreReachable())
        return answer(networkDelay, [done] { done(failure(Errc::Unavailable, "group.join")); });
    if (platform_.faults().isStoreUnresponsive)
        return answer(unansweredCallTimeout, [done] { done(failure(Errc::Timeout, "group.join")); });
    answer(
        platform_.faults().storeLatency, [this, timeToLive, done] { done(platform_.log().join(self_, timeToLive)); });
}

void EmulatedPlatformClient::members(MembersCallback done)
{
    if (!isStoreReachable())
        return answer(networkDelay, [done] { done(failure(Errc::Unavailable, "group.members")); });
    answer(platform_.faults().storeLatency, [this, done] { done(platform_.log().members()); });
}

void EmulatedPlatformClient::leave(std::function<void()> done)
{
    platform_.log().leave(self_.entry);
    answer(networkDelay, std::move(done));
}

void EmulatedPlatformClient::loadDeclarations(OperatorCallback done)
{
    // No reader has read the declarations from offset 0 on, so all of them count as changes.
    watchDeclarations(0, milliseconds(0), std::move(done));
}

void EmulatedPlatformClient::watchDeclarations(std::uint64_t from, milliseconds wait, OperatorCallback done)
{
    if (!isStoreReachable())
        return answer(networkDelay, [done] { done(failure(Errc::Unavailable, "declarations.watch")); });
    const double lostRatio = platform_.faults().lostDeclarationAnswerRatio;
    if (lostRatio > 0 && std::uniform_real_distribution<double>(0, 1)(platform_.laterFaultsRandom()) < lostRatio)
        return failDeclarations(wait, done);
    answer(platform_.faults().storeLatency, [this, from, wait, done] { answerDeclarations(from, wait, done); });
}

// A connection that breaks down while the store holds the answer back shows by its timeout only.
void EmulatedPlatformClient::answerDeclarations(std::uint64_t from, milliseconds wait, const OperatorCallback& done)
{
    if (!isStoreReachable() || platform_.faults().isStoreUnresponsive)
        return failDeclarations(wait, done);
    if (platform_.endOfDeclarations() <= from && wait > milliseconds(0)) {
        const auto pause = std::min(wait, declarationPollInterval);
        return answer(pause, [this, from, wait, pause, done] { answerDeclarations(from, wait - pause, done); });
    }
    fleet::OperatorChanges changes;
    changes.nextOffset = platform_.endOfDeclarations();
    if (changes.nextOffset > from)
        changes.configuration = platform_.configuration();
    answer(networkDelay, [done, changes] { done(changes); });
}

void EmulatedPlatformClient::failDeclarations(milliseconds wait, const OperatorCallback& done)
{
    answer(wait + declarationTimeoutMargin, [done] { done(failure(Errc::Timeout, "declarations.watch")); });
}

// Every load returns the whole list of instances, and watchInstances() makes the caller load again.
void EmulatedPlatformClient::loadInstances(InstanceCallback done)
{
    if (!isStoreReachable() || platform_.faults().isDirectoryDown)
        return answer(networkDelay, [done] { done(failure(Errc::Unavailable, "instances.load")); });
    answer(platform_.faults().storeLatency, [this, done] {
        fleet::InstanceChanges changes;
        changes.isComplete = true;
        for (const auto& [name, report] : platform_.listedInstances())
            changes.changes.push_back({ name, report });
        done(changes);
    });
}

void EmulatedPlatformClient::watchInstances(std::uint64_t, milliseconds, InstanceCallback done)
{
    answer(watchPollInterval, [done] { done(failure(Errc::RetentionPassed, "instances.watch")); });
}

void EmulatedPlatformClient::reportWave(std::uint64_t, bool, std::function<void(Result<void>)> done)
{
    answer(networkDelay, [done] { done({}); });
}

template <typename Execute, typename Reject>
void EmulatedPlatformClient::sendOrder(
    const InstanceHandle& handle, bool isForOneIncarnation, Execute execute, Reject reject)
{
    auto& faults = platform_.faults();
    if (faults.unreachableInstances.count(handle.instance) || faults.areSeparated(self_.entry, handle.instance))
        return answer(orderTimeout, [reject] { reject(Errc::Timeout); });
    if (platform_.drawWithProbability(faults.lateOrderRatio)) {
        // The instance holds a late order, so the order is discarded when that incarnation of the instance ends.
        std::uniform_int_distribution<std::int64_t> lateness(
            minimumOrderLateness.count(), maximumOrderLateness.count());
        const EmulatedInstance* holder = platform_.instanceAt(handle.address);
        const std::int64_t startedAt = holder ? holder->report().incarnation.startedAt : 0;
        scheduleAfter(
            milliseconds(lateness(platform_.random())),
            [&platform = platform_, handle, execute, startedAt] {
                EmulatedInstance* instance = platform.instanceAt(handle.address);
                if (!instance
                    || instance->report().incarnation != jobs::InstanceIncarnation { handle.instance, startedAt })
                    return;
                platform.invariants().setExecutingLateOrder(true);
                execute(*instance);
                platform.invariants().setExecutingLateOrder(false);
            },
            true);
        return answer(orderTimeout, [reject] { reject(Errc::Timeout); });
    }
    const bool isAnswerLost = platform_.drawWithProbability(faults.lostOrderAnswerRatio);
    const int connection = connectionGenerations_[handle.address];
    scheduleAfter(
        networkDelay,
        [this, &platform = platform_, isAlive = isAlive_, handle, isForOneIncarnation, execute, reject, isAnswerLost,
            connection] {
            EmulatedInstance* instance = platform.instanceAt(handle.address);
            const bool isOther = instance && instance->report().incarnation.instance != handle.instance;
            const bool isOtherIncarnation = isForOneIncarnation && handle.startedAt != 0 && instance
                && instance->report().incarnation.startedAt != handle.startedAt;
            if (!instance || isOther || isOtherIncarnation) {
                const Errc code = isOther ? Errc::WrongInstance : Errc::Unavailable;
                if (*isAlive)
                    answer(networkDelay, [reject, code] { reject(code); });
                return;
            }
            auto reply = execute(*instance);
            if (!*isAlive || connection != connectionGenerations_[handle.address])
                return;
            if (isAnswerLost)
                return answer(orderTimeout, [reject] { reject(Errc::Timeout); });
            answer(networkDelay, [reply] { reply(); });
        },
        true);
}

void EmulatedPlatformClient::start(
    const InstanceHandle& handle, const fleet::StartOrder& startOrder, StartCallback done)
{
    sendOrder(
        handle, true,
        [&platform = platform_, startOrder, token = handle.token, done](EmulatedInstance& instance) {
            platform.invariants().onStartOrdered(startOrder);
            const auto result = instance.start(
                startOrder, token, [&platform](const jobs::TaskId& task) { return platform.runPlanFor(task); });
            return std::function<void()>([done, result] { done(result); });
        },
        [done](Errc code) { done(failure(code, "instance.start")); });
}

void EmulatedPlatformClient::stop(
    const InstanceHandle& handle, const jobs::TaskId& task, std::uint32_t run, StopCallback done)
{
    sendOrder(
        handle, false,
        [task, run, token = handle.token, done](EmulatedInstance& instance) {
            const auto result = instance.stop(task, run, token);
            return std::function<void()>([done, result] { done(result); });
        },
        [done](Errc code) { done(failure(code, "instance.stop")); });
}

// A long poll for ended runs is emulated by an answer after a short delay, without waiting for an end.
void EmulatedPlatformClient::renew(const InstanceHandle& handle, const fleet::RenewRequest& request, RenewCallback done)
{
    constexpr milliseconds shortWait { 100 };
    const milliseconds answerDelay = request.wait.count() > 0 ? shortWait : milliseconds(0);
    sendOrder(
        handle, request.isForOneIncarnation(),
        [this, isAlive = isAlive_, request, token = handle.token, done, answerDelay, address = handle.address,
            connection = connectionGenerations_[handle.address]](EmulatedInstance& instance) {
            const auto result = instance.renew(request, token);
            return std::function<void()>([this, isAlive, done, result, answerDelay, address, connection] {
                const bool isDropped = !*isAlive || connection != connectionGenerations_[address];
                if (!isDropped)
                    answer(answerDelay, [this, done, result, address, connection] {
                        if (connection == connectionGenerations_[address])
                            done(result);
                    });
            });
        },
        [done](Errc code) { done(failure(code, "instance.renew")); });
}

void EmulatedPlatformClient::throttle(const InstanceHandle&, const jobs::TaskId&, std::uint32_t, int, StopCallback done)
{
    answer(networkDelay, [done] { done({}); });
}

void EmulatedPlatformClient::list(ListCallback done)
{
    if (platform_.faults().isMachineListDown)
        return answer(networkDelay, [done] { done(failure(Errc::Unavailable, "machines.list")); });
    answer(networkDelay, [this, done] {
        std::vector<fleet::MachineReport> machines;
        for (const auto& [name, report] : platform_.listedInstances()) {
            const bool isTakenDown
                = platform_.faults().isMaintenanceCarriedOut && platform_.instanceOn(report.machine).empty();
            const auto state = isTakenDown ? fleet::MachineState::InMaintenance : fleet::MachineState::Up;
            machines.push_back({ report.machine, report.pool, state, report.dataCentre, name, report.capacity });
        }
        done(std::move(machines));
    });
}

void EmulatedPlatformClient::move(
    const std::string&, const std::string&, fleet::MachineOrderAuthority authority, OrderCallback done)
{
    platform_.setLastMachineOrder(std::move(authority));
    answer(networkDelay, [done] { done(fleet::MachineOrderResult::Refused); });
}

void EmulatedPlatformClient::startMaintenance(
    const std::string& machine, std::uint64_t, fleet::MachineOrderAuthority authority, OrderCallback done)
{
    platform_.setLastMachineOrder(std::move(authority));
    const auto& faults = platform_.faults();
    if (const auto lateness = drawLateness(faults.unansweredMaintenanceRatio, latestMachineOrder)) {
        const bool isCarriedOut = lateness->count() % 2 == 0;
        const std::string instance = platform_.instanceOn(machine);
        if (isCarriedOut)
            scheduleAfter(
                *lateness - minimumLateness, [&platform = platform_, instance] { platform.crashAndReplace(instance); },
                true);
        return answer(machineOrderTimeout, [done] { done(failure(Errc::Timeout, "machine.maintain")); });
    }
    if (faults.isMaintenanceCarriedOut)
        platform_.crashAndReplace(platform_.instanceOn(machine));
    const auto result = faults.isMaintenanceAlreadyDone || faults.isMaintenanceCarriedOut
        ? fleet::MachineOrderResult::Accepted
        : fleet::MachineOrderResult::Refused;
    answer(networkDelay, [done, result] { done(result); });
}

// The ticket contains the instance's name.
void EmulatedPlatformClient::ask(
    const std::string& step, const std::vector<std::string>& instances, fleet::IAdviceService::Callback done)
{
    fleet::AdviceAnswer advice;
    advice.validity = milliseconds(2000);
    for (std::size_t i = 0; i < instances.size(); ++i) {
        const bool isAllowed = platform_.advice() ? platform_.advice()(step, instances[i]) : i % 2 == 0;
        if (isAllowed)
            advice.tickets[instances[i]] = "ticket-of-" + instances[i];
    }
    answer(networkDelay, [done, advice] { done(advice); });
}

void EmulatedPlatformClient::queryState(const foundation::Address& peer, control::IPeerControl::StateCallback done)
{
    answer(networkDelay, [this, peer, done] {
        const control::ControllerElection* control = peerLookup_(peer);
        if (!control)
            return done(failure(Errc::Timeout, "control.ask"));
        done(control->state());
    });
}

void EmulatedPlatformClient::forward(
    const foundation::Address& peer, std::vector<std::string> records, milliseconds timeout, ForwardCallback done)
{
    auto isOpen = std::make_shared<bool>(true);
    const auto finish = [isOpen, done](const Result<eventlog::StoreReceipt>& result) {
        if (std::exchange(*isOpen, false))
            done(result);
    };
    answer(timeout, [finish] { finish(failure(Errc::Timeout, "control.forward")); });
    answer(networkDelay, [this, isAlive = isAlive_, peer, records, finish] {
        control::ControllerElection* control = peerLookup_(peer);
        if (!control)
            return;
        control->store(records, true, [this, isAlive, finish](const Result<eventlog::StoreReceipt>& stored) {
            if (*isAlive)
                answer(networkDelay, [finish, stored] { finish(stored); });
        });
    });
}

} // namespace turmericsill::emulator
