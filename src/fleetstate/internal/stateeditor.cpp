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

    /// Makes `pointer` the only owner of its object and returns it for editing.
    template <typename T> T& makeUnique(boost::intrusive_ptr<const T>& pointer)
    {
        if (!pointer)
            pointer = new T();
        else if (pointer->use_count() > 1)
            pointer = new T(*pointer);
        return const_cast<T&>(*pointer);
    }

} // namespace

PoolState& StateEditor::pool(const std::string& name) { return makeUnique(state_.pools.at(name)); }

void StateEditor::addPool(const declarations::Pool& declared)
{
    PoolState& added = makeUnique(state_.pools[declared.name]);
    added.declared = declared;
}

void StateEditor::removePool(const std::string& name) { state_.pools.erase(name); }

void StateEditor::putInstance(const std::string& poolName, InstanceState instance)
{
    instance.digest = digestOf(instance);
    PoolState& target = pool(poolName);
    InstancePtr& place = target.instances[instance.declared.name];
    if (place)
        target.instancesDigest -= place->digest;
    target.instancesDigest += instance.digest;
    place = new InstanceState(std::move(instance));
    if (place->lifecycle == Lifecycle::Serving)
        target.away.erase(place->declared.name);
    else
        target.away[place->declared.name] = place;
}

void StateEditor::removeInstance(const std::string& poolName, const std::string& name)
{
    PoolState& target = pool(poolName);
    auto found = target.instances.find(name);
    if (found == target.instances.end())
        return;
    target.instancesDigest -= found->second->digest;
    target.instances.erase(found);
    target.away.erase(name);
}

ObjectTable& StateEditor::table(declarations::ObjectKind kind)
{
    return makeUnique(state_.tables.at(static_cast<std::size_t>(kind)));
}

void StateEditor::putObject(const declarations::Object& object)
{
    ObjectTable& target = table(declarations::kindOf(object));
    boost::intrusive_ptr<ObjectHolder> holder = new ObjectHolder();
    holder->object = object;
    holder->digest = foundation::hashBytes(declarations::encode(object).dump());
    auto& place = target.objects[declarations::nameOf(object)];
    if (place)
        target.digest -= place->digest;
    target.digest += holder->digest;
    place = holder;
}

void StateEditor::removeObject(declarations::ObjectKind kind, const std::string& name)
{
    ObjectTable& target = table(kind);
    auto found = target.objects.find(name);
    if (found == target.objects.end())
        return;
    target.digest -= found->second->digest;
    target.objects.erase(found);
}

} // namespace turmericsill::fleetstate
