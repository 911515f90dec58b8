#pragma once

#include "telemetry/ieventsink.h"

namespace turmericsill::telemetry::mocks {

/// Drops all events.
class NullEventSink : public telemetry::IEventSink {
public:
    void write(std::string_view, std::initializer_list<telemetry::EventField>) override { }
};

} // namespace turmericsill::telemetry::mocks
