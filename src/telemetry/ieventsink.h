#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace turmericsill::telemetry {

/// Value of a field of an event.
using EventValue = std::variant<std::int64_t, std::uint64_t, double, bool, std::string>;

/// A named field of an event.
struct EventField {
    std::string_view name;
    EventValue value;
};

/// Takes one line for each decision and each change of belief. Never blocks.
class IEventSink {
public:
    virtual ~IEventSink() = default;

    /// Writes an event; fields keep their order.
    virtual void write(std::string_view event, std::initializer_list<EventField> fields) = 0;
};

} // namespace turmericsill::telemetry
