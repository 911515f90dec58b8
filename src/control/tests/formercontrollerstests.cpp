#include "control/formercontrollers.h"
#include "control/tests/mocks/heldlog.h"
#include "control/tests/mocks/heldpeers.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "telemetry/ieventsink.h"

#include <catch2/catch.hpp>
#include <map>

using namespace turmericsill;
using namespace turmericsill::control;
using foundation::Errc;
using foundation::failure;
using foundation::SteadyTime;
using Addresses = std::vector<std::string>;
using Entries = std::vector<std::string>;

namespace {

constexpr std::size_t wholeLog = 100; ///< More records than any case writes.
constexpr std::uint64_t incarnation = 7;
constexpr milliseconds queryInterval { 500 };

/// Address of the entry "edge-N".
std::string addressOf(const std::string& entry) { return "10.0.0." + entry.substr(entry.find('-') + 1) + ":9000"; }

/// What the bound of a former controller's leases follows from, and the time left until then.
struct Bound {
    std::string evidence;
    std::int64_t leftMs = 0;
};

/// Keeps the latest bound that was told of each former controller.
class BoundRecorder : public telemetry::IEventSink {
public:
    void write(std::string_view event, std::initializer_list<telemetry::EventField> fields) override
    {
        if (event != "control.former")
            return;
        std::map<std::string_view, telemetry::EventValue> values;
        for (const auto& field : fields)
            values[field.name] = field.value;
        bounds[std::get<std::uint64_t>(values.at("epoch"))]
            = { std::get<std::string>(values.at("evidence")), std::get<std::int64_t>(values.at("leases_left_ms")) };
    }

    std::map<std::uint64_t, Bound> bounds; ///< Key: epoch.
};

/// The last claim that the fixture reads is that of this entry.
struct FormerFixture {
    /// Reads a claim now. Its epoch is the number of the claims so far. The wall clocks of the entries are minutes off,
    /// by turns ahead and behind.
    void readClaim(const std::string& entry, const Entries& witnesses)
    {
        jobs::ControlClaimed claim = nextClaim(entry);
        claim.witnesses.emplace();
        for (const auto& witness : witnesses)
            claim.witnesses->push_back({ witness, addressOf(witness) });
        read(claim);
    }

    /// The same for a claim of a version that names no witnesses.
    void readClaim(const std::string& entry) { read(nextClaim(entry)); }

    jobs::ControlClaimed nextClaim(const std::string& entry) const
    {
        const std::uint64_t epoch = log.payloads.size() + 1;
        const milliseconds clockError(epoch % 2 == 0 ? 600000 : -600000);
        const auto timeOfDay = std::chrono::duration_cast<milliseconds>(clock.wallNow().time_since_epoch());
        return { epoch, entry, incarnation, addressOf(entry), timeOfDay + clockError };
    }

    void read(const jobs::ControlClaimed& claim)
    {
        log.add(claim, claim.epoch);
        readLog();
    }

    void readLog()
    {
        follower.readToEnd([](const foundation::Result<void>&) {});
        log.answerReads(wholeLog);
    }

    void pass(milliseconds duration)
    {
        clock.time += duration;
        timers.runDue(clock.time);
    }

    void answer(const std::string& entry, const foundation::Result<PeerControlState>& state)
    {
        peers.answer(addressOf(entry), state);
    }

    /// Time until which the former controllers may have been confirmed, if the leases have expired at the time told.
    SteadyTime confirmedUntil() const { return former.leasesExpiredAt() - terms.duration - terms.expiryMargin; }

    std::string evidenceOf(std::uint64_t epoch) const { return events.bounds.at(epoch).evidence; }

    /// Time after the start until which this controller may have been confirmed, if its bound was told now.
    milliseconds confirmedUntilOf(std::uint64_t epoch) const
    {
        const auto now = std::chrono::duration_cast<milliseconds>(clock.time - start);
        return now + milliseconds(events.bounds.at(epoch).leftMs) - terms.duration - terms.expiryMargin;
    }

