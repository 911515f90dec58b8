#include "callers/dispatcher.h"
#include "callers/tests/mocks/endpointtransportmock.h"
#include "fleetstate/fold.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "telemetry/tests/mocks/silenttracer.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::callers;
using namespace std::chrono_literals;
using declarations::ObjectChange;
// The wildcard of trompeloeil has a name that linters reserve.
using trompeloeil::_; // NOLINT(bugprone-reserved-identifier)

namespace {

class FixedShares : public ISlotShares {
public:
    std::uint32_t slots(const declarations::Service&, const std::string&) const override { return perInstance; }
    std::uint32_t connections(const declarations::Service&, const std::string&) const override { return perInstance; }

    std::uint32_t perInstance = 1;
};

struct Reply {
    bool arrived = false;
    Outcome outcome = Outcome::Answered;
    std::string reason;
};

/// A dispatcher over a pool of instances, whose attempts the test ends as it likes.
class Bench {
public:
    explicit Bench(std::size_t instances)
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
        fold.apply(0, { "c", "e", {}, change });
        dispatcher.applyState(fold.state());
    }

    std::shared_ptr<Reply> submit(bool idempotent, foundation::milliseconds timeout)
    {
        auto reply = std::make_shared<Reply>();
        CallerRequestPtr request = new CallerRequest(
            { boost::beast::http::verb::post, "/calls/x", 11 }, idempotent, [reply](CallerReply told) {
                *reply = { true, told.outcome, told.reason };
            });
        request->service = "calls";
        request->receivedAt = clock.now();
        request->deadline = clock.now() + timeout;
        dispatcher.submit(request);
        last = request;
        return reply;
    }

    void advance(foundation::milliseconds duration)
    {
        clock.time += duration;
        dispatcher.noteAlive();
        dispatcher.onLogRead(clock.now());
        timers.runDue(clock.now());
    }

    /// Collects attempts instead of carrying them out.
    std::unique_ptr<trompeloeil::expectation> collect()
    {
        return NAMED_ALLOW_CALL(transport, start(_, _, _, _, _))
            .LR_SIDE_EFFECT(attempts.push_back(_5))
            .LR_SIDE_EFFECT(targets.push_back(_1.instance));
    }

    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    telemetry::mocks::SilentTracer tracer;
    FixedShares shares;
    mocks::EndpointTransportMock transport;
    fleetstate::Fold fold;
    Dispatcher dispatcher { transport, shares, timers, clock, tracer, {}, 1 };
    std::vector<AttemptObserverPtr> attempts;
    std::vector<std::string> targets;
    CallerRequestPtr last;
};

const foundation::Error refused { foundation::Errc::Unavailable, "endpoint.connect", "w", "refused" };
const foundation::Error broken { foundation::Errc::ProtocolViolation, "endpoint.receive", "w", "cut short" };

} // namespace

TEST_CASE("dispatcher: a refused connection is tried again, a broken non-idempotent request is not", "[dispatcher]")
{
    Bench bench(3);
    auto collecting = bench.collect();
    auto first = bench.submit(false, 1s);
    REQUIRE(bench.attempts.size() == 1);
    bench.attempts[0]->onFailure(refused);
    REQUIRE(bench.attempts.size() == 2);
    REQUIRE(bench.attempts[1]->onSending());
    bench.attempts[1]->onFailure(broken);
    CHECK(bench.attempts.size() == 2);
    REQUIRE(first->arrived);
    CHECK(first->outcome == Outcome::Unknown);

    auto second = bench.submit(true, 1s);
    REQUIRE(bench.attempts[2]->onSending());
    bench.attempts[2]->onFailure(broken);
    REQUIRE(bench.attempts.size() == 4);
    REQUIRE(bench.attempts[3]->onSending());
    bench.attempts[3]->onAnswer(httpserver::makeResponse(200, "ok"));
    REQUIRE(second->arrived);
    CHECK(second->outcome == Outcome::Answered);
}

TEST_CASE("dispatcher: a late answer reaches nobody and keeps its slot until it comes", "[dispatcher]")
{
    Bench bench(1);
    auto collecting = bench.collect();
    auto reply = bench.submit(false, 100ms);
    REQUIRE(bench.attempts[0]->onSending());
    bench.advance(100ms);
    REQUIRE(reply->arrived);
    CHECK(reply->outcome == Outcome::Unknown);
    auto next = bench.submit(true, 5s);
    CHECK(bench.attempts.size() == 1);
    reply->arrived = false;
    bench.attempts[0]->onAnswer(httpserver::makeResponse(200, "late"));
    CHECK_FALSE(reply->arrived);
    CHECK(bench.dispatcher.counters().lateAnswers == 1);
    REQUIRE(bench.attempts.size() == 2);
    CHECK_FALSE(next->arrived);
}

TEST_CASE("dispatcher: the deadline before the first byte is not run, and the byte is never sent", "[dispatcher]")
{
    Bench bench(1);
    auto collecting = bench.collect();
    auto reply = bench.submit(false, 100ms);
    bench.advance(100ms);
    REQUIRE(reply->arrived);
    CHECK(reply->outcome == Outcome::NotRun);
    CHECK_FALSE(bench.attempts[0]->onSending());
}

