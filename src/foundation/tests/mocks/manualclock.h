#pragma once

#include "foundation/iclock.h"

namespace turmericsill::foundation::mocks {

/// Clock whose time changes only when a test sets it.
class ManualClock : public IClock {
public:
    SteadyTime now() const override { return time; }
    WallTime wallNow() const override { return WallTime(time.time_since_epoch()); }

    SteadyTime time { std::chrono::seconds(10) };
};

} // namespace turmericsill::foundation::mocks