    foundation::mocks::ManualClock clock;
    const SteadyTime start = clock.time;
    foundation::TimerQueue timers;
    BoundRecorder events;
    mocks::HeldPeers peers;
    mocks::HeldLog log;
    eventlog::JobFollower follower { log, log, clock, timers, {} };
    LeaseTerms terms;
    FormerControllers former { peers, clock, timers, events, terms };
};

} // namespace

// A restarted task would wait for a former controller that never answers again, though this entry itself has ended its
// control by reading the claim that replaced it.
TEST_CASE("former controllers: a witness of a former controller bounds its leases by when it read the next claim",
    "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-3", "edge-2" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-4", { "edge-2" });
    fixture.clock.time += milliseconds(300);
    fixture.readClaim("edge-2");
    fixture.clock.time += milliseconds(200);
    fixture.former.begin(fixture.follower);
    CHECK(fixture.evidenceOf(1) == "own-witness");
    CHECK(fixture.confirmedUntilOf(1) == milliseconds(1000));
    CHECK(fixture.evidenceOf(2) == "own-witness");
    CHECK(fixture.confirmedUntilOf(2) == milliseconds(1300));
    CHECK(fixture.confirmedUntil() == fixture.start + milliseconds(1300));
    CHECK(fixture.peers.takeAsked().empty());
}

// Only the former controllers that this entry is a witness of are bounded by what it has read.
TEST_CASE("former controllers: a controller that this entry is no witness of stays unbounded beside one that it is",
    "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-2" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-4", { "edge-3" });
    fixture.clock.time += milliseconds(300);
    fixture.readClaim("edge-2");
    fixture.former.begin(fixture.follower);
    CHECK(fixture.evidenceOf(1) == "own-witness");
    CHECK(fixture.evidenceOf(2) == "outage-limit");
    CHECK(fixture.confirmedUntil() == fixture.start + milliseconds(1300) + fixture.terms.logOutageLimit);
    CHECK(fixture.peers.takeAsked() == Addresses { addressOf("edge-3"), addressOf("edge-4") });
}

// With several changes of control in seconds, the witness that claimed control may be gone as well. Its claim is known
// all the same.
TEST_CASE("former controllers: a claim of a witness bounds the leases by when that claim was read", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-3" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-2", { "edge-4" });
    fixture.clock.time += milliseconds(2000);
    fixture.readClaim("edge-3", { "edge-4" });
    fixture.clock.time += milliseconds(100);
    fixture.readClaim("edge-4");
    fixture.clock.time += milliseconds(100);
    fixture.former.begin(fixture.follower);
    CHECK(fixture.evidenceOf(1) == "claim-of-witness");
    CHECK(fixture.confirmedUntilOf(1) == milliseconds(3000));
    CHECK(fixture.evidenceOf(3) == "own-witness");
    CHECK(fixture.confirmedUntil() == fixture.start + milliseconds(3100));
    CHECK(fixture.peers.takeAsked().empty());
}

// Each witness ends the former controller's confirmation, so tasks would wait for the later one without reason.
TEST_CASE("former controllers: of the claims of two witnesses the earlier one bounds the leases", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-4", "edge-3" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-3");
    fixture.clock.time += milliseconds(2000);
    fixture.readClaim("edge-4");
    fixture.clock.time += milliseconds(100);
    fixture.readClaim("edge-2");
    fixture.former.begin(fixture.follower);
    CHECK(fixture.evidenceOf(1) == "claim-of-witness");
    CHECK(fixture.confirmedUntilOf(1) == milliseconds(1000));
}

