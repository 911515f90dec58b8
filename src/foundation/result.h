#pragma once

#include "foundation/errc.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace turmericsill::foundation {

/// An error together with the step and the peer at which it arose.
struct Error {
    std::error_code code;
    std::string step; ///< Operation that failed, for example "log.append".
    std::string peer; ///< Address or name of the other side; empty when local.
    std::string detail;

    /// One line for operators: "step peer: code: detail".
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

/// A value, or the error that prevented it.
template <typename T> using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> failure(
    std::error_code code, std::string step, std::string peer = {}, std::string detail = {})
{
    return tl::unexpected<Error>(Error { code, std::move(step), std::move(peer), std::move(detail) });
}

} // namespace turmericsill::foundation
