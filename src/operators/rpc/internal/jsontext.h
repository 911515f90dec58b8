#pragma once

#include <json/json.h>
#include <string>

namespace turmericsill {
namespace operators {

    /// Parses a JSON text; null for a malformed one.
    Json::Value parseJson(const std::string& text);

    /// Compact JSON text of a value.
    std::string writeJson(const Json::Value& value);

} // namespace operators
} // namespace turmericsill
