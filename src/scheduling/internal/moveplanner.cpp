#include "scheduling/moveplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace turmericsill::scheduling {

namespace {

    /// Number of machines of this capacity that cover the need in every resource.
    std::int64_t machinesNeeded(const jobs::Resources& need, const jobs::Resources& capacity, double factor)
    {
        const auto count = [factor](std::int64_t amount, std::int64_t perMachine) {
            if (amount <= 0 || perMachine <= 0)
                return std::int64_t(0);
            return static_cast<std::int64_t>(
                std::ceil(factor * static_cast<double>(amount) / static_cast<double>(perMachine)));
        };
        return std::max({ count(need.milliCores, capacity.milliCores), count(need.memoryMb, capacity.memoryMb),
            count(need.accelerators, capacity.accelerators) });
    }

    /// Number of machines of this capacity to move to a pool with the shortage.
    std::int64_t machinesWanted(
        const jobs::Resources& shortage, const jobs::Resources& capacity, const MovePolicy& policy)
    {
        const std::int64_t needed = machinesNeeded(shortage, capacity, 1);
        const std::int64_t withMargin = machinesNeeded(shortage, capacity, policy.shortageFactor);
        return std::min(withMargin, needed + policy.maximumMarginMachines) + policy.extraMachines;
    }

    /// Processor time that the pool lacks now or will lack when a machine ordered now arrives, whichever is more.
    std::int64_t projectedShortage(const PoolDemand& demand, const MovePolicy& policy)
    {
        const double growth = std::max(0.0, demand.growthMilliCoresPerSecond) * policy.moveLeadSeconds;
        const auto projected = static_cast<std::int64_t>(growth) + demand.unplaced.milliCores - demand.freeMilliCores;
        return std::max(demand.unplaced.milliCores, projected);
    }

    /// Machines that can be moved away: standby machines first, then those that have been idle the longest.
    class DonorMachines {
    public:
        DonorMachines(const std::vector<MachineView>& machines, const std::map<std::string, PoolDemand>& demands,
            const MovePolicy& policy)
        {
            std::map<std::string, std::uint32_t> remaining;
            for (const auto& [pool, demand] : demands)
                remaining[pool] = demand.machines;
            for (const auto& machine : machines) {
                if (machine.isStandby) {
                    machines_.push_back(&machine);
                    continue;
                }
                const auto demand = demands.find(machine.pool);
                const bool isNeeded = demand != demands.end() && projectedShortage(demand->second, policy) > 0;
                if (isNeeded || machine.runs > 0 || machine.idleTime < policy.minimumIdleTime
                    || remaining[machine.pool] <= policy.minimumMachines)
                    continue;
                --remaining[machine.pool];
                machines_.push_back(&machine);
            }
            std::sort(machines_.begin(), machines_.end(), [](const MachineView* a, const MachineView* b) {
                return std::tuple(!a->isStandby, -a->idleTime.count(), a->machine)
                    < std::tuple(!b->isStandby, -b->idleTime.count(), b->machine);
            });
        }

        bool isEmpty() const { return next_ == machines_.size(); }
        const MachineView& front() const { return *machines_[next_]; }
        void pop() { ++next_; }

    private:
        std::vector<const MachineView*> machines_;
        std::size_t next_ = 0;
    };

} // namespace

bool hasShortage(const std::map<std::string, PoolDemand>& demands, const MovePolicy& policy)
{
    return std::any_of(demands.begin(), demands.end(),
        [&](const auto& entry) { return projectedShortage(entry.second, policy) >= policy.minimumShortageMilliCores; });
}

std::vector<Move> planMoves(const std::vector<MachineView>& machines, const std::map<std::string, PoolDemand>& demands,
    const MovePolicy& policy)
{
    std::vector<Move> moves;
    DonorMachines donors(machines, demands, policy);
    for (const auto& [pool, demand] : demands) {
        jobs::Resources shortage = demand.unplaced;
        shortage.milliCores = projectedShortage(demand, policy);
        if (shortage.milliCores < policy.minimumShortageMilliCores)
            continue;
        std::int64_t granted = 0;
        while (!donors.isEmpty()) {
            const MachineView& machine = donors.front();
            const std::int64_t wanted = machinesWanted(shortage, machine.capacity, policy)
                - machinesNeeded(demand.incoming, machine.capacity, 1);
            if (granted >= wanted)
                break;
            moves.push_back({ machine.machine, pool });
            donors.pop();
            ++granted;
        }
    }
    return moves;
}

} // namespace turmericsill::scheduling
