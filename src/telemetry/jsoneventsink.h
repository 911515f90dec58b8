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

/// Writes events to standard output as JSON objects, one per line. Lines are collected and handed to a background
/// thread in blocks, since waking that thread costs more than formatting a line. It writes them from a bounded queue;
/// when the queue is full, the oldest blocks are dropped, so that a slow reader never blocks the caller. Used on one
/// thread.
class JsonEventSink : public IEventSink {
public:
    JsonEventSink(std::string entry, const foundation::IClock& clock);
    ~JsonEventSink() override;

    /// The fields "time_ms" and "entry" come first. Lines of an event beyond its rate limit are dropped; the next line
    /// of this event states their number as "left_out".
    void write(std::string_view event, std::initializer_list<EventField> fields) override;

    /// Hands the collected lines to the background thread; to be called at least every few hundred milliseconds.
    void flush();

private:
    void append(const std::string& line);

    /// Lines of one event in the current second, for the rate limit.
    struct RateWindow {
        foundation::SteadyTime start {};
        unsigned lines = 0;
        std::uint64_t droppedLines = 0;
    };

    std::string entry_;
    const foundation::IClock& clock_;
    std::map<std::string, RateWindow, std::less<>> rateWindows_;
    std::string block_; ///< Lines that were not handed over yet, separated by line breaks.
    std::shared_ptr<spdlog::logger> logger_;
};

} // namespace turmericsill::telemetry
