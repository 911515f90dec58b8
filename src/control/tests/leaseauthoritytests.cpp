#include "control/leaseauthority.h"
#include "control/tests/mocks/heldlog.h"
#include "control/tests/mocks/heldpeers.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "telemetry/tests/mocks/nulleventsink.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace turmericsill;
using namespace turmericsill::control;
using foundation::Errc;
using foundation::failure;
using foundation::SteadyTime;
using jobs::ControlWitness;
using Addresses = std::vector<std::string>;

namespace {

constexpr std::uint64_t ownEpoch = 3;
constexpr std::size_t wholeLog = 100; ///< More records than any case writes.
constexpr milliseconds witnessQueryAge { 1000 };
constexpr milliseconds witnessQueryInterval { 250 };

const std::string first = "10.0.0.1:9000";
const std::string second = "10.0.0.2:9000";
const std::string third = "10.0.0.3:9000";
const std::string fourth = "10.0.0.4:9000";

/// An entry that knows this claim of control, and is not the controller.
PeerControlState knows(std::uint64_t claim) { return { 1, 0, claim }; }

/// A controller whose claim was read, to the end of the log, at `begin`.
struct AuthorityFixture {
    explicit AuthorityFixture(
        std::vector<ControlWitness> witnesses = { { "edge-1", first }, { "edge-2", second }, { "edge-3", third } })
    {
        log.add(jobs::ControlClaimed { ownEpoch, "edge-0", 1, "10.0.0.9:9000", milliseconds(0), std::move(witnesses) },
            ownEpoch);
        read();
        authority = std::make_unique<LeaseAuthority>(peers, follower, clock, events, terms, ownEpoch);
    }

    void read()
    {
        follower.readToEnd([](const foundation::Result<void>&) {});
        log.answerReads(wholeLog);
    }

    /// Lets time pass and asks the witnesses if that is due.
    void tickAfter(milliseconds duration)
    {
        clock.time += duration;
        authority->tick();
    }

    void answerAll(const Addresses& addresses, const foundation::Result<PeerControlState>& state)
    {
        for (const auto& address : addresses)
            peers.answer(address, state);
    }

    milliseconds limitAfterBegin() const
    {
        return std::chrono::duration_cast<milliseconds>(authority->leaseLimit() - begin);
    }

    foundation::mocks::ManualClock clock;
    const SteadyTime begin = clock.time;
    foundation::TimerQueue timers;
    telemetry::mocks::NullEventSink events;
    mocks::HeldPeers peers;
    mocks::HeldLog log;
    eventlog::JobFollower follower { log, log, clock, timers, {} };
    LeaseTerms terms;
    std::unique_ptr<LeaseAuthority> authority;
};

} // namespace

// A later claim may be appended while the answer of a read is on its way. Counted from the answer, leases would outlast
// the bound that the later controller relies on.
TEST_CASE(
    "lease authority: leases end a lease duration after the read that reached the log's end was sent", "[control]")
{
    AuthorityFixture fixture;
    CHECK(fixture.limitAfterBegin() == fixture.terms.duration);
    fixture.clock.time += milliseconds(300);
    fixture.follower.readToEnd([](const foundation::Result<void>&) {});
    fixture.clock.time += milliseconds(400);
    CHECK(fixture.limitAfterBegin() == fixture.terms.duration);
    fixture.log.answerReads(wholeLog);
    CHECK(fixture.limitAfterBegin() == milliseconds(300) + fixture.terms.duration);
}

// A later claim may be among the records that a page leaves out.
TEST_CASE("lease authority: neither a page before the log's end nor a failed read extends the limit", "[control]")
{
    AuthorityFixture fixture;
    fixture.log.add(jobs::JobExpired { 1 }, 0);
    fixture.log.add(jobs::JobExpired { 2 }, 0);
    fixture.clock.time += milliseconds(300);
    fixture.follower.readToEnd([](const foundation::Result<void>&) {});
    fixture.clock.time += milliseconds(100);
    fixture.log.answerReads(1);
    CHECK(fixture.limitAfterBegin() == fixture.terms.duration);
    fixture.log.answerReads(wholeLog);
    CHECK(fixture.limitAfterBegin() == milliseconds(400) + fixture.terms.duration);
    fixture.clock.time += milliseconds(100);
    fixture.follower.readToEnd([](const foundation::Result<void>&) {});
    fixture.log.failReads();
    CHECK(fixture.limitAfterBegin() == milliseconds(400) + fixture.terms.duration);
}

