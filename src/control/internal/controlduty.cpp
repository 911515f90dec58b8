#include "control/controlduty.h"

#include "jobs/recordcodec.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace turmericsill::control {

using eventlog::AppendReceipt;
using eventlog::GroupAssignment;
using eventlog::GroupMember;
using foundation::Errc;
using foundation::Result;
using foundation::SteadyTime;
using jobs::Claimed;

namespace {

    constexpr milliseconds timeToLive { 1300 }; ///< Three tries to join; the platform's least is 1 s.
    constexpr milliseconds joinInterval { 400 };
    constexpr milliseconds storeSilence { 900 }; ///< A join without an answer; reads are answered within 1 s.
    constexpr milliseconds slowStore { 1600 }; ///< Two joins, each answered just within its timeout of 0.8 s.
    constexpr milliseconds claimTimeout { 2500 }; ///< A slow store takes seconds, and a repeated claim makes it slower.
    constexpr milliseconds claimRetryDelay { 20 };
    constexpr milliseconds tickInterval { 50 };
    constexpr std::uint32_t strongerBy = 2; ///< Less does not make up for a change of control.
    constexpr milliseconds holderMargin { 300 }; ///< Added to the interval between holders' orders for a machine.

    bool isBetterCandidate(const GroupMember& one, const GroupMember& other)
    {
        return std::tuple(other.processorShare, one.entry) < std::tuple(one.processorShare, other.entry);
    }

} // namespace

ControlDuty::ControlDuty(const ControllerContext& context, eventlog::IControlGroup& group,
    fleet::IMachineControl& machines, const ControlSettings& settings, EntryIdentity identity)
    : context_(context)
    , group_(group)
    , machines_(machines)
    , settings_(settings)
    , identity_(std::move(identity))
{
}

void ControlDuty::start()
{
    confirmedAt_ = context_.clock.now();
    join();
    tick();
}

void ControlDuty::setConfiguration(const fleet::FleetConfiguration& configuration)
{
    configuration_ = configuration;
    if (!controller_)
        return;
    controller_->setConfiguration(configuration);
    steward_->setConfiguration(configuration);
}

void ControlDuty::addWave(const fleet::UpkeepWave& wave)
{
    waves_[wave.number] = wave;
    if (steward_)
        steward_->addWave(wave);
}

void ControlDuty::onTableChanged()
{
    if (controller_)
        controller_->onTableChanged();
}

void ControlDuty::join()
{
    if (isStopping_)
        return;
    group_.join(
        generation_, timeToLive, [this, sentAt = context_.clock.now()](const Result<GroupAssignment>& assignment) {
            onJoined(assignment, sentAt);
        });
}

void ControlDuty::scheduleJoin(SteadyTime earliest)
{
    context_.timers.schedule(std::max(context_.clock.now(), earliest), [this] { join(); });
}

void ControlDuty::onJoined(const Result<GroupAssignment>& assignment, SteadyTime sentAt)
{
    if (isStopping_)
        return;
    lastJoinFailed_ = !assignment;
    if (!assignment)
        return scheduleJoin(context_.clock.now() + joinInterval);
    confirmedAt_ = sentAt;
    storeLatency_ = std::chrono::duration_cast<milliseconds>(context_.clock.now() - sentAt);
    const bool isNewGeneration = assignment->generation != generation_;
    generation_ = assignment->generation;
    membersUnknown_ |= isNewGeneration;
    if (isNewGeneration) {
        context_.events.write(
            "group.generation", { { "generation", generation_ }, { "member", assignment->isMember } });
    }
    // The group passes a member's part on once that member has joined under the new generation.
    scheduleJoin(sentAt + joinInterval);
    if (!assignment->isMember && controller_ && !isNewGeneration)
        return endControl("the group does not count this entry as alive");
    if (membersUnknown_ || (isCandidate_ && !controller_))
        lookAtMembers();
}

void ControlDuty::lookAtMembers()
{
    if (std::exchange(isLookingAtMembers_, true))
        return;
    group_.members([this, generation = generation_](const Result<std::vector<GroupMember>>& members) {
        isLookingAtMembers_ = false;
        if (!members || isStopping_)
            return;
        membersUnknown_ = generation != generation_;
        onMembers(*members);
    });
}

void ControlDuty::onMembers(const std::vector<GroupMember>& members)
{
    const auto candidate = std::min_element(members.begin(), members.end(), isBetterCandidate);
    if (candidate == members.end())
        return;
    isCandidate_ = candidate->entry == identity_.entry;
    if (!controller_ && isCandidate_) {
        // An entry that has just started has not read who holds control.
        return context_.follower.readToEnd([this, members](const Result<void>& read) {
            if (read && !controller_ && isCandidate_ && !isStopping_)
                considerClaim(members);
        });
    }
    if (controller_ && candidate->processorShare >= strongerBy * identity_.processorShare && !isCandidate_)
        endControl("a member with more processor time is there: " + candidate->entry);
}

void ControlDuty::considerClaim(const std::vector<GroupMember>& members)
{
    const Claimed holder = context_.follower.table().claim();
    const bool mayBeControlled = holder.epoch > 0 && holder.entry != identity_.entry;
    const bool holderLives = std::any_of(
        members.begin(), members.end(), [&](const GroupMember& member) { return member.entry == holder.entry; });
    if (mayBeControlled && holderLives)
        return askHolder(holder);
    beginClaim();
}

// A holder that is alive may have ended its control.
void ControlDuty::askHolder(const Claimed& holder)
{
    const auto address = foundation::parseAddress(holder.address);
    if (!address)
        return beginClaim();
    context_.peers.ask(*address, [this, holder](const Result<PeerControlState>& state) {
        const bool stillControls = !state || (state->incarnation == holder.incarnation && state->epoch == holder.epoch);
        if (!stillControls && !controller_ && isCandidate_ && !isStopping_)
            beginClaim();
    });
}

