#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace turmericsill::callers {

/// Bounds of the dispatcher.
struct DispatcherOptions {
    std::size_t maximumQueued = 2000; ///< Over all services.
    foundation::milliseconds maximumQueueDelay { 400 };
    std::uint32_t maximumAttempts = 3;
    foundation::milliseconds lateAnswerLimit { 30000 }; ///< How long an overdue answer keeps its slot.
};

/// What the dispatcher counts; monotonic but for the last three.
struct DispatcherCounters {
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t shed = 0;
    std::uint64_t lateAnswers = 0;
    std::uint64_t queued = 0; ///< Now.
    std::uint64_t inProgress = 0; ///< Now.
    std::uint64_t ejected = 0; ///< Endpoints now.
};

} // namespace turmericsill::callers