// A witness that controlled the fleet before says nothing about a controller that has replaced it.
TEST_CASE("former controllers: a claim of a witness before that of the former controller bounds nothing", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-3", { "edge-2" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-1", { "edge-3" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-2");
    fixture.former.begin(fixture.follower);
    CHECK(fixture.confirmedUntil() == fixture.start + milliseconds(2000) + fixture.terms.logOutageLimit);
}

// An entry that restarts and claims control again would wait for its own earlier process, which cannot answer.
TEST_CASE("former controllers: the leases of this entry's earlier process are bounded by the present", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-3" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-1");
    fixture.clock.time += milliseconds(200);
    fixture.former.begin(fixture.follower);
    CHECK(fixture.evidenceOf(1) == "own-claim");
    CHECK(fixture.confirmedUntil() == fixture.clock.time);
    CHECK(fixture.peers.takeAsked().empty());
}

// Without the answer of a witness, a former controller that is gone would delay the restart of tasks by the outage
// limit.
TEST_CASE("former controllers: the answer of a witness that knows a later claim bounds the leases", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-3", "edge-4" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-2");
    const SteadyTime replacedAt = fixture.clock.time;
    fixture.former.begin(fixture.follower);
    CHECK(fixture.peers.takeAsked() == Addresses { addressOf("edge-1"), addressOf("edge-3"), addressOf("edge-4") });
    fixture.answer("edge-3", PeerControlState { 5, 0, 1 }); // It knows the claim of the former controller only.
    fixture.answer("edge-4", PeerControlState { 5, 0, 0 }); // An entry of a version that does not tell.
    fixture.answer("edge-1", failure(Errc::Timeout, "control.ask"));
    CHECK(fixture.confirmedUntil() == replacedAt + fixture.terms.logOutageLimit);
    fixture.pass(queryInterval);
    CHECK(fixture.peers.takeAsked() == Addresses { addressOf("edge-1"), addressOf("edge-3"), addressOf("edge-4") });
    fixture.clock.time += milliseconds(30);
    fixture.answer("edge-4", PeerControlState { 5, 0, 2 });
    CHECK(fixture.evidenceOf(1) == "answer-of-witness");
    CHECK(fixture.confirmedUntil() == replacedAt + queryInterval + milliseconds(30));
    fixture.clock.time += milliseconds(30);
    fixture.answer("edge-3", PeerControlState { 5, 0, 2 }); // A later answer changes nothing.
    CHECK(fixture.confirmedUntil() == replacedAt + queryInterval + milliseconds(30));
    fixture.pass(queryInterval);
    CHECK(fixture.peers.takeAsked().empty());
}

// A former controller that is still there and has stopped need not be waited for.
TEST_CASE("former controllers: the answer of a former controller that it has stopped bounds its leases", "[control]")
{
    const PeerControlState stopped
        = GENERATE(PeerControlState { incarnation, 0, 2 }, PeerControlState { incarnation + 1, 1, 1 },
            PeerControlState { incarnation, 3, 3 }, PeerControlState { incarnation + 1, 0, 0 });
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-3" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-2");
    fixture.former.begin(fixture.follower);
    fixture.clock.time += milliseconds(40);
    fixture.answer("edge-1", stopped);
    CHECK(fixture.evidenceOf(1) == "stopped");
    CHECK(fixture.confirmedUntil() == fixture.clock.time);
}

// It answers like one that has stopped until it has read its claim, and begins control then.
TEST_CASE("former controllers: an answer without control nor a later claim bounds nothing", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-3" });
    fixture.readClaim("edge-2");
    fixture.former.begin(fixture.follower);
    fixture.answer("edge-1", PeerControlState { incarnation, 0, 1 });
    CHECK(fixture.evidenceOf(1) == "outage-limit");
}

// A controller that knew no other entry is confirmed by the log alone, which holds the next claim.
TEST_CASE("former controllers: the next claim bounds the leases of a controller without witnesses", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", {});
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-2");
    const auto replacedAt = fixture.clock.time;
    fixture.former.begin(fixture.follower);
    CHECK(fixture.evidenceOf(1) == "no-witness");
    CHECK(fixture.confirmedUntil() == replacedAt);
}

