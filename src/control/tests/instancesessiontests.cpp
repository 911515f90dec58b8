#include "control/internal/instancesession.h"
#include "control/tests/mocks/heldlog.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "telemetry/tests/mocks/nulleventsink.h"

#include <catch2/catch.hpp>
#include <utility>

using namespace turmericsill;
using namespace turmericsill::control;
using foundation::Errc;
using foundation::failure;
using jobs::TaskId;

namespace {

class StartCounter : public ISessionObserver {
public:
    void onRunStarted(InstanceSession&, const TaskId&) override { ++startedRuns; }
    void onRunEnded(InstanceSession&, const jobs::RunEnded&) override { ++endedRuns; }
    void onEndsListed(InstanceSession&, std::uint64_t) override { }
    void onStartRefused(InstanceSession&, const TaskId&, fleet::StartResult) override { }
    void onEarlierOrderFound(InstanceSession&, const TaskId&) override { ++earlierOrders; }
    void onIncarnationEnded(InstanceSession&, std::int64_t) override { ++endedIncarnations; }
    void onContactChanged(InstanceSession&, bool, const std::string&) override { }
    void onSessionChanged(InstanceSession&) override { }
    void onFenced(InstanceSession&) override { }

    int startedRuns = 0;
    int endedRuns = 0;
    int endedIncarnations = 0;
    int earlierOrders = 0;
};

class NullPeers : public IPeerControl {
public:
    void queryState(const foundation::Address&, StateCallback) override { }
    void forward(const foundation::Address&, std::vector<std::string>, milliseconds, ForwardCallback) override { }
};

/// Limit of a controller whose control is confirmed all the time.
class ConfirmedLeaseLimit : public ILeaseLimit {
public:
    ConfirmedLeaseLimit(foundation::IClock& clock, milliseconds duration)
        : clock_(clock)
        , duration_(duration)
    {
    }

    foundation::SteadyTime leaseLimit() const override { return clock_.now() + duration_; }

private:
    foundation::IClock& clock_;
    milliseconds duration_;
};

/// Keeps the callbacks of the calls, so that a test answers them.
class HeldInstanceControl : public fleet::IInstanceControl {
public:
    void start(const fleet::InstanceHandle& handle, const fleet::StartOrder& order, StartCallback done) override
    {
        lastStartHandle = handle;
        starts[order.task] = std::move(done);
    }
    void stop(const fleet::InstanceHandle&, const TaskId&, std::uint32_t, StopCallback done) override
    {
        ++stops;
        pendingStop = std::move(done);
    }
    void renew(const fleet::InstanceHandle&, const fleet::RenewRequest& request, RenewCallback done) override
    {
        ++renewals;
        lastRequest = request;
        renewal = std::move(done);
    }
    void throttle(const fleet::InstanceHandle&, const TaskId&, std::uint32_t, int, StopCallback) override { }
    void dropConnections(const foundation::Address&) override { }

    std::map<TaskId, StartCallback> starts;
    fleet::InstanceHandle lastStartHandle;
    StopCallback pendingStop;
    int stops = 0;
    RenewCallback renewal;
    fleet::RenewRequest lastRequest;
    int renewals = 0;
};

struct SessionFixture {
    SessionFixture()
    {
        fleet::InstanceReport report;
        report.incarnation = { "i-1", 7 };
        report.address = { "10.0.0.1", 8000 };
        report.capacity = { 8000, 8000, 0 };
        session = new InstanceSession(report, context);
        session->tick(ControlStatus::Confirmed);
        control.renewal(fleet::RenewAnswer { 7, fleet::InstanceTime(50), {}, {}, false });
    }

    void order(const TaskId& task)
    {
        session->track(task, 1, { 1000, 100, 0 }, false, false);
        session->order(task, "payload", {}, {});
    }

