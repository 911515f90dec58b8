#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace turmericsill::jsonsource {

/// A validation error in a configuration file, with its position.
struct Fault {
    std::string file;
    std::size_t line = 0;
    std::string field; ///< JSON pointer of the faulty field; empty for the whole document.
    std::string expected;

    /// Message in the format "file:line: field: expected".
    std::string text() const { return file + ":" + std::to_string(line) + ": " + field + ": " + expected; }
};

using Faults = std::vector<Fault>;

} // namespace turmericsill::jsonsource
