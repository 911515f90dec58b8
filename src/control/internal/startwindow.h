#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace turmericsill::control {

using foundation::milliseconds;

/// Bounds the starts in progress, from the plan of a run to the answer to its order. Beyond what the controller's
/// processor time handles, more starts in progress only make each of them slower: orders then time out, instances that
/// answered in time count as lost, and the ends that free room wait as well. The bound follows how soon orders are
/// confirmed.
class StartWindow {
public:
    /// Number of starts that may be in progress.
    std::size_t size() const { return static_cast<std::size_t>(size_); }

    /// An instance confirmed a start this long after its order was sent.
    void onConfirmed(foundation::SteadyTime::duration latency);

private:
    double size_ = 256;
};

} // namespace turmericsill::control
