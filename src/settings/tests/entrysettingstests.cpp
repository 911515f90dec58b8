#include "settings/entrysettings.h"

#include <catch2/catch.hpp>

using namespace turmericsill::settings;

namespace {

const std::string requiredFields = R"({
"entry": "edge-1", "data_centre": "here",
"caller_address": "10.0.0.1:1", "health_address": "10.0.0.1:2", "telemetry_address": "10.0.0.1:3",
"store_address": "10.0.0.9:1", "machine_control_address": "10.0.0.9:2")";

} // namespace

TEST_CASE("entry settings: fields are read, and absent ones have defaults", "[settings]")
{
    turmericsill::jsonsource::Faults faults;
    const auto settings = parseEntrySettings("entry.json",
        requiredFields + R"(, "instance_control": "rpc", "advice_address": "10.0.0.9:3", "shutdown_grace_ms": 4000,
    "configuration_bound_ms": 3000, "log_record_bytes": 100000, "processor_share": 0.12, "processor_cores": 2})",
        faults);
    REQUIRE(settings);
    CHECK(faults.empty());
    CHECK(settings->entry == "edge-1");
    CHECK(settings->adviceAddress->toString() == "10.0.0.9:3");
    CHECK(settings->shutdownGrace == turmericsill::foundation::milliseconds(4000));
    CHECK(settings->configurationBound == turmericsill::foundation::milliseconds(3000));
    CHECK(settings->logRecordBytes == 100000);
    CHECK(settings->logAppendBytes == 2097152);
    CHECK(processorMillicores(*settings) == 240);
    CHECK(settings->logRetention == turmericsill::foundation::milliseconds(300000));
    CHECK_FALSE(settings->keyRevocationBound);
    CHECK_FALSE(settings->memoryLimitMb);
    CHECK(settings->remoteSlowdown == 1);
}

TEST_CASE("entry settings: bounds of teams, locality and memory are read", "[settings]")
{
    turmericsill::jsonsource::Faults faults;
    const auto settings = parseEntrySettings("entry.json",
        requiredFields + R"(, "key_revocation_bound_ms": 5000, "team_burst_jobs": 30, "remote_slowdown": 2.5,
    "memory_limit_mb": 160, "descriptor_limit": 4100})",
        faults);
    REQUIRE(settings);
    CHECK(settings->keyRevocationBound == turmericsill::foundation::milliseconds(5000));
    CHECK(settings->teamBurstJobs == 30);
    CHECK(settings->remoteSlowdown == 2.5);
    CHECK(settings->memoryLimitMb == 160);
    CHECK(settings->descriptorLimit == 4100);
}

TEST_CASE("entry settings: each missing, ill-typed or unsupported field is reported as one fault", "[settings]")
{
    turmericsill::jsonsource::Faults faults;
    CHECK_FALSE(parseEntrySettings("entry.json", "{\"entry\": \"edge-1\"}", faults));
    CHECK(faults.size() == 6);
    faults.clear();
    CHECK_FALSE(parseEntrySettings("entry.json", requiredFields + R"(, "longest_lease_ms": "ten"})", faults));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].field == "/longest_lease_ms");
    faults.clear();
    CHECK_FALSE(parseEntrySettings("entry.json", requiredFields + R"(, "instance_control": "heartbeat"})", faults));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].field == "/instance_control");
    CHECK(faults[0].expected == "expected one of \"rpc\"");
}

TEST_CASE("entry settings: limits of clients follow from those of the process unless they are set", "[settings]")
{
    constexpr std::size_t megabyte = 1 << 20;
    turmericsill::jsonsource::Faults faults;
    const auto unlimited = parseEntrySettings("entry.json", requiredFields + "}", faults);
    REQUIRE(unlimited);
    CHECK(requestMemoryBytes(*unlimited) == 64 * megabyte);
    CHECK(responseMemoryBytes(*unlimited) == 256 * megabyte);
    CHECK(jobMemoryBytes(*unlimited) == 40 * megabyte);
    CHECK(maximumCallerConnections(*unlimited) == 3000);
    CHECK(unlimited->requestBodyBytes == 262144);
    const auto limited = parseEntrySettings(
        "entry.json", requiredFields + R"(, "memory_limit_mb": 160, "descriptor_limit": 8200})", faults);
    REQUIRE(limited);
    CHECK(requestMemoryBytes(*limited) == 40 * megabyte);
    CHECK(responseMemoryBytes(*limited) == 40 * megabyte);
    CHECK(jobMemoryBytes(*limited) == 40 * megabyte);
    CHECK(maximumCallerConnections(*limited) == 6000);
    // All entries hold the same jobs: the memory of a larger machine is of no use.
    const auto large = parseEntrySettings("entry.json", requiredFields + R"(, "memory_limit_mb": 512})", faults);
    REQUIRE(large);
    CHECK(jobMemoryBytes(*large) == 40 * megabyte);
    const auto chosen = parseEntrySettings("entry.json",
        requiredFields + R"(, "memory_limit_mb": 160, "descriptor_limit": 4100, "request_memory_mb": 30,
    "response_memory_mb": 50, "job_memory_mb": 60, "caller_connections": 2000, "request_body_bytes": 100000})",
        faults);
    REQUIRE(chosen);
    CHECK(requestMemoryBytes(*chosen) == 30 * megabyte);
    CHECK(responseMemoryBytes(*chosen) == 50 * megabyte);
    CHECK(jobMemoryBytes(*chosen) == 60 * megabyte);
    CHECK(maximumCallerConnections(*chosen) == 2000);
    CHECK(chosen->requestBodyBytes == 100000);
}

TEST_CASE("entry settings: limits of clients that contradict those of the process are faults", "[settings]")
{
    const auto faultyField = [](const std::string& fields) {
        turmericsill::jsonsource::Faults faults;
        CHECK_FALSE(parseEntrySettings("entry.json", requiredFields + fields + "}", faults));
        return faults.size() == 1 ? faults[0].field : std::to_string(faults.size()) + " faults";
    };
    CHECK(faultyField(R"(, "memory_limit_mb": 160, "request_memory_mb": 81)") == "/request_memory_mb");
    CHECK(faultyField(R"(, "memory_limit_mb": 160, "response_memory_mb": 81)") == "/response_memory_mb");
    CHECK(faultyField(R"(, "memory_limit_mb": 160, "job_memory_mb": 81)") == "/job_memory_mb");
    CHECK(faultyField(R"(, "descriptor_limit": 4100, "caller_connections": 4100)") == "/caller_connections");
    CHECK(faultyField(R"(, "request_memory_mb": 4, "request_body_bytes": 3000000)") == "/request_body_bytes");
}
