#pragma once

#include "processtests/misbehavingpeer.h"
#include "processtests/processundertest.h"

#include <functional>

namespace turmericsill::processtests {

/// What a process has to keep to while a crowd presses it.
struct ProcessBounds {
    std::size_t residentKb = 0; ///< Most resident memory at any time.
    std::size_t descriptors = 0; ///< Most open file descriptors.
};

/// Repeats `attempt` until it succeeds; false after 60 s.
bool succeedsInTime(const std::function<bool()>& attempt);

/// Lets the crowd press the process until none of its peers can go on, and checks that the process lives, has kept to
/// its bounds, and that `answersOrdinaryRequest` succeeds.
void checkUnderPressure(const ProcessUnderTest& process, const Crowd& crowd, const ProcessBounds& bounds,
    const std::function<bool()>& answersOrdinaryRequest);

} // namespace turmericsill::processtests
