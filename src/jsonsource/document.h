#pragma once

#include "jsonsource/fault.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>

namespace turmericsill::jsonsource {

/// A parsed JSON-with-comments file that knows the line of each of its fields.
class Document {
public:
    /// Parses `text`; a syntax error or a repeated field is added to `faults`.
    /// Returns nothing after a syntax error.
    static std::optional<Document> parse(const std::string& file, const std::string& text, Faults& faults);

    const std::string& file() const { return file_; }
    const nlohmann::json& value() const { return value_; }

    /// Line of the field at a JSON pointer, or of its nearest parent.
    std::size_t lineOf(std::string pointer) const;

    /// Adds a fault at a field.
    void addFault(Faults& faults, const std::string& pointer, const std::string& expected) const;

private:
    friend class PositionHandler;

    std::string file_;
    nlohmann::json value_;
    std::unordered_map<std::string, std::size_t> lines_;
};

/// Reads a whole file; adds a fault when it cannot be read.
std::optional<std::string> readFile(const std::string& path, Faults& faults);

} // namespace turmericsill::jsonsource
