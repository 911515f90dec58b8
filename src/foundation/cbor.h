#pragma once

#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>

namespace turmericsill::foundation {

/// Most levels of lists and maps within each other that parseCbor() reads.
constexpr std::size_t maximumCborDepth = 32;

/// Parses CBOR that another process has sent or stored. Throws a std::exception if it is malformed, has too many
/// values, or its lists and maps are nested too deeply: the library's decoder calls itself for each level.
/// `maximumValues`: a value of one byte takes sixteen bytes of memory.
nlohmann::json parseCbor(std::string_view bytes, std::size_t maximumValues = std::numeric_limits<std::size_t>::max());

} // namespace turmericsill::foundation
