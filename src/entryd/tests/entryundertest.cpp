#include "entryundertest.h"

#include "processtests/loopback.h"
#include "processtests/pressure.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

namespace turmericsill::entryd::tests {

using processtests::exchange;

namespace {

    std::string postRequest(const std::string& target, const std::string& host, const std::string& body)
    {
        return "POST " + target + " HTTP/1.1\r\nHost: " + host
            + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

} // namespace

EntryUnderTest::EntryUnderTest(std::optional<std::uint16_t> storePort)
    : hasStore_(storePort)
    , ports_(processtests::unusedPorts(4))
{
    writeSettings(storePort.value_or(ports_.back()));
    processtests::Program program;
    program.path = TURMERICSILL_ENTRY_PROGRAM;
    program.arguments = { "--settings", folder_.file("settings.json") };
    program.outputFile = folder_.file("log");
    process_.emplace(std::move(program));
    REQUIRE(answersOrdinaryRequest());
    residentAtStartKb_ = process_->residentKb();
}

void EntryUnderTest::writeSettings(std::uint16_t storePort) const
{
    const auto address = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::ofstream(folder_.file("settings.json"))
        << R"({"entry": "entry-1", "data_centre": "here", "caller_address": )" << address(ports_[0])
        << R"(, "health_address": )" << address(ports_[1]) << R"(, "telemetry_address": )" << address(ports_[2])
        << R"(, "store_address": )" << address(storePort) << R"(, "machine_control_address": )" << address(storePort)
        << R"(, "memory_limit_mb": )" << memoryLimitMb << R"(, "descriptor_limit": )" << descriptorLimit << "}\n";
}

bool EntryUnderTest::answersOrdinaryRequest() const
{
    const std::string request = postRequest("/jobs/0123456789abcdef", "jobs", std::string(4096, 'x'));
    return processtests::succeedsInTime([&] {
        // What the handler answers as long as it could not read the configuration from the store; afterwards it knows
        // that there is no such queue.
        const std::string response = exchange(port(Listener::Caller), request);
        const bool isWithoutConfiguration = response.rfind("HTTP/1.1 503", 0) == 0
            && response.find("configuration has not been read") != std::string::npos;
        return isWithoutConfiguration || (hasStore_ && response.rfind("HTTP/1.1 404", 0) == 0);
    });
}

bool EntryUnderTest::acceptsJob() const
{
    return processtests::succeedsInTime([this] {
        const std::string response = submit("00000000000000aa", R"({"spec":"s","steps":[{"count":1,"cpu":100}]})");
        return response.rfind("HTTP/1.1 200", 0) == 0;
    });
}

std::string EntryUnderTest::submit(const std::string& job, const std::string& body) const
{
    return exchange(port(Listener::Caller), postRequest("/calls/" + job, "calls.example", body));
}

std::size_t EntryUnderTest::logBytes() const { return std::filesystem::file_size(folder_.file("log")); }

} // namespace turmericsill::entryd::tests
