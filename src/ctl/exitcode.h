#pragma once

namespace turmericsill::ctl {

/// Exit codes of turmericctl, a contract for scripts.
enum ExitCode {
    ExitDone = 0,
    ExitRefused = 1,
    ExitUsage = 2,
    ExitNoEntry = 3, ///< No entry could be reached; nothing was published.
    ExitUnknown = 4, ///< The outcome of a change is unknown; ask with "change ID".
};

} // namespace turmericsill::ctl
