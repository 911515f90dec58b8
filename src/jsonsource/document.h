#pragma once

#include "jsonsource/fault.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>

namespace turmericsill::jsonsource {

/// A parsed JSON file with comments, with the line number of each field.
class Document {
public:
    /// Parses `text` and adds syntax errors and duplicate fields to `faults`.
    /// Returns nothing if there is a syntax error.
    static std::optional<Document> parse(const std::string& file, const std::string& text, Faults& faults);

    const std::string& file() const { return file_; }
    const nlohmann::json& value() const { return value_; }

    /// Line of the field at a JSON pointer, or of its nearest ancestor that exists.
    std::size_t lineOf(std::string pointer) const;

    /// Adds a fault for the field at `pointer`.
    void addFault(Faults& faults, const std::string& pointer, const std::string& expected) const;

private:
    friend class PositionHandler;

    std::string file_;
    nlohmann::json value_;
    std::unordered_map<std::string, std::size_t> lines_;
};

/// Reads a file. Adds a fault if it is empty or cannot be read.
std::optional<std::string> readFile(const std::string& path, Faults& faults);

} // namespace turmericsill::jsonsource
