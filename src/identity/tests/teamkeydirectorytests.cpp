#include "identity/teamkeydirectory.h"
#include "telemetry/tests/mocks/nulleventsink.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::identity;
using foundation::milliseconds;

namespace {

fleet::FleetConfiguration configurationWithKeys(std::vector<std::string> keys)
{
    fleet::FleetConfiguration configuration;
    configuration.version = 1;
    fleet::Team team;
    team.name = "growers";
    team.apiKeys = std::move(keys);
    configuration.teams.emplace()[team.name] = team;
    return configuration;
}

/// A directory whose configuration is as old as the test says.
struct DirectoryFixture {
    explicit DirectoryFixture(std::optional<milliseconds> revocationBound = std::nullopt)
        : directory(
            { milliseconds(3000), revocationBound ? std::optional(maximumAgeForKeys(*revocationBound)) : std::nullopt },
            [this] { return age; }, events)
    {
        directory.setConfiguration(configurationWithKeys({ "key-one", "key-two" }));
    }

    IdentificationOutcome outcomeFor(const std::vector<std::string_view>& keys)
    {
        return directory.identify(queue, keys).outcome;
    }

    telemetry::mocks::NullEventSink events;
    milliseconds age { 0 };
    fleet::Queue queue;
    TeamKeyDirectory directory;
};

} // namespace

TEST_CASE("team keys: each key of a team identifies it", "[identity]")
{
    DirectoryFixture fixture;
    CHECK(fixture.directory.identify(fixture.queue, { "key-one" }).team == "growers");
    CHECK(fixture.directory.identify(fixture.queue, { "key-two" }).team == "growers");
    CHECK(fixture.outcomeFor({ "key-three" }) == IdentificationOutcome::UnknownKey);
    CHECK(fixture.outcomeFor({ "key-on" }) == IdentificationOutcome::UnknownKey);
    CHECK(fixture.outcomeFor({}) == IdentificationOutcome::MissingKey);
    CHECK(fixture.outcomeFor({ "" }) == IdentificationOutcome::MissingKey);
    CHECK(fixture.outcomeFor({ "key-one", "key-one" }) == IdentificationOutcome::RepeatedKey);
}

TEST_CASE("team keys: public queues and configurations without teams need none", "[identity]")
{
    DirectoryFixture fixture;
    fixture.queue.isPublic = true;
    CHECK(fixture.outcomeFor({}) == IdentificationOutcome::NotRequired);
    CHECK(fixture.outcomeFor({ "key-three" }) == IdentificationOutcome::NotRequired);
    fixture.queue.isPublic = false;
    fixture.directory.setConfiguration({});
    CHECK(fixture.outcomeFor({}) == IdentificationOutcome::NotRequired);
}

TEST_CASE("team keys: a newer configuration adds and removes keys at once", "[identity]")
{
    DirectoryFixture fixture;
    fixture.directory.setConfiguration(configurationWithKeys({ "key-two", "key-three" }));
    CHECK(fixture.outcomeFor({ "key-one" }) == IdentificationOutcome::UnknownKey);
    CHECK(fixture.outcomeFor({ "key-two" }) == IdentificationOutcome::Identified);
    CHECK(fixture.outcomeFor({ "key-three" }) == IdentificationOutcome::Identified);
    fixture.directory.setConfiguration(configurationWithKeys({}));
    CHECK(fixture.outcomeFor({ "key-two" }) == IdentificationOutcome::UnknownKey);
}

// An entry that is cut off from the store does not learn that a key was removed. It must stop accepting keys before a
// removal can be as old as the bound.
TEST_CASE("team keys: no key is accepted once its removal may be too long ago", "[identity]")
{
    DirectoryFixture fixture(milliseconds(5000));
    fixture.age = milliseconds(3000);
    CHECK(fixture.outcomeFor({ "key-one" }) == IdentificationOutcome::Identified);
    fixture.age = milliseconds(3001);
    CHECK(fixture.outcomeFor({ "key-one" }) == IdentificationOutcome::OutdatedConfiguration);
    fixture.age = milliseconds::max();
    CHECK(fixture.outcomeFor({ "key-one" }) == IdentificationOutcome::OutdatedConfiguration);
    fixture.queue.isPublic = true;
    CHECK(fixture.outcomeFor({}) == IdentificationOutcome::NotRequired);
}

TEST_CASE("team keys: without a bound, known keys are accepted from an outdated configuration", "[identity]")
{
    DirectoryFixture fixture;
    fixture.age = milliseconds(60000);
    CHECK(fixture.outcomeFor({ "key-one" }) == IdentificationOutcome::Identified);
}

// A key that was added while the entry could not read the configuration must not be called unknown.
TEST_CASE("team keys: an outdated configuration does not tell that a key is unknown", "[identity]")
{
    DirectoryFixture fixture;
    fixture.age = milliseconds(3001);
    CHECK(fixture.outcomeFor({ "key-three" }) == IdentificationOutcome::OutdatedConfiguration);
    CHECK(fixture.outcomeFor({}) == IdentificationOutcome::OutdatedConfiguration);
    fixture.age = milliseconds(3000);
    CHECK(fixture.outcomeFor({ "key-three" }) == IdentificationOutcome::UnknownKey);
}
