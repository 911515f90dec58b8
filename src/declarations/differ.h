#pragma once

#include "declarations/types/objects.h"

namespace turmericsill::declarations {

/// Changes that turn `before` into `after`, in the order of their keys.
ObjectChanges diff(const DeclarationSet& before, const DeclarationSet& after);

} // namespace turmericsill::declarations