// An append may be answered after a read that was sent later. The limit that leases were granted by must not go back.
TEST_CASE(
    "lease authority: an accepted append extends the limit from when it was sent and never shortens it", "[control]")
{
    AuthorityFixture fixture;
    fixture.clock.time += milliseconds(1000);
    fixture.authority->onAppendStored(fixture.begin + milliseconds(600));
    CHECK(fixture.limitAfterBegin() == milliseconds(600) + fixture.terms.duration);
    fixture.authority->onAppendStored(fixture.begin + milliseconds(200));
    CHECK(fixture.limitAfterBegin() == milliseconds(600) + fixture.terms.duration);
    fixture.read();
    fixture.authority->onAppendStored(fixture.begin + milliseconds(800));
    CHECK(fixture.limitAfterBegin() == milliseconds(1000) + fixture.terms.duration);
}

// An instance kills its long-running tasks if no lease is extended during an outage of the store that control survives.
TEST_CASE("lease authority: all witnesses that agree extend the limit from when they were asked", "[control]")
{
    AuthorityFixture fixture;
    fixture.tickAfter(witnessQueryAge - milliseconds(1));
    CHECK(fixture.peers.takeAsked().empty());
    fixture.tickAfter(milliseconds(1));
    CHECK(fixture.peers.takeAsked() == Addresses { first, second, third });
    fixture.tickAfter(milliseconds(200)); // A round is in progress.
    CHECK(fixture.peers.takeAsked().empty());
    fixture.answerAll({ third, first }, knows(ownEpoch));
    CHECK(fixture.limitAfterBegin() == fixture.terms.duration);
    fixture.answerAll({ second }, knows(ownEpoch));
    CHECK(fixture.limitAfterBegin() == witnessQueryAge + fixture.terms.duration);
}

// A later controller relies on any one of the witnesses: on what it knows, or on its having claimed control itself.
TEST_CASE("lease authority: a single witness that does not agree prevents an extension in that round", "[control]")
{
    const foundation::Result<PeerControlState> objection
        = GENERATE(foundation::Result<PeerControlState>(knows(ownEpoch + 1)),
            foundation::Result<PeerControlState>(knows(ownEpoch - 1)), foundation::Result<PeerControlState>(knows(0)),
            foundation::Result<PeerControlState>(failure(Errc::Timeout, "control.ask")));
    const Addresses order = GENERATE(Addresses { first, second, third }, Addresses { third, second, first });
    AuthorityFixture fixture;
    fixture.tickAfter(witnessQueryAge);
    fixture.peers.takeAsked();
    fixture.peers.answer(order[0], objection);
    fixture.answerAll({ order[1], order[2] }, knows(ownEpoch));
    CHECK(fixture.limitAfterBegin() == fixture.terms.duration);
    fixture.tickAfter(witnessQueryInterval - milliseconds(1));
    CHECK(fixture.peers.takeAsked().empty());
    fixture.tickAfter(milliseconds(1));
    CHECK(fixture.peers.takeAsked() == Addresses { first, second, third });
    fixture.answerAll(order, knows(ownEpoch));
    CHECK(fixture.limitAfterBegin() == witnessQueryAge + witnessQueryInterval + fixture.terms.duration);
}

// The claim of a later version may name an address that this version cannot parse. Such a witness is never asked.
TEST_CASE("lease authority: a witness without a valid address prevents an extension", "[control]")
{
    AuthorityFixture fixture({ { "edge-1", first }, { "edge-2", "edge-2" }, { "edge-3", third } });
    fixture.tickAfter(witnessQueryAge);
    CHECK(fixture.peers.takeAsked() == Addresses { first, third });
    fixture.answerAll({ first, third }, knows(ownEpoch));
    CHECK(fixture.limitAfterBegin() == fixture.terms.duration);
}

// A later controller has read either set, and relies on any one witness of the set that it has read.
TEST_CASE("lease authority: former and new witnesses are asked until the log holds the new ones", "[control]")
{
    AuthorityFixture fixture;
    fixture.authority->nameWitnesses({ { "edge-3", third }, { "edge-4", fourth } });
    const std::size_t named = fixture.authority->namedSets();
    CHECK(fixture.authority->witnesses().back().entry == "edge-4");
    fixture.tickAfter(witnessQueryAge);
    CHECK(fixture.peers.takeAsked() == Addresses { first, second, third, fourth });
    fixture.answerAll({ second, third, fourth }, knows(ownEpoch));
    fixture.answerAll({ first }, knows(ownEpoch + 1));
    CHECK(fixture.limitAfterBegin() == fixture.terms.duration);
    fixture.authority->onWitnessesStored(named);
    fixture.tickAfter(witnessQueryInterval);
    CHECK(fixture.peers.takeAsked() == Addresses { third, fourth });
    fixture.answerAll({ third, fourth }, knows(ownEpoch));
    CHECK(fixture.limitAfterBegin() == witnessQueryAge + witnessQueryInterval + fixture.terms.duration);
}

