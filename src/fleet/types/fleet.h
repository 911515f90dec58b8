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

/// How long calls to the advice service take and how long its answers are valid.
struct AdviceSettings {
    milliseconds baseDuration { 0 }; ///< Fixed part of the duration of a call.
    milliseconds perInstance { 0 }; ///< Duration added for each instance that the call asks about.
    milliseconds validity { 0 }; ///< How long the tickets of an answer are valid.
};

/// A queue of jobs with its route and scheduling policy.
struct Queue {
    std::string name;
    std::string host; ///< Host of the requests that are routed to the queue.
    std::string pathPrefix;
    std::string pool; ///< Pool whose instances run the tasks.
    int priority = 0; ///< Lower values are scheduled first.
    std::uint32_t maximumAttempts = 1; ///< Number of failed runs of a task or gang after which its job fails.
    double criticalPathFactor = 1; ///< Factor that the completion objective applies to a job's critical path.
    milliseconds objectiveMargin { 0 }; ///< Time that the completion objective adds to the multiplied critical path.
    std::optional<AdviceSettings> advice;
    bool isPublic = false; ///< Requests need no API key, even where callers are identified.
};

/// A group of callers that share API keys, a rate of jobs and a share of the fleet.
struct Team {
    std::string name;
    std::vector<std::string> apiKeys;
    /// Jobs per second that the team may submit before all others are served; also its share of a full pool, relative
    /// to the weights of the other teams.
    double weight = 1;
    /// Limit of the resources that the team's runs hold on all instances together; unlimited where it is 0.
    jobs::Resources cap;
};

/// A pool of instances.
struct Pool {
    std::string name;
    bool checksAdmission = false; ///< The instances refuse tasks that do not fit their free resources.
    bool isStandby = false; ///< The machines are powered off and cost nothing.
};

/// Configuration that operators declared.
struct FleetConfiguration {
    std::uint64_t version = 0;
    std::vector<Queue> queues;
    std::map<std::string, Pool> pools;
    std::optional<std::map<std::string, Team>> teams; ///< Key: name. Absent if callers are not identified.

    /// The queue of a request: the one with the longest matching path prefix for the host; null if none matches.
    const Queue* route(const std::string& host, const std::string& path) const;

    /// The queue of this name, or null.
    const Queue* findQueue(const std::string& name) const;

    /// The team of this name, or null.
    const Team* findTeam(const std::string& name) const;
};

/// A wave of planned maintenance: each of the machines is due for maintenance within `duration`.
struct MaintenanceWave {
    std::uint64_t number = 0;
    std::vector<std::string> machines;
    milliseconds duration { 0 };
    std::uint32_t maximumDown = 1; ///< Limit of machines in maintenance at the same time.
};

/// State that an instance reports about itself.
struct InstanceReport {
    jobs::InstanceIncarnation incarnation;
    std::string pool;
    foundation::Address address;
    std::string dataCentre;
    std::string machine;
    std::vector<std::string> labels;
    jobs::Resources capacity;
    bool isDraining = false;

    bool hasLabel(const std::string& label) const;

    /// Rack of the machine; empty when no label names one.
    const std::string& rack() const;
};

enum class MachineState : std::uint8_t { Up, Moving, InMaintenance, Down };

/// A machine as listed by the platform.
struct MachineReport {
    std::string machine;
    std::string pool;
    MachineState state = MachineState::Down;
    std::string dataCentre;
    std::string instance; ///< Instance that runs on the machine; empty when there is none.
    jobs::Resources capacity;
};

} // namespace turmericsill::fleet
