#pragma once

#include "fleetstate/types/fleetstate.h"

#include <string>

namespace turmericsill::fleetstate {

/// Checks the precondition of one record against the state at the record's offset and applies the record.
/// Each overload returns an empty string if the record takes effect, otherwise the reason for its rejection.
class RecordApplier {
public:
    RecordApplier(FleetState& state, std::uint64_t offset, const Record& record)
        : state_(state)
        , offset_(offset)
        , record_(record)
    {
    }

    std::string operator()(const ConfigChange& body);
    std::string operator()(const DrainRequest& body);
    std::string operator()(const DrainCancel& body);
    std::string operator()(const InstanceTransition& body);
    std::string operator()(const PoolClaim& body);
    std::string operator()(const EntryJoin& body);
    std::string operator()(const EntryAdmit& body);
    std::string operator()(const EntryLeave& body);
    std::string operator()(const DepartureResolved& body);

private:
    std::string checkChange(const declarations::ObjectChange& change) const;
    std::string checkPoolRemoval(const std::string& name, const ConfigChange& body) const;
    void applyChange(const declarations::ObjectChange& change);
    void applyInstanceChange(const declarations::ObjectChange& change);
    /// Stores a changed declaration. A change of pool only starts a drain.
    void updateInstance(const declarations::Instance& declared);
    /// Starts the drain that precedes a removal; the controller's transition removes the instance.
    void startRemoval(const std::string& name);
    /// Moves a drained instance to its declared pool and returns it to service.
    std::string moveInstance(const InstanceState& instance, const std::string& fromPool);
    /// Stores an instance whose version becomes the offset after this record.
    void storeNewVersion(const std::string& pool, InstanceState instance);
    /// Operator and id of the last accepted configuration change, for rejection messages.
    std::string lastConfigChangeAuthor() const;

    FleetState& state_;
    std::uint64_t offset_;
    const Record& record_;
};

} // namespace turmericsill::fleetstate
