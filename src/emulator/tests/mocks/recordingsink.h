#pragma once

#include "telemetry/ieventsink.h"

#include <string>
#include <vector>

namespace turmericsill::emulator::mocks {

/// Records every event as a line of text, for checks and failure messages.
class RecordingSink : public telemetry::IEventSink {
public:
    void write(std::string_view event, std::initializer_list<telemetry::EventField> fields) override
    {
        std::string line(event);
        for (const auto& field : fields) {
            line += " " + std::string(field.name) + "=";
            if (const auto* text = std::get_if<std::string>(&field.value))
                line += *text;
            else if (const auto* number = std::get_if<std::uint64_t>(&field.value))
                line += std::to_string(*number);
            else if (const auto* signedNumber = std::get_if<std::int64_t>(&field.value))
                line += std::to_string(*signedNumber);
        }
        lines.push_back(std::move(line));
    }

    std::vector<std::string> lines;
};

} // namespace turmericsill::emulator::mocks
