#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace turmericsill::declarations {

/// A firm and the weights by which its policy chooses between alternatives. They need not add up to one.
struct Firm {
    std::string name;
    double rollOutWeight = 1;
    double movesWeight = 1;
    double bufferWeight = 1;
};

struct Region {
    std::string name;
};

struct DataCentre {
    std::string name;
    std::string region;
};

struct Rack {
    std::string name;
    std::string dataCentre;
};

/// A service that callers address as "/NAME/...".
struct Service {
    std::string name;
    std::string pool;
    double availability = 0.999; ///< Fraction of requests that must be answered within the window.
    std::chrono::hours window { 720 };
    std::uint32_t slotsPerInstance = 8; ///< Maximum number of concurrent requests per instance.
    std::uint32_t connectionsPerInstance = 64;
    std::chrono::milliseconds timeout { 10000 }; ///< Request timeout when the caller specifies none.
    std::uint32_t importance = 0; ///< Under overload, requests of services with a lower importance are shed first.
};

struct Pool {
    std::string name;
    bool spare = false; ///< Whether the pool lends its instances to other pools.
    std::uint32_t minimumHealthy = 1; ///< Number of serving instances that planned maintenance must leave.
    std::uint32_t maximumOut = 1; ///< Maximum number of instances out for planned maintenance at once.
    /// Time after which a drain is reported as overdue. A drain is never forced, so that no request in progress is
    /// aborted.
    std::chrono::milliseconds drainLimit { 60000 };
};

/// An endpoint instance (worker) and the pool that it is assigned to.
struct Instance {
    std::string name;
    std::string address;
    std::string rack;
    std::string pool;
    std::uint32_t cores = 0;
    std::uint32_t memoryGb = 0;
    std::uint32_t accelerators = 0;
};

struct Job {
    std::string name;
    std::string pool;
    std::string team;
    std::uint32_t tasks = 1;
    double cores = 1;
    double memoryGb = 1;
    std::uint32_t accelerators = 0;
    std::chrono::seconds runTime { 0 }; ///< Declared run time; a job with 0 runs until it is cancelled.
    bool urgent = false;
};

/// A team and its resource quota: the total resources that its jobs may hold at once.
struct Team {
    std::string name;
    std::uint32_t cores = 0;
    std::uint32_t memoryGb = 0;
    std::uint32_t accelerators = 0;
};

using Object = std::variant<Firm, Region, DataCentre, Rack, Service, Pool, Instance, Job, Team>;

/// Kinds of declared objects, in the order of the alternatives of Object.
enum class ObjectKind : std::uint8_t { Firm, Region, DataCentre, Rack, Service, Pool, Instance, Job, Team };

inline ObjectKind kindOf(const Object& object) { return static_cast<ObjectKind>(object.index()); }

inline const std::string& nameOf(const Object& object)
{
    return std::visit([](const auto& alternative) -> const std::string& { return alternative.name; }, object);
}

/// Unique key of a declared object.
struct ObjectKey {
    ObjectKind kind;
    std::string name;

    bool operator<(const ObjectKey& other) const { return kind != other.kind ? kind < other.kind : name < other.name; }
    bool operator==(const ObjectKey& other) const { return kind == other.kind && name == other.name; }
};

/// All objects that are declared, by key.
using DeclarationSet = std::map<ObjectKey, Object>;

/// One difference between two declaration sets.
struct ObjectChange {
    enum class Action : std::uint8_t { Add, Update, Remove };

    Action action = Action::Add;
    Object object; ///< New value, or the old value for Action::Remove.
};

using ObjectChanges = std::vector<ObjectChange>;

} // namespace turmericsill::declarations
