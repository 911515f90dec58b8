#pragma once

#include "declarations/types/objects.h"

namespace turmericsill::declarations {

/// Returns the changes that turn `before` into `after`: removals first, then additions and updates, each in key order.
ObjectChanges diff(const DeclarationSet& before, const DeclarationSet& after);

} // namespace turmericsill::declarations
