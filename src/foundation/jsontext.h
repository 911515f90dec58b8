#pragma once

#include <string>
#include <string_view>

namespace turmericsill::foundation {

/// Appends a JSON string with its quotes and escapes; invalid UTF-8 is replaced.
void appendJsonString(std::string& json, std::string_view text);

} // namespace turmericsill::foundation
