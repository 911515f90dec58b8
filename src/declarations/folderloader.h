#pragma once

#include "declarations/types/objects.h"
#include "jsonsource/document.h"

#include <optional>
#include <string>
#include <vector>

namespace turmericsill::declarations {

/// Loads all *.json files of a folder in the order of their names and validates the resulting declaration set.
/// Returns nothing if there are faults; each fault states file, line and field.
std::optional<DeclarationSet> loadFolder(const std::string& folder, jsonsource::Faults& faults);

/// Validates documents that are already parsed, and returns their declaration set as loadFolder() does.
std::optional<DeclarationSet> loadDocuments(
    const std::vector<jsonsource::Document>& documents, jsonsource::Faults& faults);

} // namespace turmericsill::declarations
