#include "callers/dispatcher.h"
#include "callers/tests/mocks/endpointtransportmock.h"
#include "fleetstate/fleetstatemachine.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "telemetry/tests/mocks/nulltracer.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::callers;
using namespace std::chrono_literals;
using declarations::ObjectChange;
// The wildcard of trompeloeil has a name that linters reserve.
using trompeloeil::_; // NOLINT(bugprone-reserved-identifier)

namespace {

/// Shares of the same size on every instance.
class FixedShares : public ISlotShares {
public:
    std::uint32_t slots(const declarations::Service&, const std::string&) const override { return perInstance; }
    std::uint32_t connections(const declarations::Service&, const std::string&) const override { return perInstance; }

    std::uint32_t perInstance = 1;
};

/// The reply that a test's caller received, if any.
struct ReceivedReply {
    bool arrived = false;
    Outcome outcome = Outcome::Answered;
    std::string reason;
};

/// A dispatcher for one service on a pool of instances. The test ends the attempts itself.
class DispatcherFixture {
public:
    explicit DispatcherFixture(std::size_t instances)
    {
        fleetstate::ConfigChange change;
        declarations::Service service;
        service.name = "calls";
        service.pool = "calls";
        declarations::Pool pool;
        pool.name = "calls";
        change.changes = { { ObjectChange::Action::Add, service }, { ObjectChange::Action::Add, pool } };
        for (std::size_t index = 0; index < instances; ++index) {
            declarations::Instance instance;
            instance.name = "w" + std::to_string(index);
            instance.pool = "calls";
            instance.address = "127.0.0.1:" + std::to_string(9000 + index);
            change.changes.push_back({ ObjectChange::Action::Add, instance });
        }
        stateMachine.apply(0, { "c", "e", {}, change });
        dispatcher.applyState(stateMachine.state());
    }

    std::shared_ptr<ReceivedReply> submit(bool idempotent, foundation::milliseconds timeout)
    {
        auto reply = std::make_shared<ReceivedReply>();
        CallerRequestPtr request = new CallerRequest(
            { boost::beast::http::verb::post, "/calls/x", 11 }, idempotent, [reply](CallerReply callerReply) {
                *reply = { true, callerReply.outcome, callerReply.reason };
            });
        request->service = "calls";
        request->receivedAt = clock.now();
        request->deadline = clock.now() + timeout;
        dispatcher.submit(request);
        lastRequest = request;
        return reply;
    }

    void advance(foundation::milliseconds duration)
    {
        clock.time += duration;
        dispatcher.onTick();
        dispatcher.onLogRead(clock.now());
        timers.runDue(clock.now());
    }

    /// Records attempts instead of sending them.
    std::unique_ptr<trompeloeil::expectation> collectAttempts()
    {
        return NAMED_ALLOW_CALL(transport, start(_, _, _, _, _))
            .LR_SIDE_EFFECT(attempts.push_back(_5))
            .LR_SIDE_EFFECT(targets.push_back(_1.instance));
    }

    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    telemetry::mocks::NullTracer tracer;
    FixedShares shares;
    mocks::EndpointTransportMock transport;
    fleetstate::FleetStateMachine stateMachine;
    Dispatcher dispatcher { transport, shares, timers, clock, tracer, {}, 1 };
    std::vector<AttemptObserverPtr> attempts;
    std::vector<std::string> targets;
    CallerRequestPtr lastRequest;
};

const foundation::Error connectionRefused { foundation::Errc::Unavailable, "endpoint.connect", "w", "refused" };
const foundation::Error responseTruncated { foundation::Errc::ProtocolViolation, "endpoint.receive", "w", "cut short" };

} // namespace

