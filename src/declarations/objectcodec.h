#pragma once

#include "declarations/types/objects.h"

#include <nlohmann/json.hpp>
#include <string>

namespace turmericsill::declarations {

/// Name of the list that holds the objects of a kind in a declaration file, for example "pools".
const std::string& listName(ObjectKind kind);

/// Returns the canonical JSON of an object: all fields are present, and keys are in lexical order.
nlohmann::json encode(const Object& object);

/// Decodes an object from JSON that has been checked against the schema of `kind`.
/// Throws nlohmann::json::exception if a field has the wrong type.
Object decode(ObjectKind kind, const nlohmann::json& value);

nlohmann::json encodeChange(const ObjectChange& change);
ObjectChange decodeChange(const nlohmann::json& value);

/// Encodes a declaration set as a JSON object with one list per kind, and decodes it.
nlohmann::json encodeSet(const DeclarationSet& set);
DeclarationSet decodeSet(const nlohmann::json& value);

} // namespace turmericsill::declarations
