#include "entryundertest.h"
#include "processtests/pressure.h"

#include <catch2/catch.hpp>
#include <string>

// A server that the entry calls may send without end as well.

using namespace turmericsill::entryd::tests;
using namespace turmericsill::processtests;

namespace {

/// Half of EntryUnderTest::memoryLimitMb; the process needs less than the other half when nobody calls it.
constexpr std::size_t maximumGrowthKb = 32 << 10;
constexpr std::size_t endlessBytes = 64 << 20;
constexpr std::size_t maximumResponses = 12;

ProcessBounds boundsOf(const EntryUnderTest& entry)
{
    return { entry.residentAtStartKb() + maximumGrowthKb, EntryUnderTest::descriptorLimit };
}

/// Presses an entry with a store that answers each call with the stream.
void checkWithStore(const Stream& response)
{
    Crowd crowd;
    auto server = std::make_unique<MisbehavingServer>(response, maximumResponses);
    const EntryUnderTest entry(server->port());
    crowd.push_back(std::move(server));
    checkUnderPressure(entry.process(), crowd, boundsOf(entry), [&entry] { return entry.answersOrdinaryRequest(); });
}

const std::string chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("untrusted peers: a store's body without a length does not exhaust the memory", "[untrusted]")
{
    checkWithStore({ "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x'), endlessBytes });
}

TEST_CASE("untrusted peers: a store's endless chunks do not exhaust the memory", "[untrusted]")
{
    checkWithStore({ chunkedResponse, "fa00\r\n" + std::string(0xfa00, 'x') + "\r\n", endlessBytes });
}

TEST_CASE("untrusted peers: a store's chunks of one byte do not exhaust the memory", "[untrusted]")
{
    checkWithStore({ chunkedResponse, "1\r\nx\r\n", endlessBytes });
}

TEST_CASE("untrusted peers: a store's announced body does not exhaust the memory", "[untrusted]")
{
    checkWithStore({ "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", std::string(1000, 'x'), endlessBytes });
}

TEST_CASE("untrusted peers: a store's endless header does not exhaust the memory", "[untrusted]")
{
    checkWithStore({ "HTTP/1.1 200 OK\r\n", "a:\r\n", endlessBytes });
}

TEST_CASE("untrusted peers: a store's endless trailers do not exhaust the memory", "[untrusted]")
{
    checkWithStore({ chunkedResponse + "1\r\nx\r\n0\r\n", "X-Trailer: t\r\n", endlessBytes });
}
