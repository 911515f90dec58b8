#pragma once

#include "control/controller.h"
#include "control/fleetsteward.h"
#include "eventlog/icontrolgroup.h"
#include "fleet/imachinecontrol.h"

#include <memory>
#include <string>

namespace turmericsill::control {

/// Who this process is.
struct EntryIdentity {
    std::string entry;
    std::uint32_t processorShare = 0; ///< Of its machine, in thousandths of a core.
    std::uint64_t incarnation = 0; ///< Start of the process, in milliseconds since 1970.
    std::string address; ///< Where it tells whether it controls.
};

/// Keeps this entry in the group of entries, and controls the fleet when it is the candidate and nobody else controls.
/// The candidate is the member with the largest share of a processor, the first by name among equals.
///
/// Control begins with a claim in the log under an epoch above every earlier one, once all that stands before the claim
/// was read. It ends when the group no longer counts this entry as alive, the log fences it, an instance
/// has seen a higher token, or a member is there that has at least twice this entry's share of a processor; not when
/// another one becomes the candidate, since each change costs the fleet some time without a controller.
class ControlDuty {
public:
    ControlDuty(const ControllerContext& context, eventlog::IControlGroup& group, fleet::IMachineControl& machines,
        const ControlSettings& settings, EntryIdentity identity);

    ControlDuty(const ControlDuty&) = delete;
    ControlDuty& operator=(const ControlDuty&) = delete;

    void start();

    /// Hands control over and leaves the group.
    void stop(std::function<void()> done);

    void setConfiguration(const fleet::FleetConfiguration& configuration);
    void onTableChanged();

    /// A wave of upkeep that operators asked for.
    void addWave(const fleet::UpkeepWave& wave);

    bool isController() const { return controller_ != nullptr; }

    /// Takes callers' encoded records while this entry controls. Errc::Unavailable: it does not, or the log does not
    /// answer it; any other error leaves open whether they are stored. Errc::InvalidInput: no callers' records.
    void store(const std::vector<std::string>& records, eventlog::ISubmissionPath::StoreCallback done);

    /// Whether what this entry knows of a job's submission, cancellation and end stands in the log.
    bool isStored(jobs::JobId job) const { return !controller_ || controller_->isStored(job); }

    /// What this entry says of its control when another one asks.
    PeerControlState state() const;

    /// Whether the platform's store has answered this entry just now.
    bool isStoreAnswering() const;

    /// How long the store took to answer the latest join.
    foundation::milliseconds storeLatency() const { return storeLatency_; }

    /// When the group last confirmed this entry's membership.
    foundation::SteadyTime confirmedAt() const { return confirmedAt_; }

private:
    void join();
    void scheduleJoin(foundation::SteadyTime earliest);
    void onJoined(const foundation::Result<eventlog::GroupAssignment>& assignment, foundation::SteadyTime sentAt);
    void lookAtMembers();
    void onMembers(const std::vector<eventlog::GroupMember>& members);
    void considerClaim(const std::vector<eventlog::GroupMember>& members);
    void askHolder(const jobs::Claimed& holder);
    void beginClaim();
    void appendClaim();
    void onClaimAppended(const foundation::Result<eventlog::AppendReceipt>& answer, const jobs::Claimed& claim);
    void beginControl(const jobs::Claimed& claim);
    void endControl(const std::string& reason);
    void retryClaim();
    ControlConfidence confidence() const;
    void tick();

    ControllerContext context_;
    eventlog::IControlGroup& group_;
    fleet::IMachineControl& machines_;
    ControlSettings settings_;
    EntryIdentity identity_;
    fleet::FleetConfiguration configuration_;
    std::map<std::uint64_t, fleet::UpkeepWave> waves_;
    std::unique_ptr<Controller> controller_;
    std::unique_ptr<FleetSteward> steward_; ///< Of the controller.
    std::uint64_t generation_ = 0;
    std::uint64_t lowestEpoch_ = 0; ///< Epochs below were refused.
    foundation::SteadyTime confirmedAt_ {};
    foundation::milliseconds storeLatency_ { 0 };
    bool lastJoinFailed_ = false;
    bool isCandidate_ = false;
    bool membersUnknown_ = true; ///< Nobody has told who is in this generation.
    bool isLookingAtMembers_ = false;
    bool isClaiming_ = false;
    bool isStopping_ = false;
};

} // namespace turmericsill::control
