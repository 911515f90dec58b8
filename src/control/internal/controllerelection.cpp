#include "control/controllerelection.h"

#include "jobs/recordcodec.h"

#include <absl/cleanup/cleanup.h>
#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace turmericsill::control {

using eventlog::AppendReceipt;
using eventlog::GroupAssignment;
using eventlog::GroupMember;
using foundation::Errc;
using foundation::Result;
using foundation::SteadyTime;
using jobs::ControlClaimed;

namespace {

    constexpr milliseconds membershipTimeToLive { 1300 }; ///< Allows for three joins; the platform's minimum is 1 s.
    constexpr milliseconds joinInterval { 400 };
    /// Time in which a candidate has to reach the end of the log. A long log takes it several seconds.
    constexpr milliseconds catchUpTimeout { 15000 };
    /// The store counts as unresponsive after this long without an answer to a join or a read.
    constexpr milliseconds silenceLimitAfterFailedJoin { 900 }; ///< One unanswered join; reads are answered within 1 s.
    constexpr milliseconds silenceLimit { 1600 }; ///< Two joins, each answered just within its timeout of 0.8 s.
    constexpr milliseconds claimTimeout { 2500 }; ///< A slow store takes seconds; repeated claims slow it further.
    constexpr milliseconds claimRetryDelay { 20 };
    constexpr milliseconds tickInterval { 50 };
    constexpr std::uint32_t takeoverShareRatio = 2; ///< A smaller gain does not justify a change of controller.
    constexpr milliseconds holderIntervalMargin { 300 }; ///< Added to ControlSettings::holderInterval.
    /// Entries that confirm a controller's control while the log does not answer. A successor relies on any one of
    /// them, while the controller depends on all.
    constexpr std::size_t witnessCount = 3;

    bool isBetterCandidate(const GroupMember& one, const GroupMember& other)
    {
        return std::tuple(other.processorShare, one.entry) < std::tuple(one.processorShare, other.entry);
    }

} // namespace

ControllerElection::ControllerElection(const ControllerContext& context, eventlog::IControlGroup& group,
    fleet::IMachineControl& machines, const ControlSettings& settings, EntryIdentity identity)
    : context_(context)
    , group_(group)
    , machines_(machines)
    , settings_(settings)
    , identity_(std::move(identity))
{
}

void ControllerElection::start()
{
    membershipConfirmedAt_ = context_.clock.now();
    join();
    tick(context_.clock.now());
}

void ControllerElection::setConfiguration(const fleet::FleetConfiguration& configuration)
{
    configuration_ = configuration;
    if (!controller_)
        return;
    controller_->setConfiguration(configuration);
    machineManager_->setConfiguration(configuration);
}

void ControllerElection::addWave(const fleet::MaintenanceWave& wave)
{
    waves_[wave.number] = wave;
    if (machineManager_)
        machineManager_->addWave(wave);
}

void ControllerElection::onTableChanged()
{
    if (controller_)
        controller_->onTableChanged();
}

void ControllerElection::join()
{
    if (isStopping_)
        return;
    withdrawIfUnableToClaim();
    if (isWithdrawn_)
        return scheduleJoin(context_.clock.now() + joinInterval);
    group_.join(generation_, membershipTimeToLive,
        [this, sentAt = context_.clock.now()](
            const Result<GroupAssignment>& assignment) { onJoined(assignment, sentAt); });
}

// As the candidate, an entry that does not reach the end of the log would keep all others from claiming control.
void ControllerElection::withdrawIfUnableToClaim()
{
    const auto& follower = context_.follower;
    const auto now = context_.clock.now();
    const bool isCurrent = follower.hasCaughtUp() && now - follower.coveredAsOf() < catchUpTimeout;
    if (controller_ || isCurrent) {
        isWithdrawn_ = false;
        return groupEmptySince_.reset();
    }
    const bool isBlocking = isCandidate_ && now - candidateSince_ >= catchUpTimeout;
    if (!isWithdrawn_ && !isBlocking && !follower.isSnapshotOutdated())
        return;
    if (!std::exchange(isWithdrawn_, true))
        context_.events.write("group.withdrawn", { { "snapshot_outdated", follower.isSnapshotOutdated() } });
    isCandidate_ = false;
    isMemberListStale_ = true;
    if (follower.isSnapshotOutdated())
        skipDroppedRecordsUnlessHeld();
}

