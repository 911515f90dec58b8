#pragma once

#include "declarations/types/objects.h"

#include <nlohmann/json.hpp>
#include <string>

namespace turmericsill::declarations {

/// Name of the list that holds a kind's objects in a declaration file, for example "pools".
const std::string& listName(ObjectKind kind);

/// Canonical JSON of an object: every field is present, keys are in lexical order.
nlohmann::json encode(const Object& object);

/// Builds an object from JSON that has passed the kind's schema.
/// Throws nlohmann::json::exception when a field has a wrong type.
Object decode(ObjectKind kind, const nlohmann::json& value);

nlohmann::json encodeChange(const ObjectChange& change);
ObjectChange decodeChange(const nlohmann::json& value);

/// Encodes a whole set as an object of lists by kind, and back.
nlohmann::json encodeSet(const DeclarationSet& set);
DeclarationSet decodeSet(const nlohmann::json& value);

} // namespace turmericsill::declarations