    void confirmStart(const TaskId& task)
    {
        control.starts.at(task)(fleet::StartAnswer { fleet::StartResult::Started, std::nullopt });
    }

    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    telemetry::mocks::NullEventSink events;
    NullPeers peers;
    StartCounter observer;
    HeldInstanceControl control;
    LeaseTerms terms;
    FormerControllers former { peers, clock, timers, events, terms };
    ConfirmedLeaseLimit leaseLimit { clock, terms.duration };
    SessionContext context { control, clock, observer, former, leaseLimit, 3, terms };
    InstanceSessionPtr session;
};

} // namespace

TEST_CASE(
    "session: runs that started just before the instance stopped answering are suspects of its crash", "[control]")
{
    SessionFixture fixture;
    const TaskId old { 1, 0, 0, 0 };
    const TaskId recent { 1, 0, 0, 1 };
    const TaskId unanswered { 1, 0, 0, 2 };
    const TaskId notOrdered { 1, 0, 0, 3 };
    fixture.order(old);
    fixture.confirmStart(old);
    fixture.clock.time += milliseconds(900);
    fixture.order(recent);
    fixture.confirmStart(recent);
    fixture.clock.time += milliseconds(20);
    fixture.order(unanswered);
    fixture.session->track(notOrdered, 1, { 1000, 100, 0 }, false, false);
    fixture.control.starts.at(unanswered)(failure(Errc::ProtocolViolation, "instance.start"));
    fixture.clock.time += milliseconds(3000); // The next incarnation answers seconds later.
    const auto crashed = fixture.session->runsAtCrash();
    REQUIRE(crashed.size() == 3);
    CHECK(crashed[0].task == old);
    CHECK_FALSE(crashed[0].isSuspicion);
    CHECK(crashed[1].isSuspicion);
    CHECK(crashed[1].isConfirmed);
    CHECK(crashed[2].isSuspicion);
    CHECK_FALSE(crashed[2].isConfirmed);
}

// The instance had crashed before the order was sent, and nothing was in progress that would have shown it.
TEST_CASE("session: an order to an instance that had crashed unnoticed is no suspect of the crash", "[control]")
{
    SessionFixture fixture;
    const TaskId started { 1, 0, 0, 0 };
    const TaskId sent { 1, 0, 0, 1 };
    fixture.order(started);
    fixture.confirmStart(started);
    fixture.clock.time += milliseconds(100);
    fixture.order(sent);
    const auto crashed = fixture.session->runsAtCrash();
    REQUIRE(crashed.size() == 1);
    CHECK(crashed.front().task == started);
    CHECK_FALSE(crashed.front().isSuspicion);
}

// The next incarnation may answer only after the lease of the runs has expired.
TEST_CASE("session: runs whose lease expired without an answer are suspects of a crash that shows later", "[control]")
{
    SessionFixture fixture;
    const TaskId task { 1, 0, 0, 0 };
    fixture.order(task);
    fixture.confirmStart(task);
    fixture.clock.time += milliseconds(10);
    fixture.control.renewal(failure(Errc::ProtocolViolation, "instance.renew"));
    fixture.clock.time += milliseconds(8000);
    fixture.session->tick(ControlStatus::Confirmed);
    REQUIRE(fixture.session->runs().empty());
    CHECK(fixture.session->awaitsCrashEvidence());
    REQUIRE(fixture.session->runsAtCrash().size() == 1);
    CHECK(fixture.session->runsAtCrash().front().isSuspicion);
    // The instance was only silent.
    fixture.control.renewal(fleet::RenewAnswer { 7, fleet::InstanceTime(9000), {}, {}, false });
    CHECK_FALSE(fixture.session->awaitsCrashEvidence());
    CHECK(fixture.session->runsAtCrash().empty());
}

// The call that would have shown the crash may be the order itself, which is answered by nobody.
TEST_CASE("session: a crash that shows by a timeout counts as of when the call was sent", "[control]")
{
    SessionFixture fixture;
    fixture.order({ 1, 0, 0, 0 });
    fixture.clock.time += milliseconds(200);
    fixture.control.starts.at({ 1, 0, 0, 0 })(failure(Errc::Timeout, "instance.start"));
    REQUIRE(fixture.session->runsAtCrash().size() == 1);
    CHECK(fixture.session->runsAtCrash().front().isSuspicion);
}