// A member has read what the log has dropped, and writes a snapshot once it controls. Without any member, no entry
// would ever control again.
void ControllerElection::skipDroppedRecordsUnlessHeld()
{
    if (std::exchange(isFetchingMembers_, true))
        return;
    group_.members([this](const Result<std::vector<GroupMember>>& members) {
        isFetchingMembers_ = false;
        if (!members || !members->empty() || !context_.follower.isSnapshotOutdated())
            return groupEmptySince_.reset();
        const auto now = context_.clock.now();
        if (!groupEmptySince_)
            groupEmptySince_ = now;
        // Nobody has renewed the leases of the runs that the lost records may tell of.
        if (now - *groupEmptySince_ < settings_.lease.duration + settings_.lease.expiryMargin)
            return;
        const auto waited = std::chrono::duration_cast<milliseconds>(now - *groupEmptySince_);
        context_.events.write("log.records-lost", { { "waited_ms", std::int64_t(waited.count()) } });
        context_.follower.skipDroppedRecords();
    });
}

void ControllerElection::scheduleJoin(SteadyTime earliest)
{
    context_.timers.schedule(std::max(context_.clock.now(), earliest), [this] { join(); });
}

void ControllerElection::onJoined(const Result<GroupAssignment>& assignment, SteadyTime sentAt)
{
    if (isStopping_)
        return;
    hasLastJoinFailed_ = !assignment;
    if (!assignment)
        return scheduleJoin(context_.clock.now() + joinInterval);
    membershipConfirmedAt_ = sentAt;
    storeLatency_ = std::chrono::duration_cast<milliseconds>(context_.clock.now() - sentAt);
    const bool isNewGeneration = assignment->generation != generation_;
    generation_ = assignment->generation;
    isMemberListStale_ |= isNewGeneration;
    if (isNewGeneration) {
        context_.events.write(
            "group.generation", { { "generation", generation_ }, { "member", assignment->isMember } });
    }
    // The group reassigns a member's partitions only after that member has joined under the new generation.
    scheduleJoin(sentAt + joinInterval);
    if (!assignment->isMember && controller_ && !isNewGeneration)
        return endControl("the group no longer counts this entry as alive");
    if (isMemberListStale_ || (isCandidate_ && !controller_))
        fetchMembers();
}

void ControllerElection::fetchMembers()
{
    if (std::exchange(isFetchingMembers_, true))
        return;
    group_.members([this, generation = generation_](const Result<std::vector<GroupMember>>& members) {
        isFetchingMembers_ = false;
        if (!members || isStopping_)
            return;
        isMemberListStale_ = generation != generation_;
        onMembers(*members);
    });
}

void ControllerElection::onMembers(const std::vector<GroupMember>& members)
{
    const auto candidate = std::min_element(members.begin(), members.end(), isBetterCandidate);
    if (candidate == members.end())
        return;
    members_ = members;
    if (controller_)
        controller_->setWitnesses(chooseWitnesses());
    if (!std::exchange(isCandidate_, candidate->entry == identity_.entry))
        candidateSince_ = context_.clock.now();
    if (!controller_ && isCandidate_) {
        // An entry that has just started does not know the latest claim yet.
        return context_.follower.readToEnd([this, members](const Result<void>& read) {
            if (read && !controller_ && isCandidate_ && !isStopping_)
                claimUnlessHeld(members);
        });
    }
    if (controller_ && candidate->processorShare >= takeoverShareRatio * identity_.processorShare && !isCandidate_)
        endControl("a member has a larger processor share: " + candidate->entry);
}

