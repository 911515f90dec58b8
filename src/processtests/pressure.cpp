#include "processtests/pressure.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <poll.h>
#include <thread>

namespace turmericsill::processtests {

using namespace std::chrono_literals;

namespace {

    constexpr auto hangGuard = 60s;
    constexpr auto crowdGuard = 40s;
    constexpr auto quietTime = 1s; ///< A crowd is done when none of its peers could go on for so long.

} // namespace

bool succeedsInTime(const std::function<bool()>& attempt)
{
    const auto deadline = std::chrono::steady_clock::now() + hangGuard;
    while (std::chrono::steady_clock::now() < deadline) {
        if (attempt())
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

void checkUnderPressure(const ProcessUnderTest& process, const Crowd& crowd, const ProcessBounds& bounds,
    const std::function<bool()>& answersOrdinaryRequest)
{
    const std::size_t residentAtStartKb = process.residentKb();
    const auto deadline = std::chrono::steady_clock::now() + crowdGuard;
    auto lastProgress = std::chrono::steady_clock::now();
    std::size_t mostDescriptors = 0;
    for (auto now = lastProgress; now < deadline && now - lastProgress < quietTime && process.isAlive();
         now = std::chrono::steady_clock::now()) {
        bool hasProgressed = false;
        for (const auto& peer : crowd)
            hasProgressed |= peer->step();
        mostDescriptors = std::max(mostDescriptors, process.openDescriptors());
        if (hasProgressed)
            lastProgress = now;
        else
            ::poll(nullptr, 0, 5);
    }
    REQUIRE(process.isAlive());
    CHECK(answersOrdinaryRequest());
    WARN("resident memory at start " << residentAtStartKb << " kB, peak " << process.peakResidentKb() << " kB, now "
                                     << process.residentKb() << " kB; descriptors " << mostDescriptors);
    CHECK(process.peakResidentKb() <= bounds.residentKb);
    CHECK(mostDescriptors <= bounds.descriptors);
    CHECK(process.isAlive());
}

} // namespace turmericsill::processtests
