#include "declarations/objectcodec.h"

#include <array>

namespace turmericsill::declarations {

namespace {

    using nlohmann::json;

    constexpr std::size_t kindCount = std::variant_size_v<Object>;

    const std::array<std::string, kindCount>& listNames()
    {
        static const std::array<std::string, kindCount> names { "firms", "regions", "data_centres", "racks", "services",
            "pools", "instances", "jobs", "teams" };
        return names;
    }

    json toJson(const Firm& firm)
    {
        return { { "name", firm.name }, { "roll_out_weight", firm.rollOutWeight }, { "moves_weight", firm.movesWeight },
            { "buffer_weight", firm.bufferWeight } };
    }

    json toJson(const Region& region) { return { { "name", region.name } }; }

    json toJson(const DataCentre& dataCentre)
    {
        return { { "name", dataCentre.name }, { "region", dataCentre.region } };
    }

    json toJson(const Rack& rack) { return { { "name", rack.name }, { "data_centre", rack.dataCentre } }; }

    json toJson(const Service& service)
    {
        return { { "name", service.name }, { "pool", service.pool }, { "availability", service.availability },
            { "window_hours", service.window.count() }, { "slots_per_instance", service.slotsPerInstance },
            { "connections_per_instance", service.connectionsPerInstance }, { "timeout_ms", service.timeout.count() },
            { "importance", service.importance } };
    }

    json toJson(const Pool& pool)
    {
        return { { "name", pool.name }, { "spare", pool.spare }, { "minimum_healthy", pool.minimumHealthy },
            { "maximum_out", pool.maximumOut }, { "drain_limit_ms", pool.drainLimit.count() } };
    }

    json toJson(const Instance& instance)
    {
        return { { "name", instance.name }, { "address", instance.address }, { "rack", instance.rack },
            { "pool", instance.pool }, { "cores", instance.cores }, { "memory_gb", instance.memoryGb },
            { "accelerators", instance.accelerators } };
    }

    json toJson(const Job& job)
    {
        return { { "name", job.name }, { "pool", job.pool }, { "team", job.team }, { "tasks", job.tasks },
            { "cores", job.cores }, { "memory_gb", job.memoryGb }, { "accelerators", job.accelerators },
            { "run_time_s", job.runTime.count() }, { "urgent", job.urgent } };
    }

    json toJson(const Team& team)
    {
        return { { "name", team.name }, { "cores", team.cores }, { "memory_gb", team.memoryGb },
            { "accelerators", team.accelerators } };
    }

    template <typename Rep, typename Period>
    void readField(const json& value, const char* field, std::chrono::duration<Rep, Period>& target)
    {
        target = std::chrono::duration<Rep, Period>(value.value(field, target.count()));
    }

    template <typename T> void readField(const json& value, const char* field, T& target)
    {
        target = value.value(field, target);
    }

    Firm decodeFirm(const json& value)
    {
        Firm firm;
        readField(value, "name", firm.name);
        readField(value, "roll_out_weight", firm.rollOutWeight);
        readField(value, "moves_weight", firm.movesWeight);
        readField(value, "buffer_weight", firm.bufferWeight);
        return firm;
    }

    Service decodeService(const json& value)
    {
        Service service;
        readField(value, "name", service.name);
        readField(value, "pool", service.pool);
        readField(value, "availability", service.availability);
        readField(value, "window_hours", service.window);
        readField(value, "slots_per_instance", service.slotsPerInstance);
        readField(value, "connections_per_instance", service.connectionsPerInstance);
        readField(value, "timeout_ms", service.timeout);
        readField(value, "importance", service.importance);
        return service;
    }

    Pool decodePool(const json& value)
    {
        Pool pool;
        readField(value, "name", pool.name);
        readField(value, "spare", pool.spare);
        readField(value, "minimum_healthy", pool.minimumHealthy);
        readField(value, "maximum_out", pool.maximumOut);
        readField(value, "drain_limit_ms", pool.drainLimit);
        return pool;
    }

