#include "settings/daemonsettings.h"

#include <catch2/catch.hpp>

using namespace turmericsill;

namespace {

const char* const validSettings = R"({
  // One entry instance.
  "entry": "entry-a",
  "data_centre": "krosno-1",
  "caller_address": "127.0.0.1:7101",
  "operator_address": "127.0.0.1:7102",
  "telemetry_address": "127.0.0.1:7103",
  "peer_address": "127.0.0.1:7104",
  "platform_address": "127.0.0.1:7000",
  "fence_after_ms": 8000
})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("settings: a valid file is read with defaults for absent fields", "[settings]")
{
    jsonsource::Faults faults;
    auto result = settings::parseDaemonSettings("s.json", validSettings, faults);
    REQUIRE(result);
    CHECK(result->entry == "entry-a");
    CHECK(result->callerAddress.port == 7101);
    CHECK(result->fenceAfter == std::chrono::seconds(8));
    CHECK(result->staleServing == settings::StaleServing::Serve);
}

TEST_CASE(
    "settings: an unknown field, wrong type, bad address or value out of range is reported with its line and field",
    "[settings]")
{
    struct Case {
        std::string from;
        std::string to;
        std::string expected;
    };
    const std::vector<Case> cases {
        { "\"entry\": \"entry-a\",", "\"entry\": \"entry-a\", \"colour\": 1,", "s.json:3: /colour: unknown field" },
        { "\"entry-a\"", "7", "s.json:3: /entry: expected a name" },
        { "127.0.0.1:7104", "localhost:7104", "s.json:8: /peer_address: expected an address IP:PORT" },
        { "8000", "10", "s.json:10: /fence_after_ms: expected a whole number from 1000 to 600000" },
        { "8000", "1500", "s.json:10: /fence_after_ms: expected at least suspect_after_ms" },
    };
    for (const auto& c : cases) {
        jsonsource::Faults faults;
        CHECK_FALSE(settings::parseDaemonSettings("s.json", replaced(validSettings, c.from, c.to), faults));
        REQUIRE(faults.size() == 1);
        CHECK_THAT(faults[0].text(), Catch::Matchers::StartsWith(c.expected));
    }
}

TEST_CASE("settings: the memory of requests and responses follows from the memory of the process", "[settings]")
{
    constexpr std::size_t megabyte = 1 << 20;
    const auto parse = [](const std::string& fields) {
        jsonsource::Faults faults;
        return settings::parseDaemonSettings(
            "s.json", replaced(validSettings, "\"entry\": \"entry-a\"", "\"entry\": \"entry-a\"" + fields), faults);
    };
    const auto unlimited = parse("");
    REQUIRE(unlimited);
    CHECK(settings::maximumOperatorRequestBytes(*unlimited) == 64 * megabyte);
    CHECK(settings::responseMemory(*unlimited).log == 256 * megabyte);
    const auto limited = parse(R"(, "memory_limit_mb": 128)");
    REQUIRE(limited);
    CHECK(settings::requestMemory(*limited).callers == 12 * megabyte);
    CHECK(settings::requestMemory(*limited).operators == 16 * megabyte);
    CHECK(settings::requestMemory(*limited).telemetry == 4 * megabyte);
    CHECK(settings::maximumOperatorRequestBytes(*limited) == 8 * megabyte);
    CHECK(settings::responseMemory(*limited).log == 16 * megabyte);
    const auto given = parse(R"(, "memory_limit_mb": 128, "request_memory_mb": 64, "response_memory_mb": 64)");
    REQUIRE(given);
    CHECK(settings::requestMemory(*given).operators == 32 * megabyte);
    CHECK(settings::responseMemory(*given).callers == 16 * megabyte);
}

TEST_CASE("settings: limits that do not fit into the memory of the process are refused", "[settings]")
{
    for (const std::string fields : { R"("memory_limit_mb": 63)", R"("memory_limit_mb": 128, "request_memory_mb": 65)",
             R"("memory_limit_mb": 128, "response_memory_mb": 65)",
             R"("memory_limit_mb": 128, "maximum_body_bytes": 6291457)" }) {
        INFO(fields);
        jsonsource::Faults faults;
        CHECK_FALSE(settings::parseDaemonSettings(
            "s.json", replaced(validSettings, "\"entry\"", fields + ", \"entry\""), faults));
        CHECK(faults.size() == 1);
    }
    jsonsource::Faults faults;
    CHECK(settings::parseDaemonSettings("s.json",
        replaced(validSettings, "\"entry\"", R"("memory_limit_mb": 128, "maximum_body_bytes": 6291456, "entry")"),
        faults));
}
