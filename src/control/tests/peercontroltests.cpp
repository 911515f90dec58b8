#include "control/httppeercontrol.h"
#include "httpserver/httpserver.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace turmericsill;
using namespace turmericsill::control;

namespace {

/// An entry that answers each request with the response that the test sets.
class PeerStandIn : public httpserver::IHttpHandler {
public:
    void handle(const httpserver::HttpExchangePtr& exchange) override
    {
        acceptsRejections = std::string(exchange->request()[acceptsRejectionsHeader]);
        exchange->respond(httpserver::makeResponse(status, body));
    }

    unsigned status = 200;
    std::string body;
    std::string acceptsRejections; ///< Value of the header in the latest request.
};

/// Forwards two records to a stand-in.
struct ForwardFixture {
    ForwardFixture() { REQUIRE(server.listen({ "127.0.0.1", 0 })); }
    ~ForwardFixture() { server.closeAll(); }

    foundation::Result<eventlog::StoreReceipt> forward()
    {
        std::optional<foundation::Result<eventlog::StoreReceipt>> result;
        peers.forward({ "127.0.0.1", server.port() }, { "one", "two" }, std::chrono::milliseconds(5000),
            [&](const foundation::Result<eventlog::StoreReceipt>& answer) { result = answer; });
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(6);
        while (!result && std::chrono::steady_clock::now() < limit)
            context.run_one_for(std::chrono::milliseconds(100));
        REQUIRE(result);
        return *result;
    }

    boost::asio::io_context context;
    PeerStandIn peer;
    httpserver::HttpServer server { context, peer, {} };
    HttpPeerControl peers { context };
};

} // namespace

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

// A controller rejects nothing unless the sender says that it understands, so a missing header would switch admission
// control off for all forwarded jobs.
TEST_CASE("peer control: a forwarded call announces that its sender understands rejections", "[control]")
{
    ForwardFixture fixture;
    const auto stored = fixture.forward();
    REQUIRE(stored);
    CHECK(stored->rejected.empty());
    CHECK(fixture.peer.acceptsRejections == "1");
}

TEST_CASE("peer control: the answer to a forwarded call tells which records were rejected", "[control]")
{
    ForwardFixture fixture;
    fixture.peer.body = R"({"rejected":[[1,2500]]})";
    const auto receipt = fixture.forward();
    REQUIRE(receipt);
    REQUIRE(receipt->rejected.size() == 1);
    CHECK(receipt->rejected[0].index == 1);
    CHECK(receipt->rejected[0].retryAfter == std::chrono::milliseconds(2500));
}

// The other records of such a call may be stored, so it must not count as one that surely had no effect.
TEST_CASE("peer control: an answer that is not understood leaves the outcome of a call open", "[control]")
{
    ForwardFixture fixture;
    fixture.peer.body = R"({"rejected":[[2,2500]]})";
    const auto unknown = fixture.forward();
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code != foundation::Errc::Unavailable);
    CHECK(unknown.error().code != foundation::Errc::Rejected);
    fixture.peer.status = 503;
    const auto refused = fixture.forward();
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == foundation::Errc::Unavailable);
}
