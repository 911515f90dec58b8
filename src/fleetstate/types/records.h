#pragma once

#include "declarations/types/objects.h"
#include "foundation/iclock.h"

#include <cstdint>
#include <string>
#include <variant>

namespace turmericsill::fleetstate {

/// Lifecycle of an instance.
enum class Lifecycle : std::uint8_t {
    Serving, ///< The instance receives the work of its pool.
    Draining, ///< The instance receives no new work and finishes requests in progress.
    Stopped, ///< The instance is drained and handed over to the platform for a reboot.
};

/// Reason for draining an instance.
enum class DrainPurpose : std::uint8_t { None, Reboot, Move, Remove };

/// Changes declared objects. Precondition: `baseVersion` is the current configuration version.
struct ConfigChange {
    std::uint64_t baseVersion = 0;
    std::string operatorName;
    std::string reason;
    declarations::ObjectChanges changes;
};

/// Starts draining an instance for a reboot. Preconditions: the instance is serving and at `instanceVersion`, and its
/// pool stays within its minimum_healthy and maximum_out.
struct DrainRequest {
    std::string instance;
    std::uint64_t instanceVersion = 0;
    std::string operatorName;
    std::string reason;
};

/// Cancels a drain and returns the instance to service.
/// Precondition: the instance is draining for a reboot and at `instanceVersion`.
struct DrainCancel {
    std::string instance;
    std::uint64_t instanceVersion = 0;
    std::string operatorName;
};

/// Next lifecycle state of an instance that is not serving, decided by the controller of its pool.
/// Preconditions: the writer holds the claim to the pool at `epoch`, and the instance is at `instanceVersion`.
struct InstanceTransition {
    std::string instance;
    std::uint64_t instanceVersion = 0;
    std::string pool;
    std::uint64_t epoch = 0;
    Lifecycle targetLifecycle = Lifecycle::Serving;
};

/// Claims control of a pool. Preconditions: `expectedEpoch` is the current epoch of the claim, the holder of that claim
/// is no longer a member, and the claimant is admitted.
struct PoolClaim {
    std::string pool;
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t expectedEpoch = 0;
};

/// Announces an entry instance. A newer incarnation of the same name replaces the older one.
struct EntryJoin {
    std::string entry;
    std::uint64_t incarnation
        = 0; ///< Wall-clock time at the start of the process, in milliseconds since the Unix epoch.
    std::string dataCentre;
    std::string peerAddress;
    std::string callerAddress;
};

/// Admits a joined entry to decisions. Precondition: `sponsor` is admitted, or no entry is (bootstrap).
struct EntryAdmit {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string sponsor;
};

/// Removes an entry instance from the roster. A planned leave must be written by the entry itself. Otherwise
/// `removedBy` must be an admitted member, or any member if the instance list proves that the entry is gone.
struct EntryLeave {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string removedBy;
    bool planned = false;
    bool provenGone = false; ///< The platform's instance list proves that the entry is gone.
};

/// States that an entry that was removed without a planned leave can no longer be running.
/// Precondition: the departure is unresolved.
struct DepartureResolved {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string resolvedBy; ///< Entry that established this.
};

using RecordBody = std::variant<ConfigChange, DrainRequest, DrainCancel, InstanceTransition, PoolClaim, EntryJoin,
    EntryAdmit, EntryLeave, DepartureResolved>;

/// One record of the fleet log, which is a stream of the platform's log.
struct Record {
    std::string id; ///< Unique id; a record whose id was applied before is ignored.
    std::string writer; ///< Entry that appended the record.
    foundation::WallTime writtenAt; ///< Wall-clock time for display only; no decision depends on it.
    RecordBody body;
};

/// Result of applying a record at its offset in the log.
struct ApplyResult {
    std::string recordId; ///< Empty if the payload was malformed.
    bool accepted = false;
    bool duplicate = false; ///< The id was applied before; the record was ignored.
    std::string reason; ///< Why the record was a no-op; empty if it was accepted.
};

} // namespace turmericsill::fleetstate
