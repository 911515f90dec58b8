#pragma once

#include "control/controller.h"
#include "control/internal/deferredmaintenance.h"
#include "control/internal/demandtrend.h"
#include "control/internal/evacuationplanner.h"
#include "fleet/imachinecontrol.h"
#include "scheduling/types/fleetview.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::control {

/// Moves machines between pools and carries out waves of planned maintenance for the controller.
/// A machine gets one order at a time. Before its maintenance a machine is evacuated: its instance is cordoned,
/// long-running tasks are relocated within their disruption budgets, and other tasks are left to finish. A machine that
/// cannot be evacuated is not cordoned: it stays in service, and its maintenance is deferred.
class MachineManager {
public:
    /// No orders are sent before `ordersAllowedAt`, to keep ControlSettings::holderInterval after those of the former
    /// controller. `isControlConfirmed` tells whether no other controller can have taken over.
    MachineManager(const ControllerContext& context, fleet::IMachineControl& machines, Controller& controller,
        const ControlSettings& settings, foundation::SteadyTime ordersAllowedAt,
        std::function<bool()> isControlConfirmed);
    ~MachineManager();

    MachineManager(const MachineManager&) = delete;
    MachineManager& operator=(const MachineManager&) = delete;

    void setConfiguration(const fleet::FleetConfiguration& configuration) { configuration_ = configuration; }

    /// Adds a wave that operators declared.
    void addWave(const fleet::MaintenanceWave& wave);

    /// Periodic work: lists the machines, plans waves and moves, sends orders.
    void tick();

private:
    /// A wave and its progress.
    struct Wave {
        fleet::MaintenanceWave declared;
        foundation::SteadyTime deadline;
        bool isReported = false; ///< Reported to the operators as running.
        bool isCompleted = false; ///< Reported to the operators as completed.
        bool isReporting = false; ///< Whether a report is pending.
    };

    enum class OperationKind { Evacuation, Maintenance, PoolChange };

    /// Planned or ordered operation on a machine.
    struct MachineOperation {
        OperationKind kind = OperationKind::Evacuation;
        std::uint64_t wave = 0; ///< Number of the wave; 0 for OperationKind::PoolChange.
        std::string targetPool; ///< Set for OperationKind::PoolChange.
        std::string instance; ///< Instance that ran on the machine when it was ordered down.
        jobs::Resources capacity;
        foundation::SteadyTime since; ///< Time of the latest change of state, or progress of an evacuation.
        bool isInProgress = false; ///< The order was accepted, or an order to move was not answered.
        bool isRequestPending = false; ///< The answer to the order is pending.
        bool wasSeenDown = false;
        /// Requested by the tasks that have no place in their pool, and that pool; for OperationKind::Evacuation.
        jobs::Resources unplaced;
        std::string unplacedPool;
        /// Since when no order for maintenance was answered, and whether one of them may still be carried out.
        std::optional<foundation::SteadyTime> orderFailingSince;
        bool hasUnansweredOrder = false;
    };

    /// Authority for orders that lasts as long as this controller is in control.
    fleet::MachineOrderAuthority authority() const;
    void listMachines();
    void onListed(std::vector<fleet::MachineReport> machines, foundation::SteadyTime requestedAt);
    milliseconds listInterval() const;
    void removeFinishedOperations();
    bool isFinished(const std::string& machine, const MachineOperation& operation);
    bool hasArrived(const std::string& machine, const MachineOperation& operation);
    void closeIdleInstance(const std::string& instance);
    void planWaves();
    void planWave(Wave& wave);
    bool canEvacuate(const std::string& machine, std::uint64_t wave);
    void beginEvacuation(const std::string& machine, std::uint64_t wave, std::uint32_t underWay);
    void cancelEvacuation(const std::string& machine, const BlockedEvacuation& blocked);
    void beginEvacuationTick();
    void evacuateMachines();
    void evacuateDrainingInstances();
    void evacuateMachine(const std::string& machine, MachineOperation& operation);
    void requestMaintenance(const std::string& machine, MachineOperation& operation);
    void onMaintenanceNotOrdered(
        const std::string& machine, MachineOperation& operation, const foundation::Error& error);
    void reportWave(Wave& wave, bool completed);
    std::map<std::string, scheduling::PoolDemand> poolDemands();
    void reportDemands(const std::map<std::string, scheduling::PoolDemand>& demands);
    void planMoves();
    std::vector<scheduling::MachineView> movableMachines() const;
    void requestMove(const scheduling::Move& move);
    void updateCordoned();
    const fleet::MachineReport* find(const std::string& machine) const;
    InstanceSessionPtr sessionOf(const fleet::MachineReport& machine) const;
    bool isStandby(const std::string& pool) const;

    ControllerContext context_;
    fleet::IMachineControl& machineControl_;
    Controller& controller_;
    ControlSettings settings_;
    foundation::SteadyTime ordersAllowedAt_;
    std::function<bool()> isControlConfirmed_;
    EvacuationPlanner evacuationPlanner_;
    DeferredMaintenance deferredMaintenance_;
    fleet::FleetConfiguration configuration_;
    std::map<std::string, fleet::MachineReport> machines_;
    std::map<std::string, MachineOperation> operations_; ///< Key: machine name.
    std::map<std::uint64_t, Wave> waves_; ///< Key: wave number.
    std::map<std::string, DemandTrend> trends_; ///< Key: pool name.
    std::set<std::pair<std::string, std::string>> refusedMoves_; ///< Machine and target pool.
    foundation::SteadyTime demandsReportedAt_ {};
    foundation::SteadyTime lastListRequestAt_ {};
    foundation::SteadyTime listedAsOf_ {}; ///< Time at which the latest list that was answered was requested.
    bool isListing_ = false;
    bool hasLastListFailed_ = false;
    bool hasMachineList_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
