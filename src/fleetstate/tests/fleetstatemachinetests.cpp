#include "fleetstate/fleetstatemachine.h"
#include "fleetstate/recordcodec.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::fleetstate;
using declarations::Instance;
using declarations::Object;
using declarations::ObjectChange;
using declarations::Pool;

namespace {

/// A state machine with helpers that apply records to it.
class FleetStateMachineFixture {
public:
    ApplyResult add(RecordBody body, const std::string& writer = "entry-a")
    {
        return stateMachine.apply(stateMachine.nextOffset(),
            Record { "r" + std::to_string(++recordCount), writer, foundation::WallTime(), std::move(body) });
    }

    ApplyResult change(ObjectChange::Action action, const Object& object)
    {
        return add(ConfigChange { stateMachine.state()->configVersion, "ania", "", { { action, object } } });
    }

    void admit(const std::string& entry, std::uint64_t incarnation = 1)
    {
        REQUIRE(add(EntryJoin { entry, incarnation, "dc", "127.0.0.1:1", "127.0.0.1:2" }, entry).accepted);
        std::vector<std::string> admitted = stateMachine.state()->admittedEntries();
        REQUIRE(add(EntryAdmit { entry, incarnation, admitted.empty() ? entry : admitted.front() }).accepted);
    }

    void addPool(const std::string& name, std::uint32_t minimumHealthy, std::uint32_t instances)
    {
        Pool pool;
        pool.name = name;
        pool.minimumHealthy = minimumHealthy;
        pool.maximumOut = 2;
        REQUIRE(change(ObjectChange::Action::Add, pool).accepted);
        for (std::uint32_t index = 1; index <= instances; ++index)
            REQUIRE(change(ObjectChange::Action::Add, instance(name + std::to_string(index), name)).accepted);
    }

    static Instance instance(const std::string& name, const std::string& pool)
    {
        Instance result;
        result.name = name;
        result.pool = pool;
        result.address = "127.0.0.1:" + std::to_string(9000 + name.back());
        return result;
    }

    InstancePtr find(const std::string& name, std::string* pool = nullptr)
    {
        return stateMachine.state()->findInstance(name, pool);
    }

    ApplyResult drain(const std::string& name) { return add(DrainRequest { name, find(name)->version, "ania", "" }); }

    ApplyResult transition(const std::string& name, const std::string& pool, Lifecycle to, std::uint64_t epoch,
        const std::string& writer = "entry-a")
    {
        return add(InstanceTransition { name, find(name)->version, pool, epoch, to }, writer);
    }

    FleetStateMachine stateMachine;
    std::uint64_t recordCount = 0;
};

} // namespace

TEST_CASE("fleet state machine: of two concurrent changes of one version the second is rejected and names the first",
    "[fold]")
{
    FleetStateMachineFixture fixture;
    fixture.addPool("calls", 0, 0);
    Pool other;
    other.name = "other";
    CHECK(fixture.add(ConfigChange { 1, "ania", "", { { ObjectChange::Action::Add, other } } }).accepted);
    other.name = "third";
    ApplyResult rejected = fixture.add(ConfigChange { 1, "hemi", "", { { ObjectChange::Action::Add, other } } });
    CHECK_FALSE(rejected.accepted);
    CHECK(rejected.reason == "planned on version 1, but version 2 is in force, published by ania (change r2)");
    CHECK(fixture.stateMachine.state()->pools.count("third") == 0);
}

TEST_CASE("fleet state machine: a record with a repeated id is ignored", "[fold]")
{
    FleetStateMachineFixture fixture;
    fixture.addPool("calls", 0, 1);
    Record record { "same", "entry-a", foundation::WallTime(),
        DrainRequest { "calls1", fixture.find("calls1")->version, "ania", "" } };
    CHECK(fixture.stateMachine.apply(fixture.stateMachine.nextOffset(), record).accepted);
    ApplyResult repeated = fixture.stateMachine.apply(fixture.stateMachine.nextOffset(), record);
    CHECK(repeated.duplicate);
    CHECK_FALSE(repeated.accepted);
}

TEST_CASE(
    "fleet state machine: a drain request is checked against minimum_healthy, maximum_out and the instance version",
    "[fold]")
{
    FleetStateMachineFixture fixture;
    fixture.addPool("calls", 2, 5);
    const std::uint64_t stale = fixture.find("calls1")->version;
    REQUIRE(fixture.drain("calls1").accepted);
    CHECK(fixture.drain("calls1").reason == "instance \"calls1\" is already draining");
    REQUIRE(fixture.drain("calls2").accepted);
    CHECK(fixture.drain("calls3").reason == "pool \"calls\" has 2 instances out, its maximum_out");
    REQUIRE(fixture.add(DrainCancel { "calls1", fixture.find("calls1")->version, "ania" }).accepted);
    CHECK(fixture.add(DrainRequest { "calls1", stale, "ania", "" }).reason
        == "planned on version " + std::to_string(stale) + " of \"calls1\", but it is at version "
            + std::to_string(fixture.find("calls1")->version));

    FleetStateMachineFixture smallPool;
    smallPool.addPool("calls", 2, 2);
    CHECK(smallPool.drain("calls1").reason == "pool \"calls\" would fall below its minimum_healthy of 2");
}