TEST_CASE("dispatcher: a refused connection is retried, a non-idempotent request that fails after sending is not",
    "[dispatcher]")
{
    DispatcherFixture fixture(3);
    auto collector = fixture.collectAttempts();
    auto first = fixture.submit(false, 1s);
    REQUIRE(fixture.attempts.size() == 1);
    fixture.attempts[0]->onFailure(connectionRefused);
    REQUIRE(fixture.attempts.size() == 2);
    REQUIRE(fixture.attempts[1]->onBeforeSend());
    fixture.attempts[1]->onFailure(responseTruncated);
    CHECK(fixture.attempts.size() == 2);
    REQUIRE(first->arrived);
    CHECK(first->outcome == Outcome::Unknown);

    auto second = fixture.submit(true, 1s);
    REQUIRE(fixture.attempts[2]->onBeforeSend());
    fixture.attempts[2]->onFailure(responseTruncated);
    REQUIRE(fixture.attempts.size() == 4);
    REQUIRE(fixture.attempts[3]->onBeforeSend());
    fixture.attempts[3]->onResponse(httpserver::makeResponse(200, "ok"));
    REQUIRE(second->arrived);
    CHECK(second->outcome == Outcome::Answered);
}

TEST_CASE("dispatcher: a late response is discarded and its slot stays occupied until it arrives", "[dispatcher]")
{
    DispatcherFixture fixture(1);
    auto collector = fixture.collectAttempts();
    auto reply = fixture.submit(false, 100ms);
    REQUIRE(fixture.attempts[0]->onBeforeSend());
    fixture.advance(100ms);
    REQUIRE(reply->arrived);
    CHECK(reply->outcome == Outcome::Unknown);
    auto next = fixture.submit(true, 5s);
    CHECK(fixture.attempts.size() == 1);
    reply->arrived = false;
    fixture.attempts[0]->onResponse(httpserver::makeResponse(200, "late"));
    CHECK_FALSE(reply->arrived);
    CHECK(fixture.dispatcher.counters().lateResponses == 1);
    REQUIRE(fixture.attempts.size() == 2);
    CHECK_FALSE(next->arrived);
}

TEST_CASE("dispatcher: a request whose deadline passes before the first byte is not run and never sent", "[dispatcher]")
{
    DispatcherFixture fixture(1);
    auto collector = fixture.collectAttempts();
    auto reply = fixture.submit(false, 100ms);
    fixture.advance(100ms);
    REQUIRE(reply->arrived);
    CHECK(reply->outcome == Outcome::NotRun);
    CHECK_FALSE(fixture.attempts[0]->onBeforeSend());
}

TEST_CASE(
    "dispatcher: requests that would wait too long are refused immediately, the others are queued", "[dispatcher]")
{
    DispatcherFixture fixture(1);
    auto collector = fixture.collectAttempts();
    fixture.submit(false, 5s);
    REQUIRE(fixture.attempts[0]->onBeforeSend());
    fixture.advance(200ms);
    fixture.attempts[0]->onResponse(httpserver::makeResponse(200, "raises the estimated service time"));
    std::vector<std::shared_ptr<ReceivedReply>> replies;
    for (int index = 0; index < 60; ++index)
        replies.push_back(fixture.submit(false, 5s));
    const auto refusedCount
        = std::count_if(replies.begin(), replies.end(), [](const auto& reply) { return reply->arrived; });
    CHECK(refusedCount > 30);
    CHECK(refusedCount < 59);
    for (const auto& reply : replies) {
        if (reply->arrived)
            CHECK(reply->outcome == Outcome::NotRun);
    }
    CHECK(fixture.attempts.size() == 2);
    fixture.advance(401ms);
    CHECK(fixture.dispatcher.counters().queued == 0);
}

