#pragma once

#include "fleetstate/types/fleetstate.h"

#include <string>

namespace turmericsill::fleetstate {

/// Decides one record against the state at its place in the log and carries it out.
/// Each overload returns an empty string when the record takes effect, otherwise the reason why it does not.
class RecordDecider {
public:
    RecordDecider(FleetState& state, std::uint64_t offset, const Record& record)
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
    void carryOut(const declarations::ObjectChange& change);
    void carryOutInstance(const declarations::ObjectChange& change);
    void updateInstance(const declarations::Instance& declared);
    void removeInstance(const std::string& name);
    std::string moveInstance(const InstanceState& instance, const std::string& fromPool);
    void putChanged(const std::string& pool, InstanceState instance);
    std::string lastChangeBy() const;

    FleetState& state_;
    std::uint64_t offset_;
    const Record& record_;
};

} // namespace turmericsill::fleetstate
