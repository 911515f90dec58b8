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

// Labels come from the reports that instances publish. The set of a label that occurs twice was removed with its last
// instance and then looked up again.
TEST_CASE("index: an instance with a repeated label is updated and removed like any other", "[scheduling]")
{
    fleet::InstanceReport report;
    report.incarnation = { "i-1", 1 };
    report.labels = { "a", "r1", "a" };
    InstanceIndex index;
    index.update(viewOf(report, 1000));
    CHECK(index.instances("a").size() == 1);
    index.update(viewOf(report, 2000));
    CHECK(index.instances("a").size() == 1);
    CHECK(index.instances("r1").size() == 1);
    index.remove("i-1");
    CHECK(index.instances("a").empty());
    CHECK(index.instances().empty());
}
