#pragma once

#include "foundation/iclock.h"
#include "jobs/types/records.h"
#include "telemetry/ieventsink.h"

#include <map>
#include <string>

namespace turmericsill::control {

/// What the ends of instances' runs tell about the instances. One that fails several runs in a row gets no work for a
/// while, and then one task at a time until one is done. A job's own failures spread over instances and condemn none.
class InstanceHealth {
public:
    InstanceHealth(const foundation::IClock& clock, telemetry::IEventSink& events);

    void noteEnd(const std::string& instance, jobs::RunEnd how);

    /// The instance refused an order to start.
    void noteRefusal(const std::string& instance);

    /// Another life of the instance begins without a past.
    void forget(const std::string& instance) { records_.erase(instance); }

    bool isExcluded(const std::string& instance) const;
    bool isOnTrial(const std::string& instance) const;

private:
    struct Record {
        int failuresInARow = 0;
        foundation::SteadyTime excludedUntil {};
        bool isOnTrial = false;
    };

    const foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    std::map<std::string, Record> records_; ///< By instance.
};

} // namespace turmericsill::control