// Spread over the order of the candidates, which follows their names and thereby their data centres, so that they are
// rarely lost together. The first one is the most likely successor.
std::vector<jobs::ControlWitness> ControllerElection::chooseWitnesses() const
{
    std::vector<GroupMember> others;
    std::copy_if(members_.begin(), members_.end(), std::back_inserter(others),
        [&](const GroupMember& member) { return member.entry != identity_.entry && !member.address.empty(); });
    std::sort(others.begin(), others.end(), isBetterCandidate);
    const auto count = std::min(witnessCount, others.size());
    std::vector<jobs::ControlWitness> witnesses;
    for (std::size_t i = 0; i < count; ++i) {
        const GroupMember& member = others[i * others.size() / count];
        witnesses.push_back({ member.entry, member.address });
    }
    return witnesses;
}

void ControllerElection::claimUnlessHeld(const std::vector<GroupMember>& members)
{
    const ControlClaimed holder = context_.follower.table().latestClaim();
    const bool hasOtherHolder = holder.epoch > 0 && holder.entry != identity_.entry;
    const bool isHolderAlive = std::any_of(
        members.begin(), members.end(), [&](const GroupMember& member) { return member.entry == holder.entry; });
    if (hasOtherHolder && isHolderAlive)
        return queryHolder(holder);
    beginClaim();
}

// A live holder of the latest claim may no longer be the controller.
void ControllerElection::queryHolder(const ControlClaimed& holder)
{
    const auto address = foundation::parseAddress(holder.address);
    if (!address)
        return beginClaim();
    context_.peers.queryState(*address, [this, holder](const Result<PeerControlState>& state) {
        const bool isStillController
            = !state || (state->incarnation == holder.incarnation && state->epoch == holder.epoch);
        if (!isStillController && !controller_ && isCandidate_ && !isStopping_)
            beginClaim();
    });
}

void ControllerElection::beginClaim()
{
    if (std::exchange(isClaiming_, true))
        return;
    appendClaim();
}

void ControllerElection::appendClaim()
{
    context_.follower.readToEnd([this](const Result<void>& read) {
        const ControlClaimed& latest = context_.follower.table().latestClaim();
        if (isStopping_ || !isCandidate_) {
            isClaiming_ = false;
            return;
        }
        if (!read)
            return retryClaim();
        const std::uint64_t epoch = std::max({ generation_, latest.epoch + 1, minimumEpoch_ });
        const auto timeOfDay = std::chrono::duration_cast<milliseconds>(context_.clock.wallNow().time_since_epoch());
        const ControlClaimed claim { epoch, identity_.entry, identity_.incarnation, identity_.address, timeOfDay,
            chooseWitnesses() };
        latestTriedEpoch_ = epoch;
        eventlog::AppendRequest request;
        request.payloads.push_back(jobs::encode(claim, epoch));
        request.position = eventlog::ProducerPosition { epoch, 0 };
        context_.log.append(std::move(request), claimTimeout,
            [this, claim](const Result<AppendReceipt>& answer) { onClaimAppended(answer, claim); });
    });
}

// The claim fences every former controller from its offset in the log on, and this entry reads all records before it
// becomes the controller. Another process may have claimed the same epoch, or the answer may be lost, so the log is
// read to find out whether the claim is in effect.
void ControllerElection::onClaimAppended(const Result<AppendReceipt>& answer, const ControlClaimed& claim)
{
    minimumEpoch_ = claim.epoch + 1;
    context_.events.write("control.claimed",
        { { "epoch", claim.epoch }, { "offset", context_.follower.offset() },
            { "outcome", answer ? std::string("appended") : answer.error().message() } });
    context_.follower.readToEnd([this, claim](const Result<void>& read) {
        const ControlClaimed& latest = context_.follower.table().latestClaim();
        const bool isOwnClaim
            = latest.epoch == claim.epoch && latest.entry == claim.entry && latest.incarnation == claim.incarnation;
        if (!read || !isOwnClaim || !isCandidate_ || isStopping_)
            return retryClaim();
        beginControl(claim);
    });
}

void ControllerElection::retryClaim()
{
    context_.timers.schedule(context_.clock.now() + claimRetryDelay, [this] {
        if (isCandidate_ && !isStopping_)
            return appendClaim();
        isClaiming_ = false;
    });
}

