#pragma once

#include "control/controller.h"
#include "fleet/imachinecontrol.h"
#include "scheduling/types/fleetview.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::control {

/// Moves machines between pools and takes them through their waves of upkeep, on behalf of one controller.
/// A machine gets one order at a time. Before its upkeep it is emptied: it gets no new work, its long-running tasks
/// are relocated within their disruption budgets, its other tasks end by themselves.
class FleetSteward {
public:
    /// `mayOrderFrom`: orders of the former controller lie far enough back from then on.
    FleetSteward(const ControllerContext& context, fleet::IMachineControl& machines, Controller& controller,
        const ControlSettings& settings, foundation::SteadyTime mayOrderFrom);
    ~FleetSteward();

    FleetSteward(const FleetSteward&) = delete;
    FleetSteward& operator=(const FleetSteward&) = delete;

    void setConfiguration(const fleet::FleetConfiguration& configuration) { configuration_ = configuration; }

    /// A wave that operators asked for.
    void addWave(const fleet::UpkeepWave& wave);

    /// Regular work.
    void tick();

private:
    /// A wave and how far it has come.
    struct Wave {
        fleet::UpkeepWave declared;
        foundation::SteadyTime deadline;
        bool isReported = false; ///< As running.
        bool isCompleted = false;
        bool isReporting = false;
    };

    /// Demand of a pool over time.
    struct Trend {
        double milliCores = 0;
        double growthPerSecond = 0; ///< Smoothed.
        foundation::SteadyTime sampledAt {};
    };

    enum class Duty { Emptying, Upkeep, Moving };

    /// What is going on with a machine.
    struct Work {
        Duty duty = Duty::Emptying;
        std::uint64_t wave = 0;
        std::string targetPool;
        std::string instance; ///< That ran on the machine when the order was given.
        jobs::Resources capacity;
        foundation::SteadyTime since;
        bool isOrdered = false; ///< The order was accepted,
        bool isUnderWay = false; ///< or has no answer yet.
        bool wasSeenDown = false;
    };

    void listMachines();
    void onListed(std::vector<fleet::MachineReport> machines);
    void settleWork();
    void planWaves();
    void planWave(Wave& wave);
    void emptyMachines();
    void evacuateDraining();
    void emptyMachine(const std::string& machine, Work& work);
    bool mayRelocate(const jobs::TaskId& task) const;
    bool hasRoomElsewhere(const InstanceSession& session, const jobs::TaskId& task) const;
    void beginUpkeep(const std::string& machine, Work& work);
    void reportWave(Wave& wave, bool completed);
    std::map<std::string, scheduling::PoolDemand> poolDemands();
    void follow(const std::string& pool, double milliCores, scheduling::PoolDemand& demand);
    void reportDemands(const std::map<std::string, scheduling::PoolDemand>& demands);
    void planMoves();
    void move(const scheduling::Move& move);
    void publishReserved();
    const fleet::MachineReport* find(const std::string& machine) const;
    InstanceSessionPtr sessionOf(const fleet::MachineReport& machine) const;
    bool isStandby(const std::string& pool) const;

    ControllerContext context_;
    fleet::IMachineControl& control_;
    Controller& controller_;
    ControlSettings settings_;
    foundation::SteadyTime mayOrderFrom_;
    fleet::FleetConfiguration configuration_;
    std::map<std::string, fleet::MachineReport> machines_;
    std::map<std::string, Work> work_; ///< By machine.
    std::map<std::uint64_t, Wave> waves_;
    std::map<std::string, Trend> trends_; ///< By pool.
    std::map<std::string, foundation::SteadyTime> idleSince_; ///< By instance.
    std::set<std::pair<std::string, std::string>> refusedMoves_; ///< Machine and pool.
    foundation::SteadyTime demandsReportedAt_ {};
    foundation::SteadyTime listedAt_ {};
    bool isListing_ = false;
    bool hasList_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
