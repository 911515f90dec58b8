#pragma once

#include "fleetstate/types/records.h"

#include <array>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::fleetstate {

/// State of one instance according to the log.
struct InstanceState : boost::intrusive_ref_counter<InstanceState> {
    declarations::Instance declared;
    Lifecycle lifecycle = Lifecycle::Serving;
    DrainPurpose purpose = DrainPurpose::None;
    std::uint64_t version = 0; ///< Offset of the last record that changed the instance, plus one.
    std::uint64_t digest = 0; ///< Digest of all other members.
};

using InstancePtr = boost::intrusive_ptr<const InstanceState>;

/// Claim of an entry to control a pool. The epoch increases with each claim and is never reused, so it serves as a
/// fencing token.
struct Claim {
    std::string holder;
    std::uint64_t incarnation = 0; ///< Incarnation of the holder.
    std::uint64_t epoch = 0; ///< Number of claims so far; 0 if the pool was never claimed.
};

/// State of one pool and of the instances that belong to it now.
struct PoolState : boost::intrusive_ref_counter<PoolState> {
    declarations::Pool declared;
    Claim claim;
    std::map<std::string, InstancePtr> instances;
    std::map<std::string, InstancePtr> outOfService; ///< The members of `instances` that are draining or stopped.
    std::uint64_t instancesDigest = 0; ///< Sum of the digests of all instances, maintained incrementally.
};

using PoolPtr = boost::intrusive_ptr<const PoolState>;

/// Shared declared object of a kind other than Pool and Instance.
struct DeclaredObject : boost::intrusive_ref_counter<DeclaredObject> {
    declarations::Object object;
    std::uint64_t digest = 0;
};

/// All declared objects of one kind by name.
struct ObjectTable : boost::intrusive_ref_counter<ObjectTable> {
    std::map<std::string, boost::intrusive_ptr<const DeclaredObject>> objects;
    std::uint64_t digest = 0; ///< Sum of the digests of all objects, maintained incrementally.
};

using ObjectTablePtr = boost::intrusive_ptr<const ObjectTable>;

/// Member of the roster: an entry instance that has joined.
struct EntryMember {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string peerAddress;
    std::string callerAddress;
    bool admitted = false; ///< Whether the entry takes part in decisions.
    std::uint64_t joinOffset = 0; ///< Offset of the EntryJoin record.
};

/// Entry instance that was removed without a planned leave and may still be running.
struct Departure {
    std::string entry;
    std::uint64_t incarnation = 0;
};

/// Outcome of an operator's record, as kept in the history.
struct ChangeSummary : boost::intrusive_ref_counter<ChangeSummary> {
    std::string id;
    std::string kind;
    std::string writer;
    std::string operatorName;
    std::string subject;
    std::uint64_t offset = 0;
    std::uint64_t version = 0; ///< Configuration version after the record was applied.
    std::int64_t writtenAtMs = 0;
    bool accepted = false;
    std::string reason; ///< Why the record was rejected; empty if it was accepted.
};

using ChangeSummaryPtr = boost::intrusive_ptr<const ChangeSummary>;

/// State of the fleet after applying a prefix of the log. Immutable once published; versions share unchanged parts.
class FleetState : public boost::intrusive_ref_counter<FleetState> {
public:
    std::uint64_t nextOffset = 0; ///< First offset that is not applied yet.
    std::uint64_t configVersion = 0; ///< Number of accepted configuration changes.
    std::uint64_t rosterVersion = 0; ///< Number of changes of the roster so far.
    std::uint64_t admissions = 0; ///< Number of admissions so far; while it is 0, no request can have been run.
    std::map<std::string, PoolPtr> pools;

    /// Tables of declared objects by ObjectKind; null while no object of the kind was ever declared.
    std::array<ObjectTablePtr, std::variant_size_v<declarations::Object>> tables;

    std::map<std::string, EntryMember> roster;
    std::vector<Departure> departures; ///< Unresolved departures, newest last.
    std::vector<ChangeSummaryPtr> history; ///< Most recent records of operators, newest last; bounded.

    /// Finds an instance and, if `poolName` is given, its pool; null if the instance does not exist.
    InstancePtr findInstance(const std::string& name, std::string* poolName = nullptr) const;

    /// Finds a pool; null if it does not exist.
    PoolPtr findPool(const std::string& name) const;

    const ObjectTablePtr& objectTable(declarations::ObjectKind kind) const
    {
        return tables.at(static_cast<std::size_t>(kind));
    }

    /// Finds a declared object of a kind other than Pool and Instance; null if it does not exist.
    const declarations::Object* findObject(declarations::ObjectKind kind, const std::string& name) const;
    const declarations::Service* findService(const std::string& name) const;

    /// Finds a member of the roster; null if the entry is not a member with this incarnation.
    const EntryMember* findMember(const std::string& entry, std::uint64_t incarnation) const;

    /// Names of the admitted members in lexicographic order.
    std::vector<std::string> admittedEntries() const;

    /// Whether the holder of the claim is still a member with the incarnation that claimed.
    bool isClaimHeld(const Claim& claim) const;

    /// All declared objects, for planning configuration changes. Instances that are being removed are left out.
    declarations::DeclarationSet declarationSet() const;

    /// Digest of the state, equal on all entries that have applied the same records; detects divergence.
    std::uint64_t digest() const;
};

using FleetStatePtr = boost::intrusive_ptr<const FleetState>;

} // namespace turmericsill::fleetstate
