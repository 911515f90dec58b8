#include "entryundertest.h"
#include "processtests/loopback.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

// What a caller asks for within all limits of one request may need more memory than any process has. What is accepted
// stands in the log, so that every entry that reads it pays again.

using namespace turmericsill::entryd::tests;
using namespace turmericsill::processtests;

namespace {

/// Half of EntryUnderTest::memoryLimitMb; the process needs less than the other half when nobody calls it.
constexpr std::size_t maximumGrowthKb = 32 << 10;

/// A stand-in of the platform and an entry that uses it.
struct EntryOnPlatform {
    EntryOnPlatform()
        : port(unusedPorts(1).front())
        , platform(
              { TURMERICSILL_PLATFORM_STANDIN, { "--address=127.0.0.1:" + std::to_string(port) }, "/dev/null", {} })
        , entry(port)
    {
        REQUIRE(entry.acceptsJob());
    }

    void checkAlive() const
    {
        CHECK(entry.acceptsJob());
        REQUIRE(entry.process().isAlive());
        WARN("resident memory peak " << entry.process().peakResidentKb() << " kB");
        CHECK(entry.process().peakResidentKb() <= entry.residentAtStartKb() + maximumGrowthKb);
    }

    std::uint16_t port;
    ProcessUnderTest platform;
    EntryUnderTest entry;
};

/// A job with steps of the largest number of tasks that a step may have.
std::string jobOfSteps(int count)
{
    std::string steps;
    for (int i = 0; i < count; ++i)
        steps += std::string(i == 0 ? "" : ",") + R"({"count":100000,"cpu":100})";
    return R"({"spec":"s","steps":[)" + steps + "]}";
}

/// A job of single-task steps, with further fields. The steps differ from each other if `areDistinct`.
std::string jobOfSmallSteps(int count, const std::string& fields, bool areDistinct = false)
{
    std::string steps;
    for (int i = 0; i < count; ++i) {
        const int milliCores = areDistinct ? 1000 + i : 1000;
        steps += std::string(i == 0 ? "" : ",") + R"({"count":1,"cpu":)" + std::to_string(milliCores)
            + R"(,"mem_mb":64})";
    }
    return R"({"spec":"s","steps":[)" + steps + "]" + fields + "}";
}

/// A job that runs 1,000 times, all of them due at once.
std::string scheduleOfSteps(int count) { return jobOfSmallSteps(count, R"(,"repeats":1000,"first_ms":1)"); }

std::string jobIdOf(int number)
{
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

} // namespace

// Each task takes memory as soon as its job is accepted, and the log makes each entry that reads it pay.
TEST_CASE("untrusted callers: a job of millions of tasks does not exhaust the memory", "[untrusted]")
{
    EntryOnPlatform system;
    // The old code needs 88 bytes for each of 20 million tasks.
    const std::string response = system.entry.submit("00000000000000bb", jobOfSteps(200));
    INFO(response);
    CHECK(response.rfind("HTTP/1.1 400", 0) == 0);
    system.checkAlive();
    system.entry.restart();
    system.checkAlive();
}

// All occurrences of a schedule may be due at once, and they may be as many as the field allows.
TEST_CASE("untrusted callers: a schedule of millions of occurrences does not exhaust the memory", "[untrusted]")
{
    EntryOnPlatform system;
    const std::string job = R"({"spec":"s","steps":[{"count":1,"cpu":100}],"repeats":4000000,"first_ms":1})";
    const std::string response = system.entry.submit("00000000000000cc", job);
    INFO(response);
    system.checkAlive();
    system.entry.restart();
    system.checkAlive();
}

// Each schedule keeps its own limit, but the occurrences that are due in all of them add up.
TEST_CASE("untrusted callers: occurrences of many schedules do not exhaust the memory", "[untrusted]")
{
    EntryOnPlatform system;
    for (int number = 1; number <= 24; ++number) {
        const std::string response = system.entry.submit(jobIdOf(number), scheduleOfSteps(100));
        INFO(response);
        CHECK(response.rfind("HTTP/1.1 200", 0) == 0);
    }
    std::this_thread::sleep_for(std::chrono::seconds(3)); // The controller has started what is due.
    system.checkAlive();
    system.entry.restart();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    system.checkAlive();
}

// Each job is within the limits of one request, but the entries hold all of them.
TEST_CASE("untrusted callers: many jobs of many steps do not exhaust the memory", "[untrusted]")
{
    const bool areDistinct = GENERATE(false, true);
    EntryOnPlatform system;
    int accepted = 0;
    int refused = 0;
    for (int number = 1; number <= 300; ++number) {
        const std::string response = system.entry.submit(jobIdOf(number), jobOfSmallSteps(1000, "", areDistinct));
        accepted += response.rfind("HTTP/1.1 200", 0) == 0;
        refused += response.rfind("HTTP/1.1 429", 0) == 0 && response.find("Retry-After") != std::string::npos;
    }
    CHECK(accepted > 0);
    CHECK(accepted + refused == 300);
    system.checkAlive();
    system.entry.restart();
    system.checkAlive();
}
