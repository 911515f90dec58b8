#include "scheduling/instanceindex.h"
#include "scheduling/moveplanner.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::scheduling;

namespace {

InstanceView viewOf(const fleet::InstanceReport& report, std::int64_t freeMilliCores)
{
    InstanceView view;
    view.report = &report;
    view.free = { freeMilliCores, 1000, 0 };
    return view;
}

} // namespace

// A shrunk instance whose runs exceed its capacity has no room. Subtracting the excess from the room of the others
// makes a pool without waiting tasks look short, and it is given machines.
TEST_CASE("index: an overcommitted instance takes nothing from the free processor time of others", "[scheduling]")
{
    fleet::InstanceReport shrunk;
    shrunk.incarnation = { "i-1", 1 };
    fleet::InstanceReport idle;
    idle.incarnation = { "i-2", 1 };
    InstanceIndex index;
    index.update(viewOf(shrunk, -8000));
    CHECK(index.freeMilliCores() == 0);
    std::map<std::string, PoolDemand> demands;
    demands["desk"].freeMilliCores = index.freeMilliCores();
    CHECK(!hasShortage(demands, MovePolicy()));
    index.update(viewOf(idle, 5000));
    CHECK(index.freeMilliCores() == 5000);
    index.update(viewOf(shrunk, 2000));
    CHECK(index.freeMilliCores() == 7000);
    index.update(viewOf(shrunk, -1000));
    index.remove("i-2");
    CHECK(index.freeMilliCores() == 0);
}
