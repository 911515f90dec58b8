#pragma once

#include <cstddef>
#include <string>

namespace turmericsill::processtests {

/// A field of /proc/PID/status in kB, for example "VmHWM:"; 0 if there is no such process.
std::size_t processStatusKb(const std::string& pid, const std::string& field);

} // namespace turmericsill::processtests
