#include "fleetstate/internal/stateeditor.h"

#include "declarations/objectcodec.h"
#include "fleetstate/recordcodec.h"
#include "foundation/hash.h"

namespace turmericsill::fleetstate {

namespace {

    std::uint64_t digestOf(const InstanceState& instance)
    {
        std::string text = declarations::encode(instance.declared).dump();
        text += lifecycleName(instance.lifecycle);
        text += purposeName(instance.purpose);
        text += std::to_string(instance.version);
        return foundation::hashBytes(text);
    }

    /// Returns the object for editing; creates it if there is none and clones it if it is shared (copy-on-write).
    template <typename T> T& cloneIfShared(boost::intrusive_ptr<const T>& pointer)
    {
        if (!pointer)
            pointer = new T();
        else if (pointer->use_count() > 1)
            pointer = new T(*pointer);
        return const_cast<T&>(*pointer);
    }

} // namespace

PoolState& StateEditor::mutablePool(const std::string& name) { return cloneIfShared(state_.pools.at(name)); }

void StateEditor::addPool(const declarations::Pool& declared)
{
    PoolState& added = cloneIfShared(state_.pools[declared.name]);
    added.declared = declared;
}

void StateEditor::removePool(const std::string& name) { state_.pools.erase(name); }

void StateEditor::putInstance(const std::string& poolName, InstanceState instance)
{
    instance.digest = digestOf(instance);
    PoolState& target = mutablePool(poolName);
    InstancePtr& slot = target.instances[instance.declared.name];
    if (slot)
        target.instancesDigest -= slot->digest;
    target.instancesDigest += instance.digest;
    slot = new InstanceState(std::move(instance));
    if (slot->lifecycle == Lifecycle::Serving)
        target.outOfService.erase(slot->declared.name);
    else
        target.outOfService[slot->declared.name] = slot;
}

void StateEditor::removeInstance(const std::string& poolName, const std::string& name)
{
    PoolState& target = mutablePool(poolName);
    auto found = target.instances.find(name);
    if (found == target.instances.end())
        return;
    target.instancesDigest -= found->second->digest;
    target.instances.erase(found);
    target.outOfService.erase(name);
}

ObjectTable& StateEditor::mutableTable(declarations::ObjectKind kind)
{
    return cloneIfShared(state_.tables.at(static_cast<std::size_t>(kind)));
}

void StateEditor::putObject(const declarations::Object& object)
{
    ObjectTable& target = mutableTable(declarations::kindOf(object));
    boost::intrusive_ptr<DeclaredObject> declaredObject = new DeclaredObject();
    declaredObject->object = object;
    declaredObject->digest = foundation::hashBytes(declarations::encode(object).dump());
    auto& slot = target.objects[declarations::nameOf(object)];
    if (slot)
        target.digest -= slot->digest;
    target.digest += declaredObject->digest;
    slot = declaredObject;
}

void StateEditor::removeObject(declarations::ObjectKind kind, const std::string& name)
{
    ObjectTable& target = mutableTable(kind);
    auto found = target.objects.find(name);
    if (found == target.objects.end())
        return;
    target.digest -= found->second->digest;
    target.objects.erase(found);
}

} // namespace turmericsill::fleetstate
