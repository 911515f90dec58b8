#pragma once

#include "foundation/iclock.h"
#include "jobs/types/records.h"
#include "telemetry/ieventsink.h"

#include <map>
#include <string>

namespace turmericsill::control {

/// Tracks failed runs per instance. An instance that fails several runs in a row is excluded from placement for a while
/// and then on probation: it gets one task at a time until a task succeeds. Failures caused by a job are spread over
/// the instances, so that they exclude none.
class InstanceHealth {
public:
    InstanceHealth(const foundation::IClock& clock, telemetry::IEventSink& events);

    /// Only RunOutcome::Done and RunOutcome::Failed count.
    void recordRunOutcome(const std::string& instance, jobs::RunOutcome outcome);

    /// Excludes the instance for a short time because it refused a start order.
    void recordRefusal(const std::string& instance);

    /// Resets an instance that has restarted.
    void reset(const std::string& instance) { records_.erase(instance); }

    bool isExcluded(const std::string& instance) const;

    /// End of the latest exclusion; in the past if there is none.
    foundation::SteadyTime excludedUntil(const std::string& instance) const;
    bool isOnProbation(const std::string& instance) const;

private:
    struct Record {
        int consecutiveFailures = 0;
        foundation::SteadyTime excludedUntil {};
        bool isOnProbation = false;
    };

    const foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    std::map<std::string, Record> records_; ///< Key: instance name.
};

} // namespace turmericsill::control
