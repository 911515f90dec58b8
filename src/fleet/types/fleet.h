#pragma once

#include "foundation/address.h"
#include "jobs/types/jobspec.h"
#include "jobs/types/records.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::fleet {

using foundation::milliseconds;

/// Service that says which instances may run a step.
struct AdviceSettings {
    milliseconds base { 0 }; ///< Time of a call.
    milliseconds perInstance { 0 }; ///< Added for each instance asked about.
    milliseconds validity { 0 }; ///< Of an answer.
};

/// A queue of jobs.
struct Queue {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string pool; ///< Whose instances run its tasks.
    int priority = 0; ///< Lower goes first.
    std::uint32_t maximumAttempts = 1;
    double stretch = 1; ///< Objective as a multiple of the longest chain of work.
    milliseconds objective { 0 }; ///< Added to the stretched chain.
    std::optional<AdviceSettings> advice;
};

/// A pool of instances.
struct Pool {
    std::string name;
    bool checksAdmission = false; ///< Its instances refuse what does not fit.
    bool isStandby = false; ///< Its machines are off and cost nothing.
};

/// What operators declared.
struct FleetConfiguration {
    std::uint64_t version = 0;
    std::vector<Queue> queues;
    std::map<std::string, Pool> pools;

    /// The queue of a request: longest matching path prefix of its host.
    const Queue* route(const std::string& host, const std::string& path) const;
    const Queue* findQueue(const std::string& name) const;
};

/// Planned work: each of the machines is due for upkeep within `duration`.
struct UpkeepWave {
    std::uint64_t number = 0;
    std::vector<std::string> machines;
    milliseconds duration { 0 };
    std::uint32_t maximumDown = 1;
};

/// What an instance says of itself.
struct InstanceReport {
    jobs::InstanceLife life;
    std::string pool;
    foundation::Address address;
    std::string dataCentre;
    std::string machine;
    std::vector<std::string> labels;
    jobs::Resources capacity;
    bool isDraining = false;

    bool hasLabel(const std::string& label) const;

    /// Rack of its machine; empty when no label names one.
    const std::string& rack() const;
};

enum class MachineState : std::uint8_t { Up, Moving, InUpkeep, Down };

/// A machine as the platform's list has it.
struct MachineReport {
    std::string machine;
    std::string pool;
    MachineState state = MachineState::Down;
    std::string dataCentre;
    std::string instance; ///< That runs on it; empty: none.
    jobs::Resources capacity;
};

} // namespace turmericsill::fleet
