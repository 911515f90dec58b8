#include "fleetstate/types/fleetstate.h"

#include "foundation/hash.h"

namespace turmericsill::fleetstate {

using declarations::Object;
using declarations::ObjectKind;

InstancePtr FleetState::findInstance(const std::string& name, std::string* poolName) const
{
    for (const auto& [pool, state] : pools) {
        auto found = state->instances.find(name);
        if (found == state->instances.end())
            continue;
        if (poolName)
            *poolName = pool;
        return found->second;
    }
    return nullptr;
}

PoolPtr FleetState::findPool(const std::string& name) const
{
    auto found = pools.find(name);
    return found == pools.end() ? nullptr : found->second;
}

const Object* FleetState::findObject(ObjectKind kind, const std::string& name) const
{
    const ObjectTablePtr& table = objectTable(kind);
    if (!table)
        return nullptr;
    auto found = table->objects.find(name);
    return found == table->objects.end() ? nullptr : &found->second->object;
}

const declarations::Service* FleetState::findService(const std::string& name) const
{
    const Object* object = findObject(ObjectKind::Service, name);
    return object ? std::get_if<declarations::Service>(object) : nullptr;
}

const EntryMember* FleetState::findMember(const std::string& entry, std::uint64_t incarnation) const
{
    auto found = roster.find(entry);
    return found != roster.end() && found->second.incarnation == incarnation ? &found->second : nullptr;
}

std::vector<std::string> FleetState::admittedEntries() const
{
    std::vector<std::string> names;
    for (const auto& [name, member] : roster) {
        if (member.admitted)
            names.push_back(name);
    }
    return names;
}

bool FleetState::isClaimHeld(const Claim& claim) const
{
    return findMember(claim.holder, claim.incarnation) != nullptr;
}

declarations::DeclarationSet FleetState::declarationSet() const
{
    declarations::DeclarationSet set;
    for (const auto& table : tables) {
        if (!table)
            continue;
        for (const auto& [name, declaredObject] : table->objects)
            set.emplace(
                declarations::ObjectKey { declarations::kindOf(declaredObject->object), name }, declaredObject->object);
    }
    for (const auto& [name, pool] : pools) {
        set.emplace(declarations::ObjectKey { ObjectKind::Pool, name }, pool->declared);
        for (const auto& [instanceName, instance] : pool->instances) {
            if (instance->purpose != DrainPurpose::Remove)
                set.emplace(declarations::ObjectKey { ObjectKind::Instance, instanceName }, instance->declared);
        }
    }
    return set;
}

std::uint64_t FleetState::digest() const
{
    std::string text = std::to_string(nextOffset) + ":" + std::to_string(configVersion) + ":"
        + std::to_string(rosterVersion) + ":" + std::to_string(admissions);
    for (const auto& [name, pool] : pools) {
        text += "|" + name + ":" + std::to_string(pool->declared.minimumHealthy) + ":"
            + std::to_string(pool->declared.maximumOut) + ":" + pool->claim.holder + ":"
            + std::to_string(pool->claim.epoch) + ":" + std::to_string(pool->instancesDigest);
    }
    for (const auto& table : tables)
        text += "|" + std::to_string(table ? table->digest : 0);
    for (const auto& [name, member] : roster)
        text += "|" + name + ":" + std::to_string(member.incarnation) + (member.admitted ? "+" : "-");
    for (const auto& departure : departures)
        text += "|" + departure.entry + ":" + std::to_string(departure.incarnation);
    return foundation::hashBytes(text);
}

} // namespace turmericsill::fleetstate