TEST_CASE("fleet state machine: a transition under a superseded claim is a no-op", "[fold]")
{
    FleetStateMachineFixture fixture;
    fixture.addPool("calls", 0, 2);
    fixture.admit("entry-a");
    fixture.admit("entry-b");
    REQUIRE(fixture.add(PoolClaim { "calls", "entry-a", 1, 0 }).accepted);
    CHECK(fixture.add(PoolClaim { "calls", "entry-b", 1, 1 }).reason == "the claim is held by entry-a");
    REQUIRE(fixture.drain("calls1").accepted);
    REQUIRE(fixture.add(EntryLeave { "entry-a", 1, "entry-b", false, false }, "entry-b").accepted);
    REQUIRE(fixture.add(PoolClaim { "calls", "entry-b", 1, 1 }, "entry-b").accepted);
    CHECK(fixture.transition("calls1", "calls", Lifecycle::Stopped, 1).reason
        == "the claim on pool \"calls\" is at epoch 2 of entry-b");
    CHECK(fixture.transition("calls1", "calls", Lifecycle::Stopped, 2, "entry-b").accepted);
    CHECK(fixture.find("calls1")->lifecycle == Lifecycle::Stopped);
    CHECK(fixture.transition("calls1", "calls", Lifecycle::Serving, 2, "entry-b").accepted);
}

TEST_CASE("fleet state machine: an instance changes pool only when the controller's transition is applied", "[fold]")
{
    FleetStateMachineFixture fixture;
    fixture.addPool("calls", 0, 2);
    fixture.addPool("billing", 0, 1);
    fixture.admit("entry-a");
    REQUIRE(fixture.add(PoolClaim { "calls", "entry-a", 1, 0 }).accepted);
    Instance moved = fixture.find("calls1")->declared;
    moved.pool = "billing";
    REQUIRE(fixture.change(ObjectChange::Action::Update, moved).accepted);
    std::string pool;
    CHECK(fixture.find("calls1", &pool)->lifecycle == Lifecycle::Draining);
    CHECK(pool == "calls");
    REQUIRE(fixture.transition("calls1", "calls", Lifecycle::Serving, 1).accepted);
    CHECK(fixture.find("calls1", &pool)->lifecycle == Lifecycle::Serving);
    CHECK(pool == "billing");
    CHECK(fixture.stateMachine.state()->pools.at("calls")->instances.size() == 1);
}

TEST_CASE("fleet state machine: an instance is drained before its removal, and its address is immutable", "[fold]")
{
    FleetStateMachineFixture fixture;
    fixture.addPool("calls", 0, 2);
    fixture.admit("entry-a");
    REQUIRE(fixture.add(PoolClaim { "calls", "entry-a", 1, 0 }).accepted);
    Instance changed = fixture.find("calls1")->declared;
    changed.address = "127.0.0.1:1";
    CHECK_THAT(fixture.change(ObjectChange::Action::Update, changed).reason,
        Catch::Matchers::StartsWith("the address of \"calls1\" cannot change"));
    REQUIRE(fixture.change(ObjectChange::Action::Remove, fixture.find("calls1")->declared).accepted);
    CHECK(fixture.find("calls1")->lifecycle == Lifecycle::Draining);
    CHECK(fixture.change(ObjectChange::Action::Add, changed).reason == "\"calls1\" is still being removed");
    REQUIRE(fixture.transition("calls1", "calls", Lifecycle::Stopped, 1).accepted);
    CHECK_FALSE(fixture.find("calls1"));
}

TEST_CASE("fleet state machine: only admitted entries may evict others, and a newer incarnation replaces the older one",
    "[fold]")
{
    FleetStateMachineFixture fixture;
    fixture.admit("entry-a");
    REQUIRE(fixture.add(EntryJoin { "entry-b", 1, "dc", "127.0.0.1:3", "127.0.0.1:4" }, "entry-b").accepted);
    CHECK(fixture.add(EntryLeave { "entry-a", 1, "entry-b", false, false }, "entry-b").reason
        == "\"entry-b\" may not remove entry \"entry-a\"");
    CHECK(
        fixture.add(EntryAdmit { "entry-b", 1, "entry-b" }, "entry-b").reason == "sponsor \"entry-b\" is not admitted");
    CHECK(fixture.add(EntryJoin { "entry-a", 1, "dc", "127.0.0.1:1", "127.0.0.1:2" }, "entry-a").reason
        == "entry \"entry-a\" has joined with incarnation 1");
    REQUIRE(fixture.add(EntryJoin { "entry-a", 2, "dc", "127.0.0.1:1", "127.0.0.1:2" }, "entry-a").accepted);
    CHECK_FALSE(fixture.stateMachine.state()->roster.at("entry-a").admitted);
    REQUIRE(fixture.add(EntryAdmit { "entry-b", 1, "entry-b" }, "entry-b").accepted);
    REQUIRE(fixture.add(EntryJoin { "entry-c", 1, "dc", "127.0.0.1:7", "127.0.0.1:8" }, "entry-c").accepted);
    CHECK(fixture.add(EntryLeave { "entry-b", 1, "entry-c", false, true }, "entry-c").accepted);
    REQUIRE(fixture.add(EntryJoin { "entry-b", 2, "dc", "127.0.0.1:3", "127.0.0.1:4" }, "entry-b").accepted);
    REQUIRE(fixture.add(EntryAdmit { "entry-b", 2, "entry-b" }, "entry-b").accepted);
    REQUIRE(fixture.add(EntryLeave { "entry-a", 2, "entry-b", false, false }, "entry-b").accepted);
    REQUIRE(fixture.stateMachine.state()->departures.size() == 1);
    CHECK(fixture.add(EntryJoin { "entry-a", 2, "dc", "127.0.0.1:1", "127.0.0.1:2" }, "entry-a").reason
        == "this incarnation of entry \"entry-a\" has departed");
    REQUIRE(fixture.add(DepartureResolved { "entry-a", 2, "entry-b" }, "entry-b").accepted);
    CHECK(fixture.stateMachine.state()->departures.empty());
    CHECK_FALSE(fixture.add(DepartureResolved { "entry-a", 2, "entry-b" }, "entry-b").accepted);
}

