#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace turmericsill::foundation {

/// Appends a JSON string with its quotes and escapes; invalid UTF-8 is replaced.
void appendJsonString(std::string& json, std::string_view text);

/// Upper bound of the number of values within the outermost one of a JSON text, without parsing it.
std::size_t countJsonValues(std::string_view json);

} // namespace turmericsill::foundation
