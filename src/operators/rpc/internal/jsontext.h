#pragma once

#include <json/json.h>
#include <string>

namespace turmericsill {
namespace operators {

    /// Parses a JSON text. Returns a null value if it is malformed.
    Json::Value parseJson(const std::string& text);

    /// Returns the compact JSON text of a value.
    std::string writeJson(const Json::Value& value);

} // namespace operators
} // namespace turmericsill
