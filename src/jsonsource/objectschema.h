#pragma once

#include "jsonsource/document.h"

#include <string>
#include <vector>

namespace turmericsill::jsonsource {

/// Type of the value of a field.
enum class FieldType {
    Name, ///< Lower-case letters, digits, '-' and '.', at most 63 characters.
    Text,
    Integer,
    Number,
    Boolean,
    Address, ///< IP address and port in the format IP:PORT.
    Choice, ///< One of the strings in FieldSchema::choices.
    NameList,
    Object, ///< Nested object; it is checked against its own schema.
};

/// Schema of one field of an object.
struct FieldSchema {
    std::string name;
    FieldType type = FieldType::Text;
    bool required = false;
    double minimum = 0;
    double maximum = 0;
    std::vector<std::string> choices;

    /// Description of the valid values of the field, for fault messages.
    std::string expectation() const;
};

using ObjectSchema = std::vector<FieldSchema>;

/// Checks an object of a document against its schema and reports all faults: unknown and missing fields, wrong types
/// and values out of range.
void checkObject(const Document& document, const std::string& pointer, const ObjectSchema& schema, Faults& faults);

/// Whether `name` is a valid value of FieldType::Name.
bool isValidName(const std::string& name);

} // namespace turmericsill::jsonsource
