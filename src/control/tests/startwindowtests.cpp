#include "control/internal/startwindow.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::control;

namespace {

void confirm(StartWindow& window, int count, milliseconds latency)
{
    for (int i = 0; i < count; ++i)
        window.onConfirmed(latency);
}

} // namespace

// Load pattern: a surge of more starts than the controller's processor time handles. Without a bound, each order waits
// behind all others until instances that answered in time count as lost.
TEST_CASE("start window: shrinks while confirmations are slow and recovers with them", "[control]")
{
    StartWindow window;
    const std::size_t initial = window.size();
    confirm(window, 100, milliseconds(150));
    CHECK(window.size() < initial);
    confirm(window, 100000, milliseconds(150));
    CHECK(window.size() >= 32);
    const std::size_t smallest = window.size();
    confirm(window, 1000, milliseconds(60));
    CHECK(window.size() == smallest);
    confirm(window, 1000, milliseconds(10));
    CHECK(window.size() >= smallest + 900);
}

// A few instances that answer late must not slow down the starts on all others.
TEST_CASE("start window: a tenth of slow confirmations does not shrink it", "[control]")
{
    StartWindow window;
    const std::size_t initial = window.size();
    for (int round = 0; round < 1000; ++round) {
        confirm(window, 1, milliseconds(2500));
        confirm(window, 9, milliseconds(10));
    }
    CHECK(window.size() >= initial);
}
