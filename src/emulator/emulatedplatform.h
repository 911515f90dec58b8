#pragma once

#include "emulator/emulatedinstance.h"
#include "emulator/emulatedlog.h"
#include "emulator/invariantchecker.h"
#include "fleet/imachinecontrol.h"
#include "fleet/types/fleet.h"
#include "foundation/iclock.h"
#include "foundation/timerqueue.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::emulator {

/// Faults that can be changed while an emulation runs.
struct InjectedFaults {
    bool isStoreDown = false; ///< Every call to the store fails without effect.
    bool isStoreUnresponsive = false; ///< Calls to the store get no answer and have no effect.
    std::set<std::string> entriesPartitionedFromStore; ///< Entries whose calls to the store fail.
    /// Entries and instances, by name, that reach each other but no other entry, no other instance and not the store.
    std::set<std::string> isolatedSide;
    bool isDirectoryDown = false; ///< Reads of the instance directory fail.
    std::map<std::string, std::size_t> linkBytesPerSecond; ///< Bandwidth of entries with a slow link.
    double lostAppendAnswerRatio = 0; ///< Fraction of appends that take effect without an answer.
    double lateOrderRatio = 0; ///< Fraction of orders that get no answer and are executed late.
    double lostOrderAnswerRatio = 0; ///< Fraction of orders that are executed without an answer.
    std::set<std::string> unreachableInstances; ///< Instances that orders do not reach.
    milliseconds storeLatency { 4 }; ///< Delay before each call to the store is processed.
    milliseconds appendDuration { 0 }; ///< Duration of an append; the log processes one at a time.
    bool isMaintenanceAlreadyDone = false; ///< Maintenance orders are accepted without effect, like repeated ones.
    bool isMachineListDown = false; ///< Lists of the machines fail.
    bool isMaintenanceCarriedOut = false; ///< Maintenance orders take the machine's instance down and are accepted.
    double lateAppendRatio = 0; ///< Fraction of appends that get no answer and take effect seconds later.
    /// Fraction of maintenance orders that get no answer; half of them are carried out, at once or seconds later.
    double unansweredMaintenanceRatio = 0;
    double lostDeclarationAnswerRatio = 0; ///< Fraction of reads of the declarations that get no answer.

    /// Whether a cut lies between two entries or instances.
    bool areSeparated(const std::string& one, const std::string& other) const
    {
        return isolatedSide.count(one) != isolatedSide.count(other);
    }

    /// Whether the store is disturbed for any entry.
    bool isStoreDisturbed() const;

    /// Whether an instance or a link to one is disturbed.
    bool isInstanceDisturbed() const;
};

/// What an instance reports about itself besides its name and address.
struct InstanceKind {
    std::string pool;
    jobs::Resources capacity;
    std::vector<std::string> labels { "a", "r1" };
    std::string machine; ///< A machine of its own if empty.
};

/// Platform of an emulation: log, instances and machines, with delays and injected faults. Time comes from the given
/// clock and randomness from the seed, so that a run with a manual clock is reproducible.
class EmulatedPlatform {
public:
    EmulatedPlatform(foundation::IClock& clock, std::uint64_t seed, milliseconds maximumLease);

    EmulatedLog& log() { return log_; }
    InvariantChecker& invariants() { return invariants_; }
    InjectedFaults& faults() { return faults_; }
    const InjectedFaults& faults() const { return faults_; }
    std::mt19937_64& random() { return random_; }

    /// Timers of delayed answers and late orders.
    foundation::TimerQueue& network() { return network_; }

    /// Authority of the latest order for a machine.
    const fleet::MachineOrderAuthority& lastMachineOrder() const { return lastMachineOrder_; }
    void setLastMachineOrder(fleet::MachineOrderAuthority authority) { lastMachineOrder_ = std::move(authority); }

    /// Declares a configuration, which is confirmed to the operator at once.
    void setConfiguration(const fleet::FleetConfiguration& configuration);

    /// The configuration that was declared last.
    const fleet::FleetConfiguration& configuration() const { return configuration_; }

    /// Offset past the last declaration.
    std::uint64_t endOfDeclarations() const { return endOfDeclarations_; }

    /// Starts an incarnation of an instance and ends an earlier incarnation under the same name.
    /// `machine` is the machine it runs on; one of its own if empty.
    void startInstance(const std::string& name, const std::string& pool, const jobs::Resources& capacity,
        const std::string& machine = {});

    /// Starts an incarnation like startInstance(). Until it is listed, `listingDelay` after its start, the directory
    /// holds what an earlier incarnation reported.
    void startInstance(const std::string& name, const InstanceKind& kind, milliseconds listingDelay);

