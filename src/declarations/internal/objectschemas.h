#pragma once

#include "declarations/types/objects.h"
#include "jsonsource/objectschema.h"

#include <optional>
#include <string>
#include <vector>

namespace turmericsill::declarations {

/// A field that names another declared object.
struct Reference {
    std::string field;
    ObjectKind target;
};

/// Fields of a kind as they stand in declaration files.
const jsonsource::ObjectSchema& schemaOf(ObjectKind kind);

/// References that a kind's objects make.
const std::vector<Reference>& referencesOf(ObjectKind kind);

/// Kind whose objects stand in the list `name` of a file.
std::optional<ObjectKind> kindOfList(const std::string& name);

} // namespace turmericsill::declarations
