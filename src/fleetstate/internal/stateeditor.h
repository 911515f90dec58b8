#pragma once

#include "fleetstate/types/fleetstate.h"

namespace turmericsill::fleetstate {

/// Edits a state that nobody else sees yet; shared parts are cloned before they change.
class StateEditor {
public:
    explicit StateEditor(FleetState& state)
        : state_(state)
    {
    }

    /// A private copy of a pool, which must exist.
    PoolState& pool(const std::string& name);
    void addPool(const declarations::Pool& declared);
    void removePool(const std::string& name);

    /// Adds an instance to a pool or replaces it there; sets its digest.
    void putInstance(const std::string& poolName, InstanceState instance);
    void removeInstance(const std::string& poolName, const std::string& name);

    /// Adds or replaces an object of a kind other than Pool and Instance.
    void putObject(const declarations::Object& object);
    void removeObject(declarations::ObjectKind kind, const std::string& name);

private:
    ObjectTable& table(declarations::ObjectKind kind);

    FleetState& state_;
};

} // namespace turmericsill::fleetstate
