#pragma once

#include "control/controller.h"
#include "control/machinemanager.h"
#include "eventlog/icontrolgroup.h"
#include "fleet/imachinecontrol.h"

#include <memory>
#include <optional>
#include <string>

namespace turmericsill::control {

/// Identifies the process of an entry.
struct EntryIdentity {
    std::string entry;
    std::uint32_t processorShare = 0; ///< Share of its machine's processor, in thousandths of a core.
    std::uint64_t incarnation = 0; ///< Start time of the process, in milliseconds since 1970.
    std::string address; ///< Address at which other entries query whether it is the controller.
};

/// Leader election of the entries. Keeps this entry in the group of entries and runs the Controller while this entry is
/// the leader. The candidate for leadership is the member with the largest processor share; ties go to the first by
/// name. An entry that cannot read the log to its end withdraws from the group, since it could not claim control as the
/// candidate.
///
/// A candidate becomes the controller, if no other entry is, by appending a claim to the log under an epoch (its
/// fencing token) above every earlier one and reading all records before the claim. It stops being the controller when
/// the group no longer counts it as alive, when the log fences it, when an instance has seen a higher token, or when a
/// member has at least twice its processor share. It stays the controller when another entry merely becomes the
/// candidate, because the fleet has no controller for some time during each change.
class ControllerElection {
public:
    ControllerElection(const ControllerContext& context, eventlog::IControlGroup& group,
        fleet::IMachineControl& machines, const ControlSettings& settings, EntryIdentity identity);

    ControllerElection(const ControllerElection&) = delete;
    ControllerElection& operator=(const ControllerElection&) = delete;

    void start();

    /// Stops controlling the fleet and leaves the group.
    void stop(std::function<void()> done);

    void setConfiguration(const fleet::FleetConfiguration& configuration);

    /// Called after the follower has applied new records to the table of jobs.
    void onTableChanged();

    /// Adds a maintenance wave that operators declared.
    void addWave(const fleet::MaintenanceWave& wave);

    bool isController() const { return controller_ != nullptr; }

    /// Stores callers' encoded records if this entry is the controller. Errc::Unavailable: it is not, or the log does
    /// not respond, and nothing was stored. Errc::InvalidInput: a record is neither a submission nor a cancellation.
    /// After any other error the records may or may not be stored. None is rejected unless `acceptsRejections`, which
    /// says that the sender of the records understands rejections.
    void store(
        const std::vector<std::string>& records, bool acceptsRejections, eventlog::ISubmissionPath::StoreCallback done);

    /// Whether the log holds everything that this entry knows of a job's submission, cancellation and end.
    bool isStored(jobs::JobId job) const { return !controller_ || controller_->isStored(job); }

    /// Answer to another entry that queries whether this one is the controller. The latest claim in it never decreases,
    /// as far as it is known, since controllers and their successors rely on it; see LeaseAuthority.
    PeerControlState state() const;

    /// Whether the platform's store currently responds to this entry, judged by joins and log reads.
    bool isStoreAnswering() const;

    /// Time that the store took to answer the latest join.
    foundation::milliseconds storeLatency() const { return storeLatency_; }

    /// Time at which the latest join that the group confirmed was sent.
    foundation::SteadyTime membershipConfirmedAt() const { return membershipConfirmedAt_; }

private:
    void join();
    void scheduleJoin(foundation::SteadyTime earliest);
    void onJoined(const foundation::Result<eventlog::GroupAssignment>& assignment, foundation::SteadyTime sentAt);
    void withdrawIfUnableToClaim();
    void skipDroppedRecordsUnlessHeld();
    void fetchMembers();
    void onMembers(const std::vector<eventlog::GroupMember>& members);
    std::vector<jobs::ControlWitness> chooseWitnesses() const;
    void claimUnlessHeld(const std::vector<eventlog::GroupMember>& members);
    void queryHolder(const jobs::ControlClaimed& holder);
    void beginClaim();
    void appendClaim();
    void onClaimAppended(const foundation::Result<eventlog::AppendReceipt>& answer, const jobs::ControlClaimed& claim);
    void beginControl(const jobs::ControlClaimed& claim);
    void endControl(const std::string& reason);
    void retryClaim();
    ControlStatus controlStatus() const;
    void tick(foundation::SteadyTime scheduledAt);
    void scheduleTick();

    ControllerContext context_;
    eventlog::IControlGroup& group_;
    fleet::IMachineControl& machines_;
    ControlSettings settings_;
    EntryIdentity identity_;
    fleet::FleetConfiguration configuration_;
    std::map<std::uint64_t, fleet::MaintenanceWave> waves_;
    std::unique_ptr<Controller> controller_;
    std::unique_ptr<MachineManager> machineManager_; ///< Exists as long as `controller_` does.
    std::uint64_t generation_ = 0;
    std::uint64_t minimumEpoch_ = 0; ///< Lower epochs have been used or refused.
    std::uint64_t latestTriedEpoch_ = 0; ///< Highest epoch under which this entry has tried to claim control.
    std::vector<eventlog::GroupMember> members_; ///< The latest list of the group's members.
    foundation::SteadyTime membershipConfirmedAt_ {};
    foundation::milliseconds storeLatency_ { 0 };
    bool hasLastJoinFailed_ = false;
    /// Since when the group has had no member, as far as an entry that cannot build the table knows.
    std::optional<foundation::SteadyTime> groupEmptySince_;
    bool isCandidate_ = false;
    foundation::SteadyTime candidateSince_ {}; ///< Meaningful while `isCandidate_`.
    bool isWithdrawn_ = false; ///< Whether this entry does not join until it has reached the end of the log.
    bool isMemberListStale_ = true; ///< The members of the present generation are not known yet.
    bool isFetchingMembers_ = false;
    bool isClaiming_ = false;
    bool isStopping_ = false;
};

} // namespace turmericsill::control