void ControlDuty::beginClaim()
{
    if (std::exchange(isClaiming_, true))
        return;
    appendClaim();
}

void ControlDuty::appendClaim()
{
    context_.follower.readToEnd([this](const Result<void>& read) {
        const Claimed& latest = context_.follower.table().claim();
        if (isStopping_ || !isCandidate_) {
            isClaiming_ = false;
            return;
        }
        if (!read)
            return retryClaim();
        const std::uint64_t epoch = std::max({ generation_, latest.epoch + 1, lowestEpoch_ });
        const auto timeOfDay = std::chrono::duration_cast<milliseconds>(context_.clock.wallNow().time_since_epoch());
        const Claimed claim { epoch, identity_.entry, identity_.incarnation, identity_.address, timeOfDay };
        eventlog::AppendRequest request;
        request.payloads.push_back(jobs::encode(claim, epoch));
        request.position = eventlog::ProducerPosition { epoch, 0 };
        context_.log.append(std::move(request), claimTimeout,
            [this, claim](const Result<AppendReceipt>& answer) { onClaimAppended(answer, claim); });
    });
}

// The claim fences every former controller at its place in the log, and what stands before it is read before control
// begins. Another process may have claimed under the same epoch, and an answer may be lost, so the log decides.
void ControlDuty::onClaimAppended(const Result<AppendReceipt>& answer, const Claimed& claim)
{
    lowestEpoch_ = claim.epoch + 1;
    context_.events.write("control.claimed",
        { { "epoch", claim.epoch }, { "offset", context_.follower.offset() },
            { "outcome", answer ? std::string("appended") : answer.error().message() } });
    context_.follower.readToEnd([this, claim](const Result<void>& read) {
        const Claimed& latest = context_.follower.table().claim();
        const bool isOurs
            = latest.epoch == claim.epoch && latest.entry == claim.entry && latest.incarnation == claim.incarnation;
        if (!read || !isOurs || !isCandidate_ || isStopping_)
            return retryClaim();
        beginControl(claim);
    });
}

void ControlDuty::retryClaim()
{
    context_.timers.schedule(context_.clock.now() + claimRetryDelay, [this] {
        if (isCandidate_ && !isStopping_)
            return appendClaim();
        isClaiming_ = false;
    });
}

void ControlDuty::beginControl(const Claimed& claim)
{
    isClaiming_ = false;
    context_.follower.beginControl(claim.epoch);
    controller_ = std::make_unique<Controller>(context_, settings_, claim.epoch, [this](const std::string& reason) {
        // The controller is in the middle of a step.
        context_.timers.schedule(context_.clock.now(), [this, reason] { endControl(reason); });
    });
    const auto mayOrderFrom = context_.clock.now() + settings_.holderInterval + holderMargin;
    steward_ = std::make_unique<FleetSteward>(context_, machines_, *controller_, settings_, mayOrderFrom);
    steward_->setConfiguration(configuration_);
    for (const auto& [number, wave] : waves_)
        steward_->addWave(wave);
    controller_->setConfiguration(configuration_);
    controller_->start();
}

void ControlDuty::endControl(const std::string& reason)
{
    if (!controller_)
        return;
    context_.events.write("control.ends", { { "epoch", controller_->epoch() }, { "reason", reason } });
    steward_.reset();
    const std::unique_ptr<Controller> ended = std::move(controller_);
    ended->releaseCallers();
    context_.follower.endControl();
}

void ControlDuty::store(const std::vector<std::string>& records, eventlog::ISubmissionPath::StoreCallback done)
{
    if (!controller_ || !isStoreAnswering())
        return done(foundation::failure(Errc::Unavailable, "control.store", {},
            controller_ ? "the store is silent" : "this entry does not control"));
    std::vector<jobs::Record> decoded;
    for (const auto& bytes : records) {
        auto logged = jobs::decode(bytes);
        const bool isCallers = logged
            && (std::holds_alternative<jobs::Submitted>(logged->record)
                || std::holds_alternative<jobs::Cancelled>(logged->record));
        if (!isCallers)
            return done(foundation::failure(Errc::InvalidInput, "control.store", {}, "no record of a caller"));
        decoded.push_back(std::move(logged->record));
    }
    controller_->store(decoded, std::move(done));
}

bool ControlDuty::isStoreAnswering() const
{
    if (lastJoinFailed_ && context_.follower.hasLastReadFailed())
        return false;
    const auto silence = context_.clock.now() - std::max(confirmedAt_, context_.follower.answeredAt());
    return silence < (lastJoinFailed_ ? storeSilence : slowStore);
}

PeerControlState ControlDuty::state() const
{
    return { identity_.incarnation, controller_ ? controller_->epoch() : 0 };
}

ControlConfidence ControlDuty::confidence() const
{
    const auto silence = context_.clock.now() - confirmedAt_;
    if (silence < timeToLive)
        return ControlConfidence::Confirmed;
    return silence < settings_.lease.outageLimit ? ControlConfidence::Doubtful : ControlConfidence::Lost;
}

void ControlDuty::tick()
{
    if (controller_)
        controller_->tick(confidence());
    // Machines check no tokens, so control must be confirmed.
    if (steward_ && confidence() == ControlConfidence::Confirmed)
        steward_->tick();
    if (!isStopping_)
        context_.timers.schedule(context_.clock.now() + tickInterval, [this] { tick(); });
}

void ControlDuty::stop(std::function<void()> done)
{
    isStopping_ = true;
    endControl("this entry stops");
    group_.leave(std::move(done));
}

} // namespace turmericsill::control