// A renewal is sent long before it times out.
TEST_CASE("session: an instance that answered after the call that timed out has crashed after that answer", "[control]")
{
    SessionFixture fixture;
    fixture.order({ 1, 0, 0, 0 });
    fixture.confirmStart({ 1, 0, 0, 0 }); // The session renews at once.
    fixture.clock.time += milliseconds(800);
    fixture.order({ 1, 0, 0, 1 });
    fixture.clock.time += milliseconds(2);
    fixture.confirmStart({ 1, 0, 0, 1 });
    fixture.clock.time += milliseconds(800);
    fixture.control.renewal(failure(Errc::Timeout, "instance.renew"));
    const auto crashed = fixture.session->runsAtCrash();
    REQUIRE(crashed.size() == 2);
    CHECK_FALSE(crashed[0].isSuspicion);
    CHECK(crashed[1].isSuspicion);
}

// What a run does right after its start it has not done if it has worked for long.
TEST_CASE("session: a run that has worked for long shows that its task does not crash its instances", "[control]")
{
    SessionFixture fixture;
    fixture.order({ 1, 0, 0, 0 });
    fixture.confirmStart({ 1, 0, 0, 0 });
    fixture.clock.time += milliseconds(6000);
    fixture.control.renewal(failure(Errc::ProtocolViolation, "instance.renew"));
    REQUIRE(fixture.session->runsAtCrash().size() == 1);
    CHECK(fixture.session->runsAtCrash().front().hasEndured);
    CHECK_FALSE(fixture.session->runsAtCrash().front().isSuspicion);
}

// The controller that sent the order knows the age of the run; its successor does not.
TEST_CASE("session: an inherited run on an instance that crashes counts without being a suspect", "[control]")
{
    SessionFixture fixture;
    fixture.session->track({ 1, 0, 0, 0 }, 4, { 1000, 100, 0 }, true, true);
    fixture.control.renewal(failure(Errc::Timeout, "instance.renew"));
    const auto crashed = fixture.session->runsAtCrash();
    REQUIRE(crashed.size() == 1);
    CHECK(crashed.front().run == 4);
    CHECK_FALSE(crashed.front().isSuspicion);
}

// The instance answers alike for a run that has ended and for one that was stopped before its order arrived.
TEST_CASE("session: a run that was stopped before its order arrived is not confirmed as started", "[control]")
{
    SessionFixture fixture;
    const TaskId ended { 1, 0, 0, 0 };
    const TaskId stopped { 1, 0, 0, 1 };
    fixture.order(ended);
    fixture.order(stopped);
    fixture.session->requestStop(stopped, false);
    fixture.control.starts.at(stopped)(fleet::StartAnswer { fleet::StartResult::Superseded, std::nullopt });
    CHECK(fixture.observer.startedRuns == 0);
    fixture.control.starts.at(ended)(fleet::StartAnswer { fleet::StartResult::Superseded, std::nullopt });
    CHECK(fixture.observer.startedRuns == 1);
}

