#pragma once

#include "declarations/types/objects.h"
#include "jsonsource/objectschema.h"

#include <optional>
#include <string>
#include <vector>

namespace turmericsill::declarations {

/// A field that refers to another declared object by name.
struct ObjectReference {
    std::string field;
    ObjectKind target;
};

/// Schema of the objects of a kind in declaration files.
const jsonsource::ObjectSchema& schemaOf(ObjectKind kind);

/// Fields of the objects of a kind that refer to other objects.
const std::vector<ObjectReference>& referencesOf(ObjectKind kind);

/// Kind of the objects in the list `name` of a declaration file, or nothing for an unknown list.
std::optional<ObjectKind> findKindByListName(const std::string& name);

} // namespace turmericsill::declarations
