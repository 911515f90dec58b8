#pragma once

#include "declarations/types/objects.h"
#include "jsonsource/document.h"

#include <optional>
#include <string>
#include <vector>

namespace turmericsill::declarations {

/// Loads every *.json file of a folder, in the order of their names, and checks the whole.
/// Each fault carries file, line and field; nothing is returned when there is any.
std::optional<DeclarationSet> loadFolder(const std::string& folder, jsonsource::Faults& faults);

/// As above, for documents that are already parsed.
std::optional<DeclarationSet> loadDocuments(
    const std::vector<jsonsource::Document>& documents, jsonsource::Faults& faults);

} // namespace turmericsill::declarations
