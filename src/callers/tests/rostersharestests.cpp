#include "callers/rostershares.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>

using namespace turmericsill;
using callers::RosterShares;

namespace {

declarations::Service makeService()
{
    declarations::Service service;
    service.name = "calls";
    service.slotsPerInstance = 8;
    service.connectionsPerInstance = 64;
    return service;
}

using EntryNames = std::vector<std::string>;

} // namespace

TEST_CASE("shares: the whole limit is distributed and the shares even out over instances", "[shares]")
{
    const EntryNames entries { "a", "b", "c" };
    std::map<std::string, std::uint32_t> totals;
    for (int instance = 0; instance < 300; ++instance) {
        std::uint32_t sum = 0;
        for (const auto& name : entries) {
            RosterShares shares(name);
            shares.addRoster(1, entries);
            shares.onRosterSettled(1);
            const std::uint32_t slots = shares.slots(makeService(), "w" + std::to_string(instance));
            sum += slots;
            totals[name] += slots;
        }
        CHECK(sum == 8);
    }
    for (const auto& [name, total] : totals)
        CHECK(total == Approx(800).epsilon(0.05));
}

TEST_CASE("shares: a new entry has no share until every member follows its roster", "[shares]")
{
    RosterShares shares("c");
    shares.addRoster(5, { "a", "b", "c" });
    CHECK_FALSE(shares.hasShare());
    CHECK(shares.slots(makeService(), "w") == 0);
    CHECK(shares.onRosterSettled(5));
    CHECK(shares.hasShare());
    CHECK(shares.slots(makeService(), "w") >= 2);
}

// Entries learn at different times of new rosters and of their acknowledgement by all members. The sum of the shares
// must not exceed the limit at any time.
TEST_CASE("shares: the sum never exceeds the limit while entries follow different rosters", "[shares]")
{
    const EntryNames allEntries { "a", "b", "c", "d", "e", "f", "g", "h" };
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        std::map<std::string, std::unique_ptr<RosterShares>> members;
        std::map<std::string, std::uint64_t> appliedRoster;
        for (const auto& name : allEntries)
            members[name] = std::make_unique<RosterShares>(name);
        std::vector<EntryNames> rosters(1);
        for (int step = 0; step < 200; ++step) {
            const std::string& name = allEntries[random() % allEntries.size()];
            switch (random() % 3) {
            case 0: {
                EntryNames next;
                for (const auto& candidate : allEntries) {
                    if (random() % 3 != 0)
                        next.push_back(candidate);
                }
                rosters.push_back(next);
                break;
            }
            case 1:
                if (appliedRoster[name] + 1 < rosters.size()) {
                    ++appliedRoster[name];
                    members[name]->addRoster(appliedRoster[name], rosters[appliedRoster[name]]);
                }
                break;
            default: {
                std::uint64_t settled = rosters.size() - 1;
                for (const auto& candidate : allEntries)
                    settled = std::min(settled, appliedRoster[candidate]);
                members[name]->onRosterSettled(settled);
            }
            }
            std::uint32_t slots = 0;
            std::uint32_t connections = 0;
            for (const auto& member : members) {
                slots += member.second->slots(makeService(), "w");
                connections += member.second->connections(makeService(), "w");
            }
            REQUIRE(slots <= 8);
            REQUIRE(connections <= 64);
        }
    }
}