TEST_CASE("fleet state machine: a published state is immutable and equal logs give equal digests", "[fold]")
{
    FleetStateMachineFixture first;
    first.addPool("calls", 0, 3);
    FleetStatePtr before = first.stateMachine.state();
    const std::uint64_t digest = before->digest();
    REQUIRE(first.drain("calls1").accepted);
    CHECK(before->digest() == digest);
    CHECK(before->findInstance("calls1")->lifecycle == Lifecycle::Serving);
    CHECK(first.stateMachine.state()->digest() != digest);

    FleetStateMachineFixture second;
    second.addPool("calls", 0, 3);
    CHECK(second.stateMachine.state()->digest() == digest);
}

TEST_CASE(
    "fleet state machine: one restored from a snapshot has the same state and recognises repeated records", "[fold]")
{
    FleetStateMachineFixture fixture;
    fixture.addPool("calls", 0, 3);
    fixture.admit("entry-a");
    REQUIRE(fixture.add(PoolClaim { "calls", "entry-a", 1, 0 }).accepted);
    REQUIRE(fixture.drain("calls1").accepted);
    auto restored = FleetStateMachine::fromSnapshot(fixture.stateMachine.encodeSnapshot());
    REQUIRE(restored);
    CHECK(restored->state()->digest() == fixture.stateMachine.state()->digest());
    CHECK(restored->encodeSnapshot() == fixture.stateMachine.encodeSnapshot());
    Record repeated { "r1", "entry-a", foundation::WallTime(),
        EntryJoin { "entry-z", 1, "dc", "127.0.0.1:5", "127.0.0.1:6" } };
    CHECK(restored->apply(restored->nextOffset(), repeated).duplicate);
    CHECK_FALSE(FleetStateMachine::fromSnapshot("broken"));
}

TEST_CASE("fleet state machine: an unknown record stops it and a malformed record is skipped", "[fold]")
{
    FleetStateMachine stateMachine;
    auto unknown
        = stateMachine.applyPayload(0, R"({"v":1,"id":"x","writer":"w","at_ms":0,"kind":"from_the_future","body":{}})");
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == foundation::Errc::UnknownRecord);
    CHECK(stateMachine.nextOffset() == 0);
    unknown = stateMachine.applyPayload(0, R"({"v":2,"id":"x","writer":"w","at_ms":0,"kind":"entry_leave","body":{}})");
    REQUIRE_FALSE(unknown);
    auto malformed = stateMachine.applyPayload(0, "{");
    REQUIRE(malformed);
    CHECK_FALSE(malformed->accepted);
    CHECK(stateMachine.nextOffset() == 1);
}

TEST_CASE("records: decoding is the inverse of encoding for every kind", "[fold]")
{
    const std::vector<RecordBody> bodies {
        ConfigChange { 3, "ania", "why", { { ObjectChange::Action::Remove, Pool {} } } },
        DrainRequest { "i", 4, "ania", "why" },
        DrainCancel { "i", 5, "ania" },
        InstanceTransition { "i", 6, "p", 7, Lifecycle::Stopped },
        PoolClaim { "p", "e", 8, 9 },
        EntryJoin { "e", 10, "dc", "127.0.0.1:1", "127.0.0.1:2" },
        EntryAdmit { "e", 11, "s" },
        EntryLeave { "e", 12, "b", true, false },
        DepartureResolved { "e", 13, "b" },
    };
    REQUIRE(bodies.size() == std::variant_size_v<RecordBody>);
    for (const auto& body : bodies) {
        const std::string encoded
            = encodeRecord({ "id", "w", foundation::WallTime(foundation::milliseconds(1234)), body });
        auto decoded = decodeRecord(encoded);
        REQUIRE(decoded);
        CHECK(encodeRecord(*decoded) == encoded);
        CHECK(std::string(kindName(decoded->body)) == kindName(body));
    }
}
