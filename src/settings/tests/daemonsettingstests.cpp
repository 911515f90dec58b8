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
