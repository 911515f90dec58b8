#include "control/internal/startwindow.h"

#include <algorithm>

namespace turmericsill::control {

namespace {

    constexpr double minimumSize = 64; ///< Enough for the orders of a small fleet at any latency.
    constexpr double maximumSize = 2048;
    constexpr milliseconds lowLatency { 40 }; ///< An instance answers within 10 ms.
    constexpr milliseconds highLatency { 100 }; ///< Half of the time after which an order has failed.
    constexpr double growth = 1; ///< For a confirmation with low latency, so that the window doubles in a round.
    constexpr double reduction = 0.5; ///< For a confirmation with high latency.

} // namespace

void StartWindow::onConfirmed(foundation::SteadyTime::duration latency)
{
    if (latency < lowLatency)
        size_ = std::min(size_ + growth, maximumSize);
    else if (latency > highLatency)
        size_ = std::max(size_ - reduction, minimumSize);
}

} // namespace turmericsill::control
