#include "daemonundertest.h"
#include "processtests/loopback.h"
#include "processtests/pressure.h"
#include "processtests/requeststreams.h"

#include <array>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

// Clients that the daemon does not control may send without end. Each test checks only what does not depend
// on the speed of the machine: the process lives, its memory and descriptors stay under a bound, and an ordinary
// request is answered on each listening socket while the peers are still connected.

using namespace turmericsill::daemon::tests;
using namespace turmericsill::processtests;

namespace {

/// Half of DaemonUnderTest::memoryLimitMb; the process needs less than the other half when nobody calls it.
constexpr std::size_t maximumGrowthKb = 64 << 10;
constexpr std::size_t endlessBytes = 4 << 20;
constexpr std::array<Listener, 3> listeners { Listener::Caller, Listener::Operator, Listener::Telemetry };

void checkUnderPressure(const DaemonUnderTest& daemon, const Crowd& crowd)
{
    const ProcessBounds bounds { daemon.residentAtStartKb() + maximumGrowthKb, DaemonUnderTest::descriptorLimit };
    turmericsill::processtests::checkUnderPressure(
        daemon.process(), crowd, bounds, [&daemon] { return daemon.answersOrdinaryRequests(); });
}

/// Presses each listening socket with `count` clients that send the stream.
void checkWithClients(std::size_t count, const Stream& request)
{
    const DaemonUnderTest daemon;
    Crowd crowd;
    for (const Listener listener : listeners)
        addClients(crowd, daemon.port(listener), count, { request });
    checkUnderPressure(daemon, crowd);
}

} // namespace

TEST_CASE("daemon: endless trailers do not exhaust the memory", "[untrusted]")
{
    checkWithClients(8, endlessTrailers(endlessBytes));
}

TEST_CASE("daemon: endless headers do not exhaust the memory", "[untrusted]")
{
    checkWithClients(16, endlessHeader(endlessBytes));
}

TEST_CASE("daemon: endless start lines do not exhaust the memory", "[untrusted]")
{
    checkWithClients(16, endlessStartLine(endlessBytes));
}

TEST_CASE("daemon: endless empty lines do not exhaust the memory", "[untrusted]")
{
    checkWithClients(16, endlessEmptyLines(endlessBytes));
}

TEST_CASE("daemon: endless chunk extensions do not exhaust the memory", "[untrusted]")
{
    checkWithClients(16, endlessChunkExtension(endlessBytes));
}

TEST_CASE("daemon: announced bodies do not exhaust the memory", "[untrusted]")
{
    checkWithClients(8, unfinishedBody(32 << 20));
}

// Each body is within the limit of a request for operators; only their sum is not.
TEST_CASE("daemon: unfinished bodies in large chunks do not exhaust the memory", "[untrusted]")
{
    checkWithClients(8, endlessChunks(60 << 20));
}

TEST_CASE("daemon: many unfinished headers do not exhaust the memory", "[untrusted]")
{
    const DaemonUnderTest daemon;
    Crowd crowd;
    // Just under the limit of a header.
    addClients(crowd, daemon.port(Listener::Caller), 180, { endlessHeader(16000) });
    checkUnderPressure(daemon, crowd);
}

TEST_CASE("daemon: silent connections do not exhaust the descriptors", "[untrusted]") { checkWithClients(300, {}); }

// A decoder that calls itself for each level overflows its stack.
TEST_CASE("daemon: a deeply nested heartbeat does not end the process", "[untrusted]")
{
    const DaemonUnderTest daemon;
    const std::string datagram(60000, '\x81');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(daemon.peerPort());
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    for (int i = 0; i < 3; ++i)
        CHECK(::sendto(socket, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address)
            == ssize_t(datagram.size()));
    ::close(socket);
    checkUnderPressure(daemon, {});
}

// Each element of a list takes some hundred bytes once it is parsed.
TEST_CASE("daemon: a request of very many JSON values does not exhaust the memory", "[untrusted]")
{
    const DaemonUnderTest daemon;
    std::string body = R"({"jsonrpc":"2.0","id":1,"method":"plan","params":{"declarations":{"pools":[0)";
    constexpr std::size_t values = 1500000;
    for (std::size_t i = 0; i < values; ++i)
        body += ",0";
    body += "]}}}";
    const std::string response = exchange(daemon.port(Listener::Operator),
        "POST /rpc HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body);
    INFO(response);
    CHECK(response.rfind("HTTP/1.1 ", 0) == 0);
    checkUnderPressure(daemon, {});
}
