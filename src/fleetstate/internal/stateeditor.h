#pragma once

#include "fleetstate/types/fleetstate.h"

namespace turmericsill::fleetstate {

/// Edits an unpublished state. Parts that are shared with published states are cloned first (copy-on-write).
class StateEditor {
public:
    explicit StateEditor(FleetState& state)
        : state_(state)
    {
    }

    /// The pool for editing, cloned if it is shared; it must exist.
    PoolState& mutablePool(const std::string& name);

    /// Adds a pool or replaces its declaration; claim and instances stay.
    void addPool(const declarations::Pool& declared);
    void removePool(const std::string& name);

    /// Adds an instance to a pool or replaces it there, and updates the digests.
    void putInstance(const std::string& poolName, InstanceState instance);
    void removeInstance(const std::string& poolName, const std::string& name);

    /// Adds or replaces an object of a kind other than Pool and Instance.
    void putObject(const declarations::Object& object);
    void removeObject(declarations::ObjectKind kind, const std::string& name);

private:
    /// The table for editing, cloned if it is shared and created if there is none.
    ObjectTable& mutableTable(declarations::ObjectKind kind);

    FleetState& state_;
};

} // namespace turmericsill::fleetstate