// The log may hold the first of two changes only. A later controller relies on that one then.
TEST_CASE("lease authority: witnesses that the log holds are asked beside those that were named since", "[control]")
{
    AuthorityFixture fixture;
    fixture.authority->nameWitnesses({ { "edge-2", second } });
    const std::size_t named = fixture.authority->namedSets();
    fixture.authority->nameWitnesses({ { "edge-4", fourth } });
    fixture.authority->onWitnessesStored(named);
    fixture.tickAfter(witnessQueryAge);
    CHECK(fixture.peers.takeAsked() == Addresses { second, fourth });
    fixture.authority->onWitnessesStored(named); // A repeated call drops nothing.
    fixture.answerAll({ second, fourth }, knows(ownEpoch));
    fixture.tickAfter(witnessQueryAge);
    CHECK(fixture.peers.takeAsked() == Addresses { second, fourth });
}

// A later controller that reaches no witness relies on this limit. Witnesses who do not reach the log either would
// agree for ever.
TEST_CASE("lease authority: witnesses extend no lease once the log has not answered for the outage limit", "[control]")
{
    AuthorityFixture fixture;
    const auto outageEnd = fixture.begin + fixture.terms.logOutageLimit;
    while (fixture.clock.time < outageEnd + milliseconds(3000)) {
        fixture.tickAfter(milliseconds(100));
        const Addresses asked = fixture.peers.takeAsked();
        if (fixture.clock.time >= outageEnd)
            CHECK(asked.empty());
        fixture.answerAll(asked, knows(ownEpoch));
        CHECK(fixture.authority->leaseLimit() < outageEnd + fixture.terms.duration);
    }
    CHECK(fixture.authority->leaseLimit() > outageEnd + fixture.terms.duration - witnessQueryAge - milliseconds(100));
    fixture.read();
    CHECK(fixture.authority->leaseLimit() == fixture.clock.time + fixture.terms.duration);
    fixture.tickAfter(witnessQueryAge);
    CHECK_FALSE(fixture.peers.takeAsked().empty());
}

// A successor of a controller that knew no other entry counts its leases from the next claim, since nobody can object.
TEST_CASE("lease authority: without witnesses only the log extends the limit", "[control]")
{
    AuthorityFixture fixture(std::vector<ControlWitness> {});
    fixture.tickAfter(milliseconds(2000));
    CHECK(fixture.limitAfterBegin() == fixture.terms.duration);
    fixture.read();
    CHECK(fixture.limitAfterBegin() == milliseconds(2000) + fixture.terms.duration);
}

// The log confirms nobody older once it holds a later claim, though it goes on answering.
TEST_CASE("lease authority: reads of a log that holds a later claim extend no lease", "[control]")
{
    AuthorityFixture fixture;
    fixture.authority->onAppendStored(fixture.begin + milliseconds(10));
    fixture.clock.time += milliseconds(100);
    fixture.log.add(jobs::ControlClaimed { ownEpoch + 1, "edge-1", 1, first, milliseconds(0) }, ownEpoch + 1);
    fixture.read();
    CHECK(fixture.limitAfterBegin() <= milliseconds(10) + fixture.terms.duration);
    fixture.clock.time += milliseconds(1000);
    fixture.read();
    CHECK(fixture.limitAfterBegin() <= milliseconds(10) + fixture.terms.duration);
}

// Witnesses that have not read the log as far as this controller still agree.
TEST_CASE("lease authority: witnesses extend no lease once the controller has read a later claim", "[control]")
{
    AuthorityFixture fixture;
    fixture.clock.time += milliseconds(100);
    fixture.log.add(jobs::ControlClaimed { ownEpoch + 1, "edge-4", 1, fourth, milliseconds(0) }, ownEpoch + 1);
    fixture.read();
    fixture.tickAfter(milliseconds(1000));
    fixture.answerAll(fixture.peers.takeAsked(), knows(ownEpoch));
    CHECK(fixture.authority->leaseLimit() <= fixture.begin + fixture.terms.duration);
}

// An append that the log accepted before the later claim still counts as its latest confirmation, so the witnesses are
// asked. Those that have not read the log as far as this controller agree.
TEST_CASE("lease authority: witnesses extend no lease once a later claim was read after an append", "[control]")
{
    AuthorityFixture fixture;
    fixture.authority->onAppendStored(fixture.begin);
    fixture.clock.time += milliseconds(100);
    fixture.log.add(jobs::ControlClaimed { ownEpoch + 1, "edge-4", 1, fourth, milliseconds(0) }, ownEpoch + 1);
    fixture.read();
    fixture.tickAfter(milliseconds(1000));
    fixture.answerAll(fixture.peers.takeAsked(), knows(ownEpoch));
    CHECK(fixture.authority->leaseLimit() <= fixture.begin + fixture.terms.duration);
}

// The answers of the witnesses arrive after the controller has stepped down.
TEST_CASE("lease authority: answers after its destruction are ignored", "[control]")
{
    AuthorityFixture fixture;
    fixture.tickAfter(witnessQueryAge);
    fixture.authority.reset();
    fixture.answerAll(fixture.peers.takeAsked(), knows(ownEpoch));
    CHECK(fixture.peers.pending.empty());
}
