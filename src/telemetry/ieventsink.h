#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace turmericsill::telemetry {

/// Value of an event field.
using EventValue = std::variant<std::int64_t, std::uint64_t, double, bool, std::string>;

/// Named field of an event.
struct EventField {
    std::string_view name;
    EventValue value;
};

/// Receives structured events: decisions, and changes in what the process assumes about other components. Never blocks.
class IEventSink {
public:
    virtual ~IEventSink() = default;

    /// Writes an event. The fields keep their order.
    virtual void write(std::string_view event, std::initializer_list<EventField> fields) = 0;
};

} // namespace turmericsill::telemetry