// It goes on extending leases until it steps down, whatever it has read.
TEST_CASE(
    "former controllers: the answer of a former controller that it is still in control bounds nothing", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-3" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-2");
    const SteadyTime replacedAt = fixture.clock.time;
    fixture.former.begin(fixture.follower);
    fixture.clock.time += milliseconds(40);
    fixture.answer("edge-1", PeerControlState { incarnation, 1, 2 });
    CHECK(fixture.confirmedUntil() == replacedAt + fixture.terms.logOutageLimit);
}

// If nobody is left who knows, the former controller may extend leases until the outage limit, and no longer.
TEST_CASE("former controllers: the outage limit bounds the leases if no witness is known to object", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-3" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-2");
    const SteadyTime limit = fixture.clock.time + fixture.terms.logOutageLimit;
    fixture.clock.time += milliseconds(400);
    fixture.former.begin(fixture.follower);
    while (fixture.clock.time < limit) {
        CHECK(fixture.peers.takeAsked() == Addresses { addressOf("edge-1"), addressOf("edge-3") });
        fixture.answer("edge-1", failure(Errc::Timeout, "control.ask"));
        fixture.answer("edge-3", failure(Errc::Timeout, "control.ask"));
        CHECK(fixture.confirmedUntil() == limit);
        fixture.pass(queryInterval);
    }
    fixture.pass(queryInterval);
    CHECK(fixture.peers.takeAsked().empty());
    CHECK(fixture.confirmedUntil() == limit);
}

// An answer that arrives after the outage limit would put the end of the leases off.
TEST_CASE("former controllers: an answer after the outage limit does not extend the bound", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-3" });
    fixture.readClaim("edge-2");
    const SteadyTime limit = fixture.clock.time + fixture.terms.logOutageLimit;
    fixture.clock.time = limit - milliseconds(100);
    fixture.former.begin(fixture.follower);
    fixture.clock.time = limit + milliseconds(100);
    fixture.answer("edge-3", PeerControlState { 5, 0, 2 });
    CHECK(fixture.confirmedUntil() == limit);
}

// A follower that rebuilds its table reads all claims again. The later times would put the end of the leases off, in
// each new term of control by another wait.
TEST_CASE(
    "former controllers: a table that is rebuilt keeps the times at which its claims were first read", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-2" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-4", { "edge-3" });
    fixture.clock.time += milliseconds(500);
    fixture.follower.endControl();
    fixture.readLog();
    fixture.clock.time += milliseconds(500);
    fixture.readClaim("edge-3");
    fixture.clock.time += milliseconds(500);
    fixture.follower.endControl();
    fixture.readLog();
    REQUIRE(fixture.follower.table().claims().size() == 3);
    fixture.former.begin(fixture.follower);
    // edge-1 is bounded by the outage limit from 1000 on, edge-4 by edge-3, which is this entry, from 2000 on.
    CHECK(fixture.confirmedUntil() == fixture.start + milliseconds(1000) + fixture.terms.logOutageLimit);
}

// Claims of days ago are in the log. Entries that have long been removed would be queried at each change of control.
TEST_CASE("former controllers: claims whose leases have all expired are skipped", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-3" });
    fixture.clock.time += milliseconds(1000);
    fixture.readClaim("edge-2");
    const auto left = fixture.terms.logOutageLimit + fixture.terms.duration + fixture.terms.expiryMargin;
    fixture.clock.time += left;
    fixture.former.begin(fixture.follower);
    CHECK(fixture.former.leasesExpiredAt() == fixture.clock.time);
    fixture.clock.time += milliseconds(1);
    fixture.former.begin(fixture.follower);
    CHECK(fixture.former.leasesExpiredAt() == SteadyTime::min());
    CHECK(fixture.peers.takeAsked().empty());
}

// The first controller of a fleet has nobody to wait for.
TEST_CASE("former controllers: without a former claim no lease is left", "[control]")
{
    FormerFixture fixture;
    fixture.readClaim("edge-1", { "edge-2" });
    fixture.former.begin(fixture.follower);
    CHECK(fixture.former.leasesExpiredAt() == SteadyTime::min());
}
