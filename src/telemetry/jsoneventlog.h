#pragma once

#include "foundation/iclock.h"
#include "telemetry/ieventsink.h"

#include <map>
#include <memory>
#include <string>

namespace spdlog {
class logger;
}

namespace turmericsill::telemetry {

/// Writes events to standard output as JSON objects, one a line. A thread of its own writes; when its bounded queue is
/// full the oldest lines are dropped, so a slow reader never holds up a duty. Used on one thread.
class JsonEventLog : public IEventSink {
public:
    JsonEventLog(std::string entry, const foundation::IClock& clock);
    ~JsonEventLog() override;

    /// Fields "time_ms" and "entry" come first. Beyond the rate of an event its lines are left out; the next line
    /// that is written carries their number as "left_out".
    void write(std::string_view event, std::initializer_list<EventField> fields) override;

private:
    /// Lines of one event in the present second.
    struct Rate {
        foundation::SteadyTime second {};
        unsigned lines = 0;
        std::uint64_t leftOut = 0;
    };

    std::string entry_;
    const foundation::IClock& clock_;
    std::map<std::string, Rate, std::less<>> rates_;
    std::shared_ptr<spdlog::logger> logger_;
};

} // namespace turmericsill::telemetry