    /// Ends an instance's incarnation without notice and, after the time of a process restart, starts another one under
    /// its name, which may be of another kind.
    void restartInstanceAs(const std::string& name, const InstanceKind& kind, milliseconds listingDelay);

    /// Restarts an instance: ends its incarnation and, after the time of a process restart, starts another under its
    /// name.
    void restartInstance(const std::string& name, const std::string& pool, const jobs::Resources& capacity);

    /// Ends an instance without notice; seconds later its machine starts another one with a new name at its address.
    void crashAndReplace(const std::string& name);

    /// Name of the running instance on a machine; empty if there is none.
    std::string instanceOn(const std::string& machine) const;

    /// Makes a task crash every instance that starts it.
    void setDeadly(const jobs::TaskId& task) { deadlyTasks_.insert(task); }
    bool isDeadly(jobs::JobId job) const;

    /// Makes every run of a job's tasks fail.
    void setFailing(jobs::JobId job) { failingJobs_.insert(job); }

    /// Tells for each step and instance whether the instance may run the step.
    using Advice = std::function<bool(const std::string& step, const std::string& instance)>;

    /// Sets what the advice service answers. It allows every second instance of a call unless set.
    void setAdvice(Advice advice) { advice_ = std::move(advice); }
    const Advice& advice() const { return advice_; }

    /// Makes each run of a task that resumes from checkpoints leave one of this size when it is stopped.
    void setCheckpointBytes(std::size_t bytes) { checkpointBytes_ = bytes; }

    /// Gives the address of the instance `former` to the one that is started next under the name `successor`.
    void reuseAddress(const std::string& former, const std::string& successor)
    {
        ports_[successor] = ports_.at(former);
    }

    /// Ends an instance's incarnation without notice; the instance stays in the directory until it is removed there.
    void crash(const std::string& name);
    void removeFromDirectory(const std::string& name);

    /// Lists an instance, if it runs, as it reports itself.
    void returnToDirectory(const std::string& name);
    void setDraining(const std::string& name);

    /// Makes an instance drain and leave after the notice; seconds later its machine starts another one with a new name
    /// at its address.
    void release(const std::string& name, milliseconds notice);

    /// Changes the capacity of an instance, if it runs, and in its entry in the directory.
    void setCapacity(const std::string& name, const jobs::Resources& capacity);

    /// Returns the running instance at an address, or null.
    EmulatedInstance* instanceAt(const foundation::Address& address);
    const std::map<std::string, std::unique_ptr<EmulatedInstance>>& instances() const { return instances_; }
    const std::map<std::string, fleet::InstanceReport>& listedInstances() const { return listedInstances_; }

    /// Queues an append behind the pending ones and returns the time at which it takes effect, or nothing when the
    /// queue is too long.
    std::optional<foundation::SteadyTime> queueAppend();

    /// Ends runs and leases whose time has come.
    void advance();

    /// Returns true with the given probability.
    bool drawWithProbability(double probability);

    /// Random numbers of the faults that seeded schedules had not known before; the others stay as they are.
    std::mt19937_64& laterFaultsRandom() { return laterFaultsRandom_; }

    /// Returns the course of a task's runs. It depends on the task alone, so that a repeated run takes the same course.
    RunPlan runPlanFor(const jobs::TaskId& task) const;

private:
    void onRunStarted(const EmulatedInstance& instance, const jobs::TaskId& task);

    /// Ends an instance; seconds later its machine starts another one with a new name at its address.
    void endAndReplace(const std::string& name);

    foundation::IClock& clock_;
    std::mt19937_64 random_;
    std::mt19937_64 laterFaultsRandom_;
    milliseconds maximumLease_;
    EmulatedLog log_;
    InvariantChecker invariants_;
    InjectedFaults faults_;
    foundation::TimerQueue network_;
    fleet::FleetConfiguration configuration_;
    std::uint64_t endOfDeclarations_ = 0;
    fleet::MachineOrderAuthority lastMachineOrder_;
    std::map<std::string, std::unique_ptr<EmulatedInstance>> instances_; ///< Running instances, by name.
    std::map<std::string, fleet::InstanceReport> listedInstances_; ///< Instances in the directory, by name.
    std::map<std::string, std::uint16_t> ports_; ///< Ports of instances, by name.
    std::set<jobs::TaskId> deadlyTasks_;
    std::set<jobs::JobId> failingJobs_;
    Advice advice_;
    std::size_t checkpointBytes_ = 0; ///< Size of the checkpoints of stopped runs.
    foundation::SteadyTime logFreeAt_ {}; ///< Time at which every queued append has taken effect.
    std::int64_t nextIncarnationStart_ = 1000;
};

} // namespace turmericsill::emulator
