#include "httpserver/readbudget.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace turmericsill;
using namespace turmericsill::httpserver;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1 << 10;

class Holder final : public BudgetHolder {
public:
    explicit Holder(ReadBudget& budget)
        : budget_(budget)
    {
    }
    ~Holder() { budget_.release(*this); }

    bool hold(std::size_t kilobytes, foundation::milliseconds at)
    {
        return budget_.update(*this, kilobytes * kilobyte, foundation::SteadyTime(at));
    }

    int closed = 0;
    bool isWithHandler = false;

private:
    bool isExpendable() const override { return !isWithHandler; }
    void closeForBudget() override { ++closed; }

    ReadBudget& budget_;
};

ReadBudgetLimits limitsOf(std::size_t kilobytes)
{
    ReadBudgetLimits limits;
    limits.bytes = kilobytes * kilobyte;
    limits.freeBytesPerConnection = 8 * kilobyte;
    return limits;
}

} // namespace

// A request that lies unfinished must not displace those that arrive, or ordinary callers pay for the others.
TEST_CASE("read budget: the connection that has held most for longest without progress is closed first", "[readbudget]")
{
    ReadBudget budget(limitsOf(300));
    Holder stalled(budget);
    Holder progressing(budget);
    Holder small(budget);
    Holder latest(budget);
    CHECK(stalled.hold(108, 0ms));
    CHECK(small.hold(28, 0ms));
    CHECK(progressing.hold(58, 0ms));
    CHECK(progressing.hold(158, 1000ms));
    CHECK(latest.hold(108, 1001ms));
    CHECK(stalled.closed == 1);
    CHECK(progressing.closed + small.closed + latest.closed == 0);
    CHECK(budget.usedBytes() == (20 + 150 + 100) * kilobyte);
}

TEST_CASE("read budget: a byte now and then is no progress", "[readbudget]")
{
    ReadBudget budget(limitsOf(200));
    Holder dripping(budget);
    Holder honest(budget);
    CHECK(dripping.hold(108, 0ms));
    CHECK(honest.hold(108, 900ms));
    CHECK(budget.update(dripping, 108 * kilobyte + 1, foundation::SteadyTime(950ms)) == false);
    CHECK(honest.closed == 0);
}

TEST_CASE("read budget: small requests are accepted while it is used up", "[readbudget]")
{
    ReadBudget budget(limitsOf(100));
    Holder large(budget);
    large.isWithHandler = true;
    CHECK(large.hold(108, 0ms));
    std::vector<std::unique_ptr<Holder>> small;
    for (int index = 0; index < 100; ++index) {
        small.push_back(std::make_unique<Holder>(budget));
        CHECK(small.back()->hold(8, 1ms));
    }
    CHECK(large.closed == 0);
    CHECK(budget.usedBytes() == 100 * kilobyte);
}

// Its handler goes on with the request, so closing the connection would only hide whether it has run.
TEST_CASE("read budget: a request that is with its handler is kept and the new one refused", "[readbudget]")
{
    ReadBudget budget(limitsOf(100));
    Holder handled(budget);
    handled.isWithHandler = true;
    Holder latest(budget);
    CHECK(handled.hold(100, 0ms));
    CHECK_FALSE(latest.hold(100, 5000ms));
    CHECK(handled.closed == 0);
    CHECK(latest.closed == 0);
    CHECK(latest.hold(8, 5000ms));
    CHECK(budget.usedBytes() == 92 * kilobyte);
}

TEST_CASE("read budget: nothing is counted once all connections have gone", "[readbudget]")
{
    ReadBudget budget(limitsOf(500));
    {
        Holder first(budget);
        Holder second(budget);
        for (std::size_t kilobytes = 4; kilobytes < 400; kilobytes += 7) {
            first.hold(kilobytes, foundation::milliseconds(kilobytes));
            second.hold(404 - kilobytes, foundation::milliseconds(kilobytes));
        }
        CHECK(budget.usedBytes() > 0);
        CHECK(budget.trimMemory(foundation::SteadyTime(10s)) == false);
    }
    CHECK(budget.usedBytes() == 0);
    CHECK(budget.trimMemory(foundation::SteadyTime(10s)));
    CHECK_FALSE(budget.trimMemory(foundation::SteadyTime(30s)));
}

TEST_CASE("read budget: a sixteenth of the descriptors is kept for calls of the process", "[readbudget]")
{
    ReadBudgetLimits limits;
    limits.descriptors = 4100;
    const ReadBudget budget(limits);
    CHECK_FALSE(budget.isShortOfDescriptors(3800));
    CHECK(budget.isShortOfDescriptors(3844));
    CHECK_FALSE(ReadBudget().isShortOfDescriptors(1 << 20));
}
