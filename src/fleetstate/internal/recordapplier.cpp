#include "fleetstate/internal/recordapplier.h"

#include "fleetstate/internal/stateeditor.h"
#include "fleetstate/recordcodec.h"

#include <algorithm>

namespace turmericsill::fleetstate {

using declarations::Instance;
using declarations::ObjectChange;
using declarations::ObjectKind;
using declarations::Pool;

namespace {

    bool isDeclared(const FleetState& state, const declarations::Object& object)
    {
        const std::string& name = declarations::nameOf(object);
        const ObjectKind kind = declarations::kindOf(object);
        if (kind == ObjectKind::Pool)
            return state.pools.count(name) != 0;
        if (kind == ObjectKind::Instance)
            return state.findInstance(name) != nullptr;
        return state.findObject(kind, name) != nullptr;
    }

} // namespace

std::string RecordApplier::lastConfigChangeAuthor() const
{
    for (auto summary = state_.history.rbegin(); summary != state_.history.rend(); ++summary) {
        if ((*summary)->accepted && (*summary)->kind == "config_change")
            return (*summary)->operatorName + " (change " + (*summary)->id + ")";
    }
    return "nobody";
}

std::string RecordApplier::operator()(const ConfigChange& body)
{
    if (body.baseVersion != state_.configVersion)
        return "planned on version " + std::to_string(body.baseVersion) + ", but version "
            + std::to_string(state_.configVersion) + " is in force, published by " + lastConfigChangeAuthor();
    for (const auto& change : body.changes) {
        std::string rejection = checkChange(change);
        if (rejection.empty() && change.action == ObjectChange::Action::Remove
            && declarations::kindOf(change.object) == ObjectKind::Pool)
            rejection = checkPoolRemoval(declarations::nameOf(change.object), body);
        if (!rejection.empty())
            return rejection;
    }
    // Changes are ordered by object kind, so a pool is added before its instances and removed after them.
    for (const auto& change : body.changes) {
        if (change.action != ObjectChange::Action::Remove)
            applyChange(change);
    }
    for (auto change = body.changes.rbegin(); change != body.changes.rend(); ++change) {
        if (change->action == ObjectChange::Action::Remove)
            applyChange(*change);
    }
    ++state_.configVersion;
    return {};
}

std::string RecordApplier::checkChange(const ObjectChange& change) const
{
    const bool isDeclaredAlready = isDeclared(state_, change.object);
    const std::string& name = declarations::nameOf(change.object);
    if (change.action == ObjectChange::Action::Add && isDeclaredAlready) {
        const bool isBeingRemoved = declarations::kindOf(change.object) == ObjectKind::Instance
            && state_.findInstance(name)->purpose == DrainPurpose::Remove;
        return "\"" + name + "\" " + (isBeingRemoved ? "is still being removed" : "exists already");
    }
    if (change.action != ObjectChange::Action::Add && !isDeclaredAlready)
        return "\"" + name + "\" does not exist";
    if (change.action == ObjectChange::Action::Remove)
        return {};
    const auto* instance = std::get_if<Instance>(&change.object);
    if (!instance || change.action == ObjectChange::Action::Add)
        return {};
    // An address is immutable: an entry that lags behind the log would send work to the old address.
    if (state_.findInstance(name)->declared.address != instance->address)
        return "the address of \"" + name + "\" cannot change; remove the instance and add it under another name";
    return {};
}

std::string RecordApplier::checkPoolRemoval(const std::string& name, const ConfigChange&) const
{
    const std::size_t instanceCount = state_.pools.at(name)->instances.size();
    if (instanceCount == 0)
        return {};
    return "pool \"" + name + "\" still holds " + std::to_string(instanceCount)
        + " instances; move or remove them, then remove the pool";
}

void RecordApplier::applyChange(const ObjectChange& change)
{
    StateEditor editor(state_);
    const std::string& name = declarations::nameOf(change.object);
    const bool isRemoval = change.action == ObjectChange::Action::Remove;
    switch (declarations::kindOf(change.object)) {
    case ObjectKind::Pool:
        if (isRemoval)
            editor.removePool(name);
        else
            editor.addPool(std::get<Pool>(change.object));
        return;
    case ObjectKind::Instance:
        applyInstanceChange(change);
        return;
    default:
        if (isRemoval)
            editor.removeObject(declarations::kindOf(change.object), name);
        else
            editor.putObject(change.object);
    }
}

void RecordApplier::applyInstanceChange(const ObjectChange& change)
{
    const auto& declared = std::get<Instance>(change.object);
    if (change.action == ObjectChange::Action::Remove) {
        startRemoval(declared.name);
        return;
    }
    if (change.action == ObjectChange::Action::Update) {
        updateInstance(declared);
        return;
    }
    InstanceState added;
    added.declared = declared;
    storeNewVersion(declared.pool, std::move(added));
}

// A change of pool only starts a drain here; the instance changes pool when the controller's transition is applied.
void RecordApplier::updateInstance(const Instance& declared)
{
    std::string pool;
    InstanceState changed = *state_.findInstance(declared.name, &pool);
    changed.declared = declared;
    if (declared.pool != pool && changed.lifecycle != Lifecycle::Stopped) {
        changed.lifecycle = Lifecycle::Draining;
        changed.purpose = DrainPurpose::Move;
    }
    if (declared.pool == pool && changed.purpose == DrainPurpose::Move) {
        changed.lifecycle = Lifecycle::Serving;
        changed.purpose = DrainPurpose::None;
    }
    storeNewVersion(pool, std::move(changed));
}

void RecordApplier::startRemoval(const std::string& name)
{
    std::string pool;
    InstanceState changed = *state_.findInstance(name, &pool);
    if (changed.lifecycle == Lifecycle::Serving)
        changed.lifecycle = Lifecycle::Draining;
    changed.purpose = DrainPurpose::Remove;
    storeNewVersion(pool, std::move(changed));
}

void RecordApplier::storeNewVersion(const std::string& pool, InstanceState instance)
{
    instance.version = offset_ + 1;
    StateEditor(state_).putInstance(pool, std::move(instance));
}

std::string RecordApplier::operator()(const DrainRequest& body)
{
    std::string pool;
    InstancePtr instance = state_.findInstance(body.instance, &pool);
    if (!instance)
        return "instance \"" + body.instance + "\" does not exist";
    if (instance->lifecycle != Lifecycle::Serving)
        return "instance \"" + body.instance + "\" is already " + lifecycleName(instance->lifecycle);
    if (instance->version != body.instanceVersion)
        return "planned on version " + std::to_string(body.instanceVersion) + " of \"" + body.instance
            + "\", but it is at version " + std::to_string(instance->version);
    const PoolState& owner = *state_.pools.at(pool);
    const std::size_t outOfServiceCount = owner.outOfService.size();
    if (outOfServiceCount >= owner.declared.maximumOut)
        return "pool \"" + pool + "\" has " + std::to_string(outOfServiceCount) + " instances out, its maximum_out";
    if (owner.instances.size() - outOfServiceCount <= owner.declared.minimumHealthy)
        return "pool \"" + pool + "\" would fall below its minimum_healthy of "
            + std::to_string(owner.declared.minimumHealthy);
    InstanceState changed = *instance;
    changed.lifecycle = Lifecycle::Draining;
    changed.purpose = DrainPurpose::Reboot;
    storeNewVersion(pool, std::move(changed));
    return {};
}

std::string RecordApplier::operator()(const DrainCancel& body)
{
    std::string pool;
    InstancePtr instance = state_.findInstance(body.instance, &pool);
    if (!instance)
        return "instance \"" + body.instance + "\" does not exist";
    if (instance->lifecycle != Lifecycle::Draining || instance->purpose != DrainPurpose::Reboot)
        return "instance \"" + body.instance + "\" does not drain for a reboot";
    if (instance->version != body.instanceVersion)
        return "instance \"" + body.instance + "\" is at version " + std::to_string(instance->version);
    InstanceState changed = *instance;
    changed.lifecycle = Lifecycle::Serving;
    changed.purpose = DrainPurpose::None;
    storeNewVersion(pool, std::move(changed));
    return {};
}

std::string RecordApplier::operator()(const InstanceTransition& body)
{
    auto owner = state_.pools.find(body.pool);
    if (owner == state_.pools.end())
        return "pool \"" + body.pool + "\" does not exist";
    const Claim& claim = owner->second->claim;
    if (claim.epoch != body.epoch || claim.holder != record_.writer)
        return "the claim on pool \"" + body.pool + "\" is at epoch " + std::to_string(claim.epoch) + " of "
            + claim.holder;
    auto found = owner->second->instances.find(body.instance);
    if (found == owner->second->instances.end())
        return "instance \"" + body.instance + "\" is not in pool \"" + body.pool + "\"";
    const InstancePtr instance = found->second;
    if (instance->version != body.instanceVersion)
        return "instance \"" + body.instance + "\" is at version " + std::to_string(instance->version);
    if (instance->lifecycle == Lifecycle::Serving)
        return "instance \"" + body.instance + "\" serves";
    if (instance->purpose == DrainPurpose::Remove) {
        StateEditor(state_).removeInstance(body.pool, body.instance);
        return {};
    }
    if (instance->declared.pool != body.pool)
        return moveInstance(*instance, body.pool);
    InstanceState changed = *instance;
    changed.lifecycle = body.targetLifecycle;
    if (body.targetLifecycle == Lifecycle::Serving)
        changed.purpose = DrainPurpose::None;
    storeNewVersion(body.pool, std::move(changed));
    return {};
}

// The offset of this transition is the point in the log at which the instance changes pool on every entry.
std::string RecordApplier::moveInstance(const InstanceState& instance, const std::string& fromPool)
{
    const std::string target = instance.declared.pool;
    if (state_.pools.count(target) == 0)
        return "pool \"" + target + "\" does not exist";
    InstanceState changed = instance;
    changed.lifecycle = Lifecycle::Serving;
    changed.purpose = DrainPurpose::None;
    StateEditor(state_).removeInstance(fromPool, instance.declared.name);
    storeNewVersion(target, std::move(changed));
    return {};
}

std::string RecordApplier::operator()(const PoolClaim& body)
{
    auto found = state_.pools.find(body.pool);
    if (found == state_.pools.end())
        return "pool \"" + body.pool + "\" does not exist";
    const Claim& claim = found->second->claim;
    if (claim.epoch != body.expectedEpoch)
        return "the claim is at epoch " + std::to_string(claim.epoch);
    if (state_.isClaimHeld(claim))
        return "the claim is held by " + claim.holder;
    const EntryMember* claimant = state_.findMember(body.holder, body.incarnation);
    if (!claimant || !claimant->admitted)
        return "entry \"" + body.holder + "\" is not admitted";
    Claim& changed = StateEditor(state_).mutablePool(body.pool).claim;
    changed = { body.holder, body.incarnation, body.expectedEpoch + 1 };
    return {};
}

std::string RecordApplier::operator()(const EntryJoin& body)
{
    auto found = state_.roster.find(body.entry);
    if (found != state_.roster.end() && found->second.incarnation >= body.incarnation)
        return "entry \"" + body.entry + "\" has joined with incarnation " + std::to_string(found->second.incarnation);
    const auto hasDeparted = [&](const Departure& departure) {
        return departure.entry == body.entry && departure.incarnation >= body.incarnation;
    };
    if (std::any_of(state_.departures.begin(), state_.departures.end(), hasDeparted))
        return "this incarnation of entry \"" + body.entry + "\" has departed";
    // A new process that has bound the same addresses proves that the older incarnation has ended.
    auto& departures = state_.departures;
    departures.erase(std::remove_if(departures.begin(), departures.end(),
                         [&](const Departure& departure) { return departure.entry == body.entry; }),
        departures.end());
    state_.roster[body.entry]
        = { body.entry, body.incarnation, body.dataCentre, body.peerAddress, body.callerAddress, false, offset_ };
    ++state_.rosterVersion;
    return {};
}

std::string RecordApplier::operator()(const EntryAdmit& body)
{
    if (!state_.findMember(body.entry, body.incarnation))
        return "entry \"" + body.entry + "\" has not joined with this incarnation";
    EntryMember& member = state_.roster[body.entry];
    if (member.admitted)
        return "entry \"" + body.entry + "\" is admitted already";
    auto sponsor = state_.roster.find(body.sponsor);
    const bool isSponsored = sponsor != state_.roster.end() && sponsor->second.admitted;
    if (!isSponsored && !state_.admittedEntries().empty())
        return "sponsor \"" + body.sponsor + "\" is not admitted";
    member.admitted = true;
    ++state_.admissions;
    ++state_.rosterVersion;
    return {};
}

std::string RecordApplier::operator()(const EntryLeave& body)
{
    if (!state_.findMember(body.entry, body.incarnation))
        return "entry \"" + body.entry + "\" is not a member with this incarnation";
    const bool isOwnLeave = body.planned && record_.writer == body.entry;
    auto remover = state_.roster.find(body.removedBy);
    const bool mayEvict
        = !body.planned && remover != state_.roster.end() && (remover->second.admitted || body.provenGone);
    if (!isOwnLeave && !mayEvict)
        return "\"" + body.removedBy + "\" may not remove entry \"" + body.entry + "\"";
    if (!body.planned)
        state_.departures.push_back({ body.entry, body.incarnation });
    state_.roster.erase(body.entry);
    ++state_.rosterVersion;
    return {};
}

std::string RecordApplier::operator()(const DepartureResolved& body)
{
    auto& departures = state_.departures;
    const auto resolved = std::find_if(departures.begin(), departures.end(), [&](const Departure& departure) {
        return departure.entry == body.entry && departure.incarnation == body.incarnation;
    });
    if (resolved == departures.end())
        return "entry \"" + body.entry + "\" has no unresolved departure with this incarnation";
    departures.erase(resolved);
    return {};
}

} // namespace turmericsill::fleetstate
