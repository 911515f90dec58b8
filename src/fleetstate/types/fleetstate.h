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

/// One instance as the log has it.
struct InstanceState : boost::intrusive_ref_counter<InstanceState> {
    declarations::Instance declared;
    Lifecycle lifecycle = Lifecycle::Serving;
    DrainPurpose purpose = DrainPurpose::None;
    std::uint64_t version = 0; ///< Offset after the record that last changed the instance.
    std::uint64_t digest = 0;
};

using InstancePtr = boost::intrusive_ptr<const InstanceState>;

/// Who controls a pool. The epoch rises with each claim and is never reused.
struct Claim {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
};

/// One pool with the instances that belong to it now.
struct PoolState : boost::intrusive_ref_counter<PoolState> {
    declarations::Pool declared;
    Claim claim;
    std::map<std::string, InstancePtr> instances;
    std::map<std::string, InstancePtr> away; ///< Those of `instances` that do not serve.
    std::uint64_t instancesDigest = 0; ///< Sum of the instances' digests.
};

using PoolPtr = boost::intrusive_ptr<const PoolState>;

/// A declared object other than pools and instances.
struct ObjectHolder : boost::intrusive_ref_counter<ObjectHolder> {
    declarations::Object object;
    std::uint64_t digest = 0;
};

/// All objects of one kind.
struct ObjectTable : boost::intrusive_ref_counter<ObjectTable> {
    std::map<std::string, boost::intrusive_ptr<const ObjectHolder>> objects;
    std::uint64_t digest = 0;
};

using ObjectTablePtr = boost::intrusive_ptr<const ObjectTable>;

/// An entry instance that takes part.
struct EntryMember {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string peerAddress;
    std::string callerAddress;
    bool admitted = false;
    std::uint64_t joinedAt = 0; ///< Offset of the join.
};

/// An entry instance that was removed without a planned leave of its own and may still be at work.
struct Departure {
    std::string entry;
    std::uint64_t incarnation = 0;
};

/// What became of an operator's or a controller's record.
struct ChangeSummary : boost::intrusive_ref_counter<ChangeSummary> {
    std::string id;
    std::string kind;
    std::string writer;
    std::string operatorName;
    std::string subject;
    std::uint64_t offset = 0;
    std::uint64_t version = 0; ///< Configuration version after the record.
    std::int64_t writtenAtMs = 0;
    bool accepted = false;
    std::string reason;
};

using ChangeSummaryPtr = boost::intrusive_ptr<const ChangeSummary>;

/// State of the fleet after a prefix of the log. Immutable once published; parts are shared between versions.
class FleetState : public boost::intrusive_ref_counter<FleetState> {
public:
    std::uint64_t nextOffset = 0; ///< First offset that is not folded yet.
    std::uint64_t configVersion = 0;
    std::uint64_t rosterVersion = 0;
    std::uint64_t admissions = 0; ///< Entries ever admitted; 0: no request was ever run.
    std::map<std::string, PoolPtr> pools;
    std::array<ObjectTablePtr, std::variant_size_v<declarations::Object>> tables;
    std::map<std::string, EntryMember> roster;
    std::vector<Departure> departures; ///< Unresolved; newest last.
    std::vector<ChangeSummaryPtr> history; ///< Newest last, bounded.

    /// Finds an instance and the pool that it belongs to; null when there is none.
    InstancePtr findInstance(const std::string& name, std::string* poolName = nullptr) const;

    /// A pool; null when there is none.
    PoolPtr findPool(const std::string& name) const;

    const ObjectTablePtr& tableOf(declarations::ObjectKind kind) const
    {
        return tables.at(static_cast<std::size_t>(kind));
    }

    /// The declared object of a kind other than Pool and Instance; null when there is none.
    const declarations::Object* findObject(declarations::ObjectKind kind, const std::string& name) const;
    const declarations::Service* findService(const std::string& name) const;

    const EntryMember* findMember(const std::string& entry, std::uint64_t incarnation) const;

    /// Names of the admitted members, in lexical order.
    std::vector<std::string> admittedEntries() const;

    /// Whether the claim's holder still takes part.
    bool isHeld(const Claim& claim) const;

    /// Everything that is declared, for planning.
    declarations::DeclarationSet declarationSet() const;

    /// Equal on every entry that folded the same records.
    std::uint64_t digest() const;
};

using FleetStatePtr = boost::intrusive_ptr<const FleetState>;

} // namespace turmericsill::fleetstate
