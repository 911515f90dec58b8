#pragma once

#include "emulator/emulatedinstance.h"
#include "emulator/emulatedlog.h"
#include "emulator/rulebook.h"
#include "fleet/types/fleet.h"
#include "foundation/iclock.h"
#include "foundation/timerqueue.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::emulator {

/// Faults that are switched while an emulation runs.
struct FaultSwitches {
    bool storeDown = false; ///< Every call of the store fails without effect.
    bool storeSilent = false; ///< Calls of the store get no answer and have no effect.
    std::set<std::string> entriesCutFromStore;
    std::map<std::string, std::size_t> linkBytesPerSecond; ///< Of entries whose link is slow.
    double lostAnswers = 0; ///< Share of appends that take effect and are not answered.
    double lateOrders = 0; ///< Share of orders that get no answer and are carried out late.
    double lostOrderAnswers = 0; ///< Share of orders that are carried out and not answered.
    std::set<std::string> unreachableInstances;
    milliseconds storeDelay { 4 };
    milliseconds appendTime { 0 }; ///< Of the log, which takes one append at a time.
    bool upkeepDoneBefore = false; ///< Orders for upkeep are accepted without effect, as repeated ones are.
};

/// The platform that entries meet in an emulation: log, instances and machines, with delays and faults.
/// Time is the manual clock's; randomness comes from the seed; so a run repeats.
class EmulatedPlatform {
public:
    EmulatedPlatform(foundation::IClock& clock, std::uint64_t seed, milliseconds longestLease);

    EmulatedLog& log() { return log_; }
    Rulebook& rulebook() { return rulebook_; }
    FaultSwitches& faults() { return faults_; }
    std::mt19937_64& random() { return random_; }

    /// Deferred answers and late orders.
    foundation::TimerQueue& network() { return network_; }

    void setConfiguration(const fleet::FleetConfiguration& configuration) { configuration_ = configuration; }
    const fleet::FleetConfiguration& configuration() const { return configuration_; }

    /// Starts a life of an instance; an earlier life under the name ends.
    void startInstance(const std::string& name, const std::string& pool, const jobs::Resources& capacity);

    /// Ends an instance's life and starts another under its name, the way a process restarts.
    void restartInstance(const std::string& name, const std::string& pool, const jobs::Resources& capacity);

    /// The next instance that is started under `name` listens where `former` did.
    void passAddress(const std::string& former, const std::string& name) { ports_[name] = ports_.at(former); }

    /// Ends an instance's life without a word; its entry stays until it is unlisted.
    void crash(const std::string& name);
    void unlist(const std::string& name);
    void setDraining(const std::string& name);

    /// The instance that answers at an address, or null.
    EmulatedInstance* at(const foundation::Address& address);
    const std::map<std::string, std::unique_ptr<EmulatedInstance>>& instances() const { return instances_; }
    const std::map<std::string, fleet::InstanceReport>& entries() const { return entries_; }

    /// Queues an append behind those that wait; tells when it takes effect, or nothing if too much waits.
    std::optional<foundation::SteadyTime> queueAppend();

    /// Lets what runs proceed.
    void advance();

    bool draw(double share);

    /// How a task's runs go; depends on the task alone, so that a repeated run does the same.
    RunPlan planOf(const jobs::TaskId& task) const;

private:
    foundation::IClock& clock_;
    std::mt19937_64 random_;
    milliseconds longestLease_;
    EmulatedLog log_;
    Rulebook rulebook_;
    FaultSwitches faults_;
    foundation::TimerQueue network_;
    fleet::FleetConfiguration configuration_;
    std::map<std::string, std::unique_ptr<EmulatedInstance>> instances_; ///< Alive ones, by name.
    std::map<std::string, fleet::InstanceReport> entries_; ///< What the directory lists.
    std::map<std::string, std::uint16_t> ports_;
    foundation::SteadyTime logFreeAt_ {}; ///< When the appends that wait have taken effect.
    std::int64_t nextBorn_ = 1000;
};

} // namespace turmericsill::emulator
