#include "scheduling/teamrates.h"
#include "scheduling/tests/teamfixtures.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::scheduling;
using namespace std::chrono_literals;
using foundation::SteadyTime;

namespace {

constexpr SteadyTime start { 100s };

/// Submits a job; returns whether it is within the rate of its team.
bool submit(TeamRates& rates, const std::string& team, SteadyTime now)
{
    if (rates.isExhausted(team, now))
        return false;
    rates.takeToken(team, now);
    return true;
}

int submitMany(TeamRates& rates, const std::string& team, SteadyTime now, int count)
{
    int within = 0;
    for (int i = 0; i < count; ++i)
        within += submit(rates, team, now) ? 1 : 0;
    return within;
}

} // namespace

// A burst that the platform permits must not be beyond the rate, and what exceeds it must be.
TEST_CASE("team rates: a full bucket permits a second's worth of jobs and the burst", "[scheduling]")
{
    TeamRates rates(20);
    rates.setConfiguration(withTeams({ { "growers", 10 } }), start);
    CHECK(submitMany(rates, "growers", start, 100) == 30);
    CHECK(submitMany(rates, "growers", start + 500ms, 100) == 5);
    CHECK(submitMany(rates, "growers", start + 60s, 100) == 30);
}

// One team at eight times its rate for 12 s used to be served like all others.
TEST_CASE("team rates: a flood of one team is beyond its rate and no other team is", "[scheduling]")
{
    TeamRates rates(20);
    rates.setConfiguration(withTeams({ { "growers", 10 }, { "millers", 5 }, { "packers", 5 } }), start);
    int flood = 0;
    int others = 0;
    for (int tick = 0; tick < 12 * 80; ++tick) {
        const SteadyTime now = start + tick * 12500us;
        flood += submit(rates, "growers", now) ? 1 : 0;
        if (tick % 16 == 0)
            others += submitMany(rates, "millers", now, 1) + submitMany(rates, "packers", now, 1);
    }
    CHECK(flood >= 145);
    CHECK(flood <= 151); // 12 s at 10 jobs a second, and a full bucket of 30.
    CHECK(others == 120);
}

TEST_CASE("team rates: jobs without a team and of unknown teams are never beyond a rate", "[scheduling]")
{
    TeamRates rates(0);
    rates.setConfiguration(withTeams({ { "growers", 1 } }), start);
    CHECK(submitMany(rates, "", start, 1000) == 1000);
    CHECK(submitMany(rates, "newcomers", start, 1000) == 1000);
}

// A weight below one without a burst would make a bucket that never holds a whole token.
TEST_CASE("team rates: a team with a small weight gets a job through now and then", "[scheduling]")
{
    TeamRates rates(0);
    rates.setConfiguration(withTeams({ { "growers", 0.25 } }), start);
    CHECK(submitMany(rates, "growers", start, 5) == 1);
    CHECK(submitMany(rates, "growers", start + 3900ms, 5) == 0);
    CHECK(submitMany(rates, "growers", start + 4s, 5) == 1);
}

// With each configuration version a team could otherwise submit another burst.
TEST_CASE("team rates: a newer configuration does not refill the buckets", "[scheduling]")
{
    TeamRates rates(20);
    rates.setConfiguration(withTeams({ { "growers", 10 } }), start);
    CHECK(submitMany(rates, "growers", start, 100) == 30);
    rates.setConfiguration(withTeams({ { "growers", 40 }, { "millers", 5 } }), start);
    CHECK(submitMany(rates, "growers", start, 100) == 0);
    CHECK(submitMany(rates, "millers", start, 100) == 25);
    CHECK(submitMany(rates, "growers", start + 500ms, 100) == 20);
}

// A change of controller during a flood must neither permit another burst nor punish a team for jobs of long ago.
TEST_CASE("team rates: a new controller restores the buckets from the jobs received lately", "[scheduling]")
{
    TeamRates rates(20);
    rates.setConfiguration(withTeams({ { "growers", 10 }, { "millers", 10 }, { "packers", 10 } }), start);
    std::vector<ReceivedJob> jobs;
    for (int i = 0; i < 30; ++i) {
        jobs.push_back({ "growers", start - 1s, false });
        jobs.push_back({ "growers", start - 1s, true });
        jobs.push_back({ "millers", start - 10s, false });
        jobs.push_back({ "packers", start - 1s, true });
    }
    rates.restore(jobs, start);
    CHECK(submitMany(rates, "growers", start, 100) == 10);
    CHECK(submitMany(rates, "millers", start, 100) == 30);
    CHECK(submitMany(rates, "packers", start, 100) == 30);
}

// The wall clocks of entries differ, so a job may seem to be received in the future.
TEST_CASE("team rates: a job received later than now counts as received now", "[scheduling]")
{
    TeamRates rates(0);
    rates.setConfiguration(withTeams({ { "growers", 2 } }), start);
    rates.restore({ { "growers", start + 5s, false }, { "growers", start + 9s, false } }, start);
    CHECK(rates.isExhausted("growers", start));
    CHECK(submitMany(rates, "growers", start + 1s, 5) == 2);
}
