#pragma once

#include "foundation/errc.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace turmericsill::foundation {

/// Error code with its context: the operation that failed and the peer that was involved.
struct Error {
    std::error_code code;
    std::string step; ///< Operation that failed, for example "log.append".
    std::string peer; ///< Address or name of the remote side; empty for a local failure.
    std::string detail; ///< Further explanation for operators; may be empty.

    /// Formats the error on one line as "step peer: code: detail", without the parts that are empty.
    std::string message() const
    {
        std::string text = step;
        if (!peer.empty())
            text += " " + peer;
        text += ": " + code.message();
        if (!detail.empty())
            text += ": " + detail;
        return text;
    }
};

/// Either the value of a successful operation or its error.
template <typename T> using Result = tl::expected<T, Error>;

/// Builds the error alternative of a Result.
inline tl::unexpected<Error> failure(
    std::error_code code, std::string step, std::string peer = {}, std::string detail = {})
{
    return tl::unexpected<Error>(Error { code, std::move(step), std::move(peer), std::move(detail) });
}

} // namespace turmericsill::foundation
