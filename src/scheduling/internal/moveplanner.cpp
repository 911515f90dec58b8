#include "scheduling/moveplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace turmericsill::scheduling {

namespace {

    /// Machines of this capacity that cover the need in every resource.
    std::int64_t machinesFor(const jobs::Resources& need, const jobs::Resources& capacity, double reach)
    {
        const auto count = [reach](std::int64_t amount, std::int64_t each) {
            if (amount <= 0 || each <= 0)
                return std::int64_t(0);
            return static_cast<std::int64_t>(
                std::ceil(reach * static_cast<double>(amount) / static_cast<double>(each)));
        };
        return std::max({ count(need.milliCores, capacity.milliCores), count(need.memoryMb, capacity.memoryMb),
            count(need.accelerators, capacity.accelerators) });
    }

    /// What the pool lacks now, or will lack when a machine that is ordered now arrives.
    std::int64_t expectedLack(const PoolDemand& demand, const MovePolicy& policy)
    {
        const double growth = std::max(0.0, demand.growthMilliCoresPerSecond) * policy.leadSeconds;
        const auto ahead = static_cast<std::int64_t>(growth) + demand.unplaced.milliCores - demand.freeMilliCores;
        return std::max(demand.unplaced.milliCores, ahead);
    }

    /// Machines that can be given away, the cheapest first.
    class Sources {
    public:
        Sources(const std::vector<MachineView>& machines, const std::map<std::string, PoolDemand>& demands,
            const MovePolicy& policy)
        {
            std::map<std::string, std::uint32_t> left;
            for (const auto& [pool, demand] : demands)
                left[pool] = demand.machines;
            for (const auto& machine : machines) {
                if (machine.isStandby) {
                    usable_.push_back(&machine);
                    continue;
                }
                const auto demand = demands.find(machine.pool);
                const bool isNeeded = demand != demands.end() && expectedLack(demand->second, policy) > 0;
                if (isNeeded || machine.runs > 0 || machine.idleFor < policy.leastIdle
                    || left[machine.pool] <= policy.leastMachines)
                    continue;
                --left[machine.pool];
                usable_.push_back(&machine);
            }
            std::sort(usable_.begin(), usable_.end(), [](const MachineView* a, const MachineView* b) {
                return std::tuple(!a->isStandby, -a->idleFor.count(), a->machine)
                    < std::tuple(!b->isStandby, -b->idleFor.count(), b->machine);
            });
        }

        bool isEmpty() const { return next_ == usable_.size(); }
        const MachineView& front() const { return *usable_[next_]; }
        void pop() { ++next_; }

    private:
        std::vector<const MachineView*> usable_;
        std::size_t next_ = 0;
    };

} // namespace

std::vector<Move> planMoves(const std::vector<MachineView>& machines, const std::map<std::string, PoolDemand>& demands,
    const MovePolicy& policy)
{
    std::vector<Move> moves;
    Sources sources(machines, demands, policy);
    for (const auto& [pool, demand] : demands) {
        jobs::Resources lack = demand.unplaced;
        lack.milliCores = expectedLack(demand, policy);
        if (lack.milliCores < policy.leastUnplacedMilliCores)
            continue;
        std::int64_t granted = 0;
        while (!sources.isEmpty()) {
            const MachineView& machine = sources.front();
            const std::int64_t wanted = machinesFor(lack, machine.capacity, policy.reach) + policy.extraMachines
                - machinesFor(demand.incoming, machine.capacity, 1);
            if (granted >= wanted)
                break;
            moves.push_back({ machine.machine, pool });
            sources.pop();
            ++granted;
        }
    }
    return moves;
}

} // namespace turmericsill::scheduling
