#pragma once

#include "jsonsource/document.h"

#include <string>
#include <vector>

namespace turmericsill::jsonsource {

/// What a field may hold.
enum class FieldType {
    Name, ///< Lower-case letters, digits, '-' and '.', at most 63 characters.
    Text,
    Integer,
    Number,
    Boolean,
    Address, ///< IP:PORT.
    Choice, ///< One of FieldSchema::choices.
    NameList,
    Object, ///< Checked by a schema of its own.
};

/// Rule for one field of an object.
struct FieldSchema {
    std::string name;
    FieldType type = FieldType::Text;
    bool required = false;
    double minimum = 0;
    double maximum = 0;
    std::vector<std::string> choices;

    /// Sentence on what the field must hold, for fault messages.
    std::string expectation() const;
};

using ObjectSchema = std::vector<FieldSchema>;

/// Checks one object of a document against its schema and reports every fault:
/// unknown fields, missing ones, wrong types and values out of range.
void checkObject(const Document& document, const std::string& pointer, const ObjectSchema& schema, Faults& faults);

/// Whether `name` is valid as FieldType::Name.
bool isValidName(const std::string& name);

} // namespace turmericsill::jsonsource
