#pragma once

#include <system_error>

namespace turmericsill::foundation {

/// Error codes defined by this project.
enum class Errc {
    InvalidInput = 1,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    ProtocolViolation,
    UnknownRecord, ///< This version of the program cannot decode the record.
    CapacityExceeded,
    RetentionPassed, ///< The log no longer retains the requested records.
    Fenced, ///< A later holder, with a higher fencing token or epoch, has taken over.
    WrongInstance, ///< Another instance, or another incarnation of it, answers at the address.
    Rejected, ///< The peer did not carry out the request and would reject it again.
};

/// Error category "turmericsill", to which the values of Errc belong.
const std::error_category& errorCategory();

std::error_code make_error_code(Errc code);

} // namespace turmericsill::foundation

namespace std {
template <> struct is_error_code_enum<turmericsill::foundation::Errc> : true_type {
};
} // namespace std