// Each renewal lists all runs of the instance, so a renewal for each start that is confirmed while an end is being
// stored doubles what a busy controller has to read.
TEST_CASE(
    "session: a start that is confirmed while ends are being stored is renewed with their acknowledgement", "[control]")
{
    SessionFixture fixture;
    const TaskId ended { 1, 0, 0, 0 };
    const TaskId next { 1, 0, 0, 1 };
    fixture.order(ended);
    fixture.confirmStart(ended);
    fixture.control.renewal(
        fleet::RenewAnswer { 7, fleet::InstanceTime(700), {}, { { 1, ended, 1, jobs::RunOutcome::Done, "" } }, false });
    const int renewals = fixture.control.renewals;
    fixture.order(next);
    fixture.confirmStart(next);
    CHECK(fixture.control.renewals == renewals);
    SECTION("the acknowledgement renews the lease and waits for the next end")
    {
        fixture.session->acknowledgeEnds(1);
        CHECK(fixture.control.renewals == renewals + 1);
        CHECK(fixture.control.lastRequest.acknowledgedEnds == 1);
        CHECK(fixture.control.lastRequest.leaseEnd.has_value());
        CHECK(fixture.control.lastRequest.wait == fixture.terms.renewalWait);
    }
    SECTION("while the log does not answer, the lease is renewed without the acknowledgement")
    {
        fixture.clock.time += fixture.terms.renewalWait;
        fixture.session->tick(ControlStatus::Confirmed);
        CHECK(fixture.control.renewals == renewals + 1);
        CHECK(fixture.control.lastRequest.acknowledgedEnds == 0);
        CHECK(fixture.control.lastRequest.leaseEnd.has_value());
    }
}

// An order that had no effect is never listed. The absence of its run counts only in a renewal that was sent after the
// stop had been answered for a while; a repeated stop must not put that moment off again and again.
TEST_CASE("session: a stopped run that never started ends while its stop is repeated", "[control]")
{
    SessionFixture fixture;
    const TaskId task { 1, 0, 0, 0 };
    fixture.order(task);
    fixture.control.starts.at(task)(failure(Errc::Timeout, "instance.start"));
    fixture.session->requestStop(task, false);
    constexpr milliseconds step { 50 };
    constexpr milliseconds renewalDuration { 1000 };
    milliseconds elapsed { 0 };
    int answeredRenewals = fixture.control.renewals;
    milliseconds renewalSentAt { 0 };
    for (; elapsed < milliseconds(4000) && !fixture.session->runs().empty(); elapsed += step) {
        const int renewalsBefore = fixture.control.renewals;
        if (auto answerStop = std::exchange(fixture.control.pendingStop, nullptr))
            answerStop({});
        if (fixture.control.renewals > answeredRenewals && elapsed - renewalSentAt >= renewalDuration) {
            answeredRenewals = fixture.control.renewals;
            const auto answer = std::move(fixture.control.renewal);
            answer(fleet::RenewAnswer { 7, fleet::InstanceTime(50) + elapsed, {}, {}, false });
        }
        fixture.session->tick(ControlStatus::Confirmed);
        if (fixture.control.renewals > renewalsBefore)
            renewalSentAt = elapsed;
        fixture.clock.time += step;
    }
    INFO("ended after " << elapsed.count() << " ms");
    CHECK(fixture.session->runs().empty());
}

// An order without an answer is repeated, and the repetition is refused; the first copy may still be carried out. If
// the only stop gets lost, the run goes on with the lease of its instance.
TEST_CASE("session: the stop of a run whose repeated order was refused is repeated until it is answered", "[control]")
{
    SessionFixture fixture;
    const TaskId task { 1, 0, 0, 0 };
    fixture.order(task);
    fixture.control.starts.at(task)(failure(Errc::Timeout, "instance.start"));
    fixture.clock.time += milliseconds(200);
    fixture.session->tick(ControlStatus::Confirmed);
    fixture.control.starts.at(task)(fleet::StartAnswer { fleet::StartResult::Unhealthy, std::nullopt });
    REQUIRE(fixture.control.stops == 1);
    std::exchange(fixture.control.pendingStop, nullptr)(failure(Errc::Timeout, "instance.stop"));
    fixture.clock.time += milliseconds(200);
    fixture.session->tick(ControlStatus::Confirmed);
    CHECK(fixture.control.stops == 2);
}

