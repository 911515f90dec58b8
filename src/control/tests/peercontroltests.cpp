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

// Entries of the earlier version answer with an empty body when they have stored all records.
TEST_CASE("peer control: an empty receipt rejects nothing", "[control]")
{
    CHECK(encodeReceipt({}).empty());
    const auto receipt = decodeReceipt("", 3);
    REQUIRE(receipt);
    CHECK(receipt->rejected.empty());
}

TEST_CASE("peer control: an encoded receipt is decoded with its rejections", "[control]")
{
    using std::chrono::milliseconds;
    const std::string body = encodeReceipt({ { { 0, milliseconds(1000) }, { 2, milliseconds(3250) } } });
    CHECK(body == R"({"rejected":[[0,1000],[2,3250]]})");
    const auto receipt = decodeReceipt(body, 3);
    REQUIRE(receipt);
    REQUIRE(receipt->rejected.size() == 2);
    CHECK(receipt->rejected[1].index == 2);
    CHECK(receipt->rejected[1].retryAfter == milliseconds(3250));
}

// A receipt that is not understood must not count as acceptance: the rejected records are not stored.
TEST_CASE("peer control: an invalid receipt is an error", "[control]")
{
    for (const char* body : { "{}", "[]", R"({"rejected":[[3,1000]]})", R"({"rejected":[[-1,1000]]})",
             R"({"rejected":[[0]]})", R"({"rejected":[[0,1000],[0,1000]]})", R"({"rejected":[[0,-5]]})", "stored" })
        CHECK_FALSE(decodeReceipt(body, 3));
}
