#include "daemonundertest.h"

#include "processtests/loopback.h"
#include "processtests/pressure.h"

#include <catch2/catch.hpp>
#include <fstream>

namespace turmericsill::daemon::tests {

using processtests::exchange;

namespace {

    bool answers(std::uint16_t port, const std::string& request, const std::string& expected)
    {
        return processtests::succeedsInTime(
            [&] { return exchange(port, request).find(expected) != std::string::npos; });
    }

    std::string get(const std::string& target)
    {
        return "GET " + target + " HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n";
    }

} // namespace

DaemonUnderTest::DaemonUnderTest(std::optional<std::uint16_t> platformPort)
    : ports_(processtests::unusedPorts(platformIndex + 1))
{
    writeSettings(platformPort.value_or(ports_[platformIndex]));
    processtests::Program program;
    program.path = TURMERICSILL_DAEMON_PROGRAM;
    program.arguments = { "--settings", folder_.file("settings.json") };
    program.descriptorLimit = descriptorLimit;
    process_.emplace(std::move(program));
    REQUIRE(answersOrdinaryRequests());
    residentAtStartKb_ = process_->residentKb();
}

void DaemonUnderTest::writeSettings(std::uint16_t platformPort) const
{
    std::ofstream settings(folder_.file("settings.json"));
    settings << R"({"entry": "entry-1", "data_centre": "here", "maximum_connections": 200, "memory_limit_mb": )"
             << memoryLimitMb;
    const auto writeAddress = [&settings](const std::string& field, std::uint16_t port) {
        settings << ", \"" << field << R"(": "127.0.0.1:)" << port << '"';
    };
    writeAddress("caller_address", port(Listener::Caller));
    writeAddress("operator_address", port(Listener::Operator));
    writeAddress("telemetry_address", port(Listener::Telemetry));
    writeAddress("peer_address", peerPort());
    writeAddress("platform_address", platformPort);
    settings << "}\n";
}

bool DaemonUnderTest::answersOrdinaryRequests() const
{
    const std::string status = R"({"jsonrpc":"2.0","id":1,"method":"status","params":{}})";
    const std::string statusRequest = "POST /rpc HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\nContent-Length: "
        + std::to_string(status.size()) + "\r\n\r\n" + status;
    return answers(port(Listener::Caller), get("/calls/x"), "Turmericsill-Outcome: not-run")
        && answers(port(Listener::Operator), statusRequest, "jsonrpc")
        && answers(port(Listener::Telemetry), get("/metrics"), "turmericsill_");
}

} // namespace turmericsill::daemon::tests