TEST_CASE("dispatcher: what would wait too long is refused at once, the rest waits its turn", "[dispatcher]")
{
    Bench bench(1);
    auto collecting = bench.collect();
    bench.submit(false, 5s);
    REQUIRE(bench.attempts[0]->onSending());
    bench.advance(200ms);
    bench.attempts[0]->onAnswer(httpserver::makeResponse(200, "teaches a service time of 200 ms"));
    std::vector<std::shared_ptr<Reply>> replies;
    for (int index = 0; index < 60; ++index)
        replies.push_back(bench.submit(false, 5s));
    const auto refusedCount
        = std::count_if(replies.begin(), replies.end(), [](const auto& reply) { return reply->arrived; });
    CHECK(refusedCount > 30);
    CHECK(refusedCount < 59);
    for (const auto& reply : replies) {
        if (reply->arrived)
            CHECK(reply->outcome == Outcome::NotRun);
    }
    CHECK(bench.attempts.size() == 2);
    bench.advance(401ms);
    CHECK(bench.dispatcher.counters().queued == 0);
}

TEST_CASE("dispatcher: a draining instance gets no new work and is busy until its requests end", "[dispatcher]")
{
    Bench bench(1);
    auto collecting = bench.collect();
    auto reply = bench.submit(false, 5s);
    REQUIRE(bench.attempts[0]->onSending());
    const auto version = bench.fold.state()->findInstance("w0")->version;
    bench.fold.apply(1, { "d", "e", {}, fleetstate::DrainRequest { "w0", version, "ania", "" } });
    CHECK(bench.fold.state()->findInstance("w0")->lifecycle == fleetstate::Lifecycle::Serving);

    declarations::Pool pool = bench.fold.state()->pools.at("calls")->declared;
    pool.minimumHealthy = 0;
    bench.fold.apply(
        2, { "p", "e", {}, fleetstate::ConfigChange { 1, "ania", "", { { ObjectChange::Action::Update, pool } } } });
    bench.fold.apply(3, { "d2", "e", {}, fleetstate::DrainRequest { "w0", version, "ania", "" } });
    REQUIRE_CALL(bench.transport, closeIdle("w0"));
    bench.dispatcher.applyState(bench.fold.state());
    CHECK(bench.dispatcher.busyInstances() == std::vector<std::string> { "w0" });
    bench.submit(true, 5s);
    CHECK(bench.attempts.size() == 1);
    bench.attempts[0]->onAnswer(httpserver::makeResponse(200, "ok"));
    CHECK(reply->arrived);
    CHECK(bench.dispatcher.busyInstances().empty());
    CHECK(bench.attempts.size() == 1);
}

TEST_CASE("dispatcher: nothing is started past the serving limit, not even an attempt under way", "[dispatcher]")
{
    Bench bench(2);
    auto collecting = bench.collect();
    auto underWay = bench.submit(false, 5s);
    bench.dispatcher.setServingLimit(bench.clock.now());
    CHECK_FALSE(bench.attempts[0]->onSending());
    bench.attempts[0]->onFailure({ foundation::Errc::Conflict, "endpoint.send", "w", "stopped" });
    REQUIRE(underWay->arrived);
    CHECK(underWay->outcome == Outcome::NotRun);
    auto reply = bench.submit(true, 5s);
    REQUIRE(reply->arrived);
    CHECK(reply->outcome == Outcome::NotRun);
}

TEST_CASE("dispatcher: retries stay within their budget when most endpoints fail", "[dispatcher]")
{
    Bench bench(10);
    bench.shares.perInstance = 100;
    bench.dispatcher.refreshShares();
    auto collecting = bench.collect();
    constexpr std::size_t requests = 1000;
    std::size_t next = 0;
    for (std::size_t index = 0; index < requests; ++index) {
        bench.submit(true, 5s);
        while (next < bench.attempts.size()) {
            const std::size_t attempt = next++;
            const bool fails = bench.targets[attempt] < "w3";
            if (bench.attempts[attempt]->onSending()) {
                if (fails)
                    bench.attempts[attempt]->onFailure(broken);
                else
                    bench.attempts[attempt]->onAnswer(httpserver::makeResponse(200, "ok"));
            }
        }
        bench.advance(1ms);
    }
    CHECK(static_cast<double>(bench.attempts.size()) <= 1.1 * requests);
    CHECK(bench.dispatcher.counters().ejected == 3);
}

TEST_CASE("dispatcher: a caller that left frees its place in the queue", "[dispatcher]")
{
    Bench bench(1);
    auto collecting = bench.collect();
    bench.submit(false, 5s);
    auto waiting = bench.submit(false, 5s);
    REQUIRE(bench.dispatcher.counters().queued == 1);
    bench.dispatcher.abandon(bench.last);
    CHECK(bench.dispatcher.counters().queued == 0);
    bench.attempts[0]->onAnswer(httpserver::makeResponse(200, "ok"));
    CHECK(bench.attempts.size() == 1);
}
