#pragma once

#include <system_error>

namespace turmericsill::foundation {

/// Error conditions raised by the project's own code.
enum class Errc {
    InvalidInput = 1,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    ProtocolViolation,
    UnknownRecord,
    CapacityExceeded,
    RetentionPassed,
    Fenced, ///< A later holder has taken over.
    WrongInstance, ///< The address belongs to another instance or life.
};

/// Category "turmericsill" of the codes above.
const std::error_category& errorCategory();

std::error_code make_error_code(Errc code);

} // namespace turmericsill::foundation

namespace std {
template <> struct is_error_code_enum<turmericsill::foundation::Errc> : true_type {
};
} // namespace std
