#pragma once

namespace turmericsill::ctl {

/// Exit codes of turmericctl. Scripts depend on them, so they must not change.
enum ExitCode {
    ExitDone = 0,
    ExitRefused = 1,
    ExitUsage = 2,
    ExitNoEntry = 3, ///< No entry could be reached; nothing was published.
    ExitUnknown = 4, ///< The outcome of a change is unknown; "turmericctl change ID" queries it.
};

} // namespace turmericsill::ctl