// An instance without runs is called every few seconds only. It may have started again as another kind meanwhile, and
// the order would reach that incarnation.
TEST_CASE("session: an order to an instance that has not answered lately waits for its incarnation", "[control]")
{
    SessionFixture fixture;
    const TaskId task { 1, 0, 0, 0 };
    fixture.clock.time += milliseconds(4000);
    const int renewals = fixture.control.renewals;
    fixture.order(task);
    CHECK(fixture.control.renewals == renewals + 1);
    CHECK(fixture.control.starts.empty());
    SECTION("the same incarnation answers")
    {
        fixture.control.renewal(fleet::RenewAnswer { 7, fleet::InstanceTime(4050), {}, {}, false });
        CHECK(fixture.control.starts.count(task) == 1);
    }
    SECTION("another incarnation answers")
    {
        fixture.control.renewal(fleet::RenewAnswer { 8, fleet::InstanceTime(50), {}, {}, false });
        CHECK(fixture.control.starts.empty());
        CHECK(fixture.observer.endedIncarnations == 1);
    }
    SECTION("the instance does not answer")
    {
        fixture.control.renewal(failure(Errc::Timeout, "instance.renew"));
        CHECK(fixture.control.starts.empty());
        CHECK(fixture.session->runs().empty());
        CHECK(fixture.observer.endedRuns == 1);
    }
    SECTION("the run is to be stopped meanwhile")
    {
        fixture.session->requestStop(task, false);
        fixture.control.renewal(fleet::RenewAnswer { 7, fleet::InstanceTime(4050), {}, {}, false });
        CHECK(fixture.control.starts.empty());
        CHECK(fixture.session->runs().empty());
    }
}

TEST_CASE("session: an order to an instance that has just answered is sent at once", "[control]")
{
    SessionFixture fixture;
    const TaskId task { 1, 0, 0, 0 };
    fixture.clock.time += milliseconds(100);
    fixture.order(task);
    CHECK(fixture.control.starts.count(task) == 1);
}

// The order of a run that was not answered may be repeated after the instance has ended. The incarnation that answers
// next would carry it out, whatever its kind.
TEST_CASE("session: an unanswered order is repeated only to the incarnation that it was sent to", "[control]")
{
    SessionFixture fixture;
    const TaskId task { 1, 0, 0, 0 };
    fixture.order(task);
    const auto firstAnswer = std::exchange(fixture.control.starts, {});
    firstAnswer.at(task)(failure(Errc::ProtocolViolation, "instance.start"));
    for (int i = 0; i < 10; ++i) {
        fixture.clock.time += milliseconds(200);
        fixture.session->tick(ControlStatus::Confirmed);
        CHECK(fixture.control.starts.empty());
    }
    SECTION("the same incarnation answers")
    {
        fixture.control.renewal(fleet::RenewAnswer { 7, fleet::InstanceTime(2050), {}, {}, false });
        fixture.clock.time += milliseconds(200);
        fixture.session->tick(ControlStatus::Confirmed);
        CHECK(fixture.control.starts.count(task) == 1);
    }
    SECTION("another incarnation answers")
    {
        fixture.control.renewal(fleet::RenewAnswer { 8, fleet::InstanceTime(50), {}, {}, false });
        CHECK(fixture.observer.endedIncarnations == 1);
        CHECK(fixture.control.starts.empty());
    }
}

// The next incarnation of an instance would take the end of a lease on the clock of the earlier one for the longest
// lease, for which a later controller does not allow.
TEST_CASE(
    "session: an instance that has left a call unanswered is called without a lease end until it answers", "[control]")
{
    SessionFixture fixture;
    const TaskId task { 1, 0, 0, 0 };
    fixture.order(task);
    fixture.confirmStart(task);
    REQUIRE(fixture.control.lastRequest.leaseEnd);
    fixture.control.renewal(failure(Errc::Timeout, "instance.renew"));
    fixture.clock.time += milliseconds(200);
    fixture.session->tick(ControlStatus::Confirmed);
    CHECK_FALSE(fixture.control.lastRequest.leaseEnd);
    CHECK(fixture.control.lastRequest.wait == milliseconds(0));
    fixture.control.renewal(fleet::RenewAnswer { 7, fleet::InstanceTime(300), { { task, 1, {}, 100, 0 } }, {}, false });
    fixture.clock.time += milliseconds(200);
    fixture.session->tick(ControlStatus::Confirmed);
    CHECK(fixture.control.lastRequest.leaseEnd);
}