void ControllerElection::beginControl(const ControlClaimed& claim)
{
    isClaiming_ = false;
    context_.follower.beginControl(claim.epoch);
    controller_ = std::make_unique<Controller>(context_, settings_, claim.epoch, [this](const std::string& reason) {
        // Deferred, because the controller that calls this must not be destroyed before it returns.
        context_.timers.schedule(context_.clock.now(), [this, reason] { endControl(reason); });
    });
    const auto ordersAllowedAt = context_.clock.now() + settings_.holderInterval + holderIntervalMargin;
    machineManager_ = std::make_unique<MachineManager>(context_, machines_, *controller_, settings_, ordersAllowedAt,
        [this] { return controlStatus() == ControlStatus::Confirmed; });
    machineManager_->setConfiguration(configuration_);
    for (const auto& [number, wave] : waves_)
        machineManager_->addWave(wave);
    controller_->setConfiguration(configuration_);
    controller_->start();
}

void ControllerElection::endControl(const std::string& reason)
{
    if (!controller_)
        return;
    context_.events.write("control.ends", { { "epoch", controller_->epoch() }, { "reason", reason } });
    machineManager_.reset();
    const std::unique_ptr<Controller> ended = std::move(controller_);
    ended->failPendingStores();
    context_.follower.endControl();
}

void ControllerElection::store(
    const std::vector<std::string>& records, bool acceptsRejections, eventlog::ISubmissionPath::StoreCallback done)
{
    if (!controller_ || !isStoreAnswering())
        return done(foundation::failure(Errc::Unavailable, "control.store", {},
            controller_ ? "the store does not respond" : "this entry is not the controller"));
    std::vector<jobs::Record> callerRecords;
    for (const auto& bytes : records) {
        auto decodedRecord = jobs::decode(bytes);
        const bool isCallerRecord = decodedRecord
            && (std::holds_alternative<jobs::JobSubmitted>(decodedRecord->record)
                || std::holds_alternative<jobs::JobCancelled>(decodedRecord->record));
        if (!isCallerRecord)
            return done(
                foundation::failure(Errc::InvalidInput, "control.store", {}, "not a submission or cancellation"));
        callerRecords.push_back(std::move(decodedRecord->record));
    }
    controller_->store(std::move(callerRecords), acceptsRejections, std::move(done));
}

bool ControllerElection::isStoreAnswering() const
{
    if (hasLastJoinFailed_ && context_.follower.hasLastReadFailed())
        return false;
    const auto silence = context_.clock.now() - std::max(membershipConfirmedAt_, context_.follower.lastAnswerAt());
    return silence < (hasLastJoinFailed_ ? silenceLimitAfterFailedJoin : silenceLimit);
}

PeerControlState ControllerElection::state() const
{
    return { identity_.incarnation, controller_ ? controller_->epoch() : 0,
        std::max(context_.follower.latestKnownClaim(), latestTriedEpoch_) };
}

ControlStatus ControllerElection::controlStatus() const
{
    const auto silence = context_.clock.now() - membershipConfirmedAt_;
    if (silence < membershipTimeToLive)
        return ControlStatus::Confirmed;
    return silence < settings_.lease.logOutageLimit ? ControlStatus::Unconfirmed : ControlStatus::Lost;
}

// The next tick also follows an exception, since this entry stays the controller.
void ControllerElection::tick(SteadyTime scheduledAt)
{
    const absl::Cleanup scheduleNext = [this] { scheduleTick(); };
    const auto lag = std::chrono::duration_cast<milliseconds>(context_.clock.now() - scheduledAt);
    if (controller_)
        controller_->tick(controlStatus(), lag);
    // Machines check no fencing tokens, so they get orders only while control is confirmed.
    if (machineManager_ && controlStatus() == ControlStatus::Confirmed)
        machineManager_->tick();
}

void ControllerElection::scheduleTick()
{
    if (isStopping_)
        return;
    const auto next = context_.clock.now() + tickInterval;
    context_.timers.schedule(next, [this, next] { tick(next); });
}

void ControllerElection::stop(std::function<void()> done)
{
    isStopping_ = true;
    endControl("this entry is shutting down");
    group_.leave(std::move(done));
}

} // namespace turmericsill::control
