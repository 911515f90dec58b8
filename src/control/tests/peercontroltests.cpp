#include "control/httppeercontrol.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::control;

// Entries of the earlier version answer during an upgrade. Their answers must still tell whether they are the
// controller.
TEST_CASE("peer control: an answer without the latest claim is decoded as one that knows no claim", "[control]")
{
    const auto state = decodeControlState(R"({"incarnation":1700000000000,"epoch":7})");
    REQUIRE(state);
    CHECK(state->incarnation == 1700000000000);
    CHECK(state->epoch == 7);
    CHECK(state->latestClaim == 0);
}

// If either side left the latest claim out, no witness would ever agree.
TEST_CASE("peer control: an encoded state is decoded with its latest claim", "[control]")
{
    const auto state = decodeControlState(encodeControlState({ 1700000000000, 7, 9 }));
    REQUIRE(state);
    CHECK(state->incarnation == 1700000000000);
    CHECK(state->epoch == 7);
    CHECK(state->latestClaim == 9);
}

// A witness whose answer is not understood must not count as one that knows no later claim.
TEST_CASE("peer control: an answer with a latest claim that is no number is an error", "[control]")
{
    CHECK_FALSE(decodeControlState(R"({"incarnation":1,"epoch":7,"latest_claim":"9"})"));
}
