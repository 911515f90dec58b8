#pragma once

#include "declarations/types/objects.h"
#include "foundation/iclock.h"

#include <cstdint>
#include <string>
#include <variant>

namespace turmericsill::fleetstate {

/// Where an instance stands between serving and being away.
enum class Lifecycle : std::uint8_t {
    Serving, ///< Receives work of its pool.
    Draining, ///< Receives no new work; requests in progress finish.
    Stopped, ///< Handed to the platform for a reboot.
};

/// Why an instance drains.
enum class DrainPurpose : std::uint8_t { None, Reboot, Move, Remove };

/// Changes what is declared. Precondition: `baseVersion` is the current configuration version.
struct ConfigChange {
    std::uint64_t baseVersion = 0;
    std::string operatorName;
    std::string reason;
    declarations::ObjectChanges changes;
};

/// Takes an instance out for a reboot. Precondition: the instance serves at `instanceVersion`.
struct DrainRequest {
    std::string instance;
    std::uint64_t instanceVersion = 0;
    std::string operatorName;
    std::string reason;
};

/// Returns a draining instance to service. Precondition: it drains for a reboot at `instanceVersion`.
struct DrainCancel {
    std::string instance;
    std::uint64_t instanceVersion = 0;
    std::string operatorName;
};

/// Next step of an instance's planned work, decided by the controller of its pool.
/// Preconditions: the writer holds the pool's claim at `epoch`, the instance is at `instanceVersion`.
struct InstanceTransition {
    std::string instance;
    std::uint64_t instanceVersion = 0;
    std::string pool;
    std::uint64_t epoch = 0;
    Lifecycle to = Lifecycle::Serving;
};

/// Takes control of a pool. Preconditions: `expectedEpoch` is current, its holder has departed, the claimant is
/// admitted.
struct PoolClaim {
    std::string pool;
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t expectedEpoch = 0;
};

/// Announces an entry instance. A newer incarnation of the same name replaces the older one.
struct EntryJoin {
    std::string entry;
    std::uint64_t incarnation = 0; ///< Milliseconds of calendar time at the process's start.
    std::string dataCentre;
    std::string peerAddress;
    std::string callerAddress;
};

/// Lets a joined entry take part in decisions. Precondition: `sponsor` is admitted, or nobody is.
struct EntryAdmit {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string sponsor;
};

/// Removes an entry instance. A planned leave is written by the entry itself;
/// otherwise `by` must be admitted, or any member that has proof from the instance list.
struct EntryLeave {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string by;
    bool planned = false;
    bool provenGone = false; ///< The instance list listed the entry and no longer does.
};

/// States that an entry which was removed without a planned leave can no longer be at work.
/// Precondition: the departure is unresolved.
struct DepartureResolved {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string by;
};

using RecordBody = std::variant<ConfigChange, DrainRequest, DrainCancel, InstanceTransition, PoolClaim, EntryJoin,
    EntryAdmit, EntryLeave, DepartureResolved>;

/// One record of the system's stream in the platform's log.
struct Record {
    std::string id; ///< Unique; a repeated id is folded once.
    std::string writer; ///< Entry that appended it.
    foundation::WallTime writtenAt; ///< Informative; no decision depends on it.
    RecordBody body;
};

/// What the fold decided about a record at its place in the log.
struct Verdict {
    std::string recordId; ///< Empty when the payload was malformed.
    bool accepted = false;
    bool duplicate = false;
    std::string reason; ///< Why the record was a no-op.
};

} // namespace turmericsill::fleetstate