TEST_CASE("dispatcher: a draining instance receives no new requests and is busy until its requests end", "[dispatcher]")
{
    DispatcherFixture fixture(1);
    auto collector = fixture.collectAttempts();
    auto reply = fixture.submit(false, 5s);
    REQUIRE(fixture.attempts[0]->onBeforeSend());
    const auto version = fixture.stateMachine.state()->findInstance("w0")->version;
    fixture.stateMachine.apply(1, { "d", "e", {}, fleetstate::DrainRequest { "w0", version, "ania", "" } });
    CHECK(fixture.stateMachine.state()->findInstance("w0")->lifecycle == fleetstate::Lifecycle::Serving);

    declarations::Pool pool = fixture.stateMachine.state()->pools.at("calls")->declared;
    pool.minimumHealthy = 0;
    fixture.stateMachine.apply(
        2, { "p", "e", {}, fleetstate::ConfigChange { 1, "ania", "", { { ObjectChange::Action::Update, pool } } } });
    fixture.stateMachine.apply(3, { "d2", "e", {}, fleetstate::DrainRequest { "w0", version, "ania", "" } });
    REQUIRE_CALL(fixture.transport, closeIdleConnections("w0"));
    fixture.dispatcher.applyState(fixture.stateMachine.state());
    CHECK(fixture.dispatcher.busyInstances() == std::vector<std::string> { "w0" });
    fixture.submit(true, 5s);
    CHECK(fixture.attempts.size() == 1);
    fixture.attempts[0]->onResponse(httpserver::makeResponse(200, "ok"));
    CHECK(reply->arrived);
    CHECK(fixture.dispatcher.busyInstances().empty());
    CHECK(fixture.attempts.size() == 1);
}

TEST_CASE(
    "dispatcher: after the serving limit no attempt is started and a started attempt sends nothing", "[dispatcher]")
{
    DispatcherFixture fixture(2);
    auto collector = fixture.collectAttempts();
    auto started = fixture.submit(false, 5s);
    fixture.dispatcher.setServingUntil(fixture.clock.now());
    CHECK_FALSE(fixture.attempts[0]->onBeforeSend());
    fixture.attempts[0]->onFailure({ foundation::Errc::Conflict, "endpoint.send", "w", "stopped" });
    REQUIRE(started->arrived);
    CHECK(started->outcome == Outcome::NotRun);
    auto reply = fixture.submit(true, 5s);
    REQUIRE(reply->arrived);
    CHECK(reply->outcome == Outcome::NotRun);
}

TEST_CASE("dispatcher: retries stay within their budget when several endpoints fail", "[dispatcher]")
{
    DispatcherFixture fixture(10);
    fixture.shares.perInstance = 100;
    fixture.dispatcher.refreshShares();
    auto collector = fixture.collectAttempts();
    constexpr std::size_t requests = 1000;
    std::size_t next = 0;
    for (std::size_t index = 0; index < requests; ++index) {
        fixture.submit(true, 5s);
        while (next < fixture.attempts.size()) {
            const std::size_t attempt = next++;
            const bool fails = fixture.targets[attempt] < "w3";
            if (fixture.attempts[attempt]->onBeforeSend()) {
                if (fails)
                    fixture.attempts[attempt]->onFailure(responseTruncated);
                else
                    fixture.attempts[attempt]->onResponse(httpserver::makeResponse(200, "ok"));
            }
        }
        fixture.advance(1ms);
    }
    CHECK(static_cast<double>(fixture.attempts.size()) <= 1.1 * requests);
    CHECK(fixture.dispatcher.counters().ejected == 3);
}

TEST_CASE("dispatcher: a caller that disconnects frees its place in the queue", "[dispatcher]")
{
    DispatcherFixture fixture(1);
    auto collector = fixture.collectAttempts();
    fixture.submit(false, 5s);
    auto waiting = fixture.submit(false, 5s);
    REQUIRE(fixture.dispatcher.counters().queued == 1);
    fixture.dispatcher.onCallerDisconnected(fixture.lastRequest);
    CHECK(fixture.dispatcher.counters().queued == 0);
    fixture.attempts[0]->onResponse(httpserver::makeResponse(200, "ok"));
    CHECK(fixture.attempts.size() == 1);
}
