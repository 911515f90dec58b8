#pragma once

#include "scheduling/rackwaits.h"
#include "telemetry/ieventsink.h"

namespace turmericsill::control {

/// Writes the event "placement.waited" for each wait for a rack that has ended.
class WaitReporter {
public:
    explicit WaitReporter(telemetry::IEventSink& events)
        : events_(events)
    {
    }

    void report(const std::string& pool, const scheduling::EndedWait& wait);

private:
    telemetry::IEventSink& events_;
};

} // namespace turmericsill::control
