#include "daemonundertest.h"
#include "processtests/pressure.h"

#include <catch2/catch.hpp>
#include <string>

// A server that the daemon calls may send without end. Each test checks only what does not depend
// on the speed of the machine: the process lives, its memory and descriptors stay under a bound, and an ordinary
// request is answered on each listening socket while the peers are still connected.

using namespace turmericsill::daemon::tests;
using namespace turmericsill::processtests;

namespace {

/// Half of DaemonUnderTest::memoryLimitMb; the process needs less than the other half when nobody calls it.
constexpr std::size_t maximumGrowthKb = 64 << 10;
constexpr std::size_t endlessResponseBytes = 96 << 20;
constexpr std::size_t maximumResponses = 8;

const std::string chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

void checkUnderPressure(const DaemonUnderTest& daemon, const Crowd& crowd)
{
    const ProcessBounds bounds { daemon.residentAtStartKb() + maximumGrowthKb, DaemonUnderTest::descriptorLimit };
    turmericsill::processtests::checkUnderPressure(
        daemon.process(), crowd, bounds, [&daemon] { return daemon.answersOrdinaryRequests(); });
}

/// Presses the daemon with a platform that answers each call with the stream.
void checkWithPlatform(const Stream& response)
{
    Crowd crowd;
    auto server = std::make_unique<MisbehavingServer>(response, maximumResponses);
    const DaemonUnderTest daemon(server->port());
    crowd.push_back(std::move(server));
    checkUnderPressure(daemon, crowd);
}

} // namespace

TEST_CASE("daemon: a platform's announced body does not exhaust the memory", "[untrusted]")
{
    checkWithPlatform({ "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", std::string(largeStep, 'x'),
        endlessResponseBytes });
}

TEST_CASE("daemon: a platform's body without a length does not exhaust the memory", "[untrusted]")
{
    checkWithPlatform({ "HTTP/1.1 200 OK\r\n\r\n", std::string(largeStep, 'x'), endlessResponseBytes });
}

TEST_CASE("daemon: a platform's endless chunks do not exhaust the memory", "[untrusted]")
{
    checkWithPlatform({ chunkedResponse, "fa00\r\n" + std::string(0xfa00, 'x') + "\r\n", endlessResponseBytes });
}

TEST_CASE("daemon: a platform's endless trailers do not exhaust the memory", "[untrusted]")
{
    checkWithPlatform({ chunkedResponse + "1\r\nx\r\n0\r\n", "X-Trailer: t\r\n", endlessResponseBytes });
}

TEST_CASE("daemon: one endless trailer of a platform does not exhaust the memory", "[untrusted]")
{
    checkWithPlatform(
        { chunkedResponse + "1\r\nx\r\n0\r\nX-Trailer: ", std::string(largeStep, 't'), endlessResponseBytes });
}

TEST_CASE("daemon: a platform's endless chunk size does not exhaust the memory", "[untrusted]")
{
    checkWithPlatform({ chunkedResponse, std::string(largeStep, '0'), endlessResponseBytes });
}

TEST_CASE("daemon: a platform's endless chunk extension does not exhaust the memory", "[untrusted]")
{
    checkWithPlatform({ chunkedResponse + "1;", std::string(largeStep, 'e'), endlessResponseBytes });
}

TEST_CASE("daemon: a platform's endless header does not exhaust the memory", "[untrusted]")
{
    checkWithPlatform({ "HTTP/1.1 200 OK\r\n", "X-Field: v\r\n", endlessResponseBytes });
}