// An instance may still hold the lease that a former controller granted for runs that have ended. A run that a new
// controller starts there lasts at least as long, whatever lease its start names.
TEST_CASE("session: the lease of a former controller counts for a run that starts after it", "[control]")
{
    SessionFixture fixture;
    mocks::HeldLog log;
    eventlog::JobFollower follower(log, log, fixture.clock, fixture.timers, {});
    for (const std::uint64_t epoch : { 1, 2 }) {
        const std::vector<jobs::ControlWitness> witnesses;
        log.add(jobs::ControlClaimed { epoch, "edge-" + std::to_string(epoch), 7, {}, {}, witnesses }, epoch);
    }
    follower.readToEnd([](const foundation::Result<void>&) {});
    log.answerReads(log.payloads.size());
    fixture.former.begin(follower);
    const auto formerLeases = fixture.former.leasesExpiredAt();
    REQUIRE(formerLeases == fixture.clock.now() + fixture.terms.duration + fixture.terms.expiryMargin);
    const TaskId task { 1, 0, 0, 0 };
    fixture.order(task);
    fixture.control.starts.at(task)(failure(Errc::Timeout, "instance.start"));
    CHECK(fixture.session->leaseExpiry().at >= formerLeases);
    CHECK(fixture.session->leaseExpiry().bound == LeaseBound::FormerControllers);
}

// An order that takes effect after a restart of its instance holds a lease that nobody counts. No event told of one.
TEST_CASE("session: an order that a later incarnation has carried out is reported once", "[control]")
{
    SessionFixture fixture;
    const TaskId task { 1, 0, 0, 0 };
    fixture.order(task);
    fixture.confirmStart(task);
    fleet::InstanceReport later = fixture.session->report();
    later.incarnation.startedAt = 8;
    InstanceSessionPtr successor(new InstanceSession(later, fixture.context));
    successor->adoptRuns(*fixture.session);
    fleet::RenewAnswer answer { 8, fleet::InstanceTime(50), {}, {}, false };
    answer.running.push_back({ task, 1, {}, 0, 0 });
    for (int renewal = 0; renewal < 2; ++renewal) {
        fixture.clock.time += fixture.terms.renewalWait;
        successor->tick(ControlStatus::Confirmed);
        fixture.control.renewal(answer);
    }
    CHECK(fixture.observer.earlierOrders == 1);
}

// A renewal that is meant for one incarnation as well would never reach the later one, and the session would not learn
// of it.
TEST_CASE("session: an order that found another incarnation is followed by a renewal that reaches any", "[control]")
{
    SessionFixture fixture;
    const TaskId atWork { 1, 0, 0, 0 };
    const TaskId task { 1, 0, 0, 1 };
    fixture.order(atWork);
    fixture.confirmStart(atWork);
    fixture.control.renewal(fleet::RenewAnswer { 7, fleet::InstanceTime(60), { { atWork, 1, {}, 0, 0 } }, {}, false });
    fixture.order(task);
    CHECK(fixture.control.lastStartHandle.startedAt == 7);
    fixture.control.starts.at(task)(failure(Errc::Unavailable, "instance.start"));
    CHECK(fixture.observer.endedRuns == 1);
    fixture.control.renewal(failure(Errc::Unavailable, "instance.renew"));
    fixture.clock.time += milliseconds(200);
    fixture.session->tick(ControlStatus::Confirmed);
    CHECK_FALSE(fixture.control.lastRequest.isForOneIncarnation());
    fixture.control.renewal(fleet::RenewAnswer { 8, fleet::InstanceTime(50), {}, {}, false });
    CHECK(fixture.observer.endedIncarnations == 1);
}