    Instance decodeInstance(const json& value)
    {
        Instance instance;
        readField(value, "name", instance.name);
        readField(value, "address", instance.address);
        readField(value, "rack", instance.rack);
        readField(value, "pool", instance.pool);
        readField(value, "cores", instance.cores);
        readField(value, "memory_gb", instance.memoryGb);
        readField(value, "accelerators", instance.accelerators);
        return instance;
    }

    Job decodeJob(const json& value)
    {
        Job job;
        readField(value, "name", job.name);
        readField(value, "pool", job.pool);
        readField(value, "team", job.team);
        readField(value, "tasks", job.tasks);
        readField(value, "cores", job.cores);
        readField(value, "memory_gb", job.memoryGb);
        readField(value, "accelerators", job.accelerators);
        readField(value, "run_time_s", job.runTime);
        readField(value, "urgent", job.urgent);
        return job;
    }

    Team decodeTeam(const json& value)
    {
        Team team;
        readField(value, "name", team.name);
        readField(value, "cores", team.cores);
        readField(value, "memory_gb", team.memoryGb);
        readField(value, "accelerators", team.accelerators);
        return team;
    }

    const std::array<const char*, 3> actionNames { "add", "update", "remove" };

    ObjectKind parseListName(const std::string& name)
    {
        for (std::size_t index = 0; index < kindCount; ++index) {
            if (listNames()[index] == name)
                return static_cast<ObjectKind>(index);
        }
        throw json::other_error::create(501, "unknown object kind " + name, nullptr);
    }

    ObjectChange::Action parseActionName(const std::string& name)
    {
        for (std::size_t index = 0; index < actionNames.size(); ++index) {
            if (actionNames[index] == name)
                return static_cast<ObjectChange::Action>(index);
        }
        throw json::other_error::create(501, "unknown change action " + name, nullptr);
    }

} // namespace

const std::string& listName(ObjectKind kind) { return listNames().at(static_cast<std::size_t>(kind)); }

json encode(const Object& object)
{
    return std::visit([](const auto& alternative) { return toJson(alternative); }, object);
}

Object decode(ObjectKind kind, const json& value)
{
    switch (kind) {
    case ObjectKind::Firm:
        return decodeFirm(value);
    case ObjectKind::Region:
        return Region { value.at("name").get<std::string>() };
    case ObjectKind::DataCentre:
        return DataCentre { value.at("name").get<std::string>(), value.at("region").get<std::string>() };
    case ObjectKind::Rack:
        return Rack { value.at("name").get<std::string>(), value.at("data_centre").get<std::string>() };
    case ObjectKind::Service:
        return decodeService(value);
    case ObjectKind::Pool:
        return decodePool(value);
    case ObjectKind::Instance:
        return decodeInstance(value);
    case ObjectKind::Job:
        return decodeJob(value);
    case ObjectKind::Team:
        return decodeTeam(value);
    }
    throw json::other_error::create(501, "unknown object kind", nullptr);
}

json encodeChange(const ObjectChange& change)
{
    return { { "action", actionNames.at(static_cast<std::size_t>(change.action)) },
        { "kind", listName(kindOf(change.object)) }, { "object", encode(change.object) } };
}

ObjectChange decodeChange(const json& value)
{
    ObjectChange change;
    change.action = parseActionName(value.at("action").get<std::string>());
    change.object = decode(parseListName(value.at("kind").get<std::string>()), value.at("object"));
    return change;
}

json encodeSet(const DeclarationSet& set)
{
    json lists = json::object();
    for (const auto& [key, object] : set)
        lists[listName(key.kind)].push_back(encode(object));
    return lists;
}

DeclarationSet decodeSet(const json& value)
{
    DeclarationSet set;
    for (const auto& list : value.items()) {
        const ObjectKind kind = parseListName(list.key());
        for (const auto& item : list.value()) {
            Object object = decode(kind, item);
            ObjectKey key { kind, nameOf(object) };
            set.insert_or_assign(std::move(key), std::move(object));
        }
    }
    return set;
}

} // namespace turmericsill::declarations
