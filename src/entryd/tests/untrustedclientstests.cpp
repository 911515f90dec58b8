#include "entryundertest.h"
#include "processtests/loopback.h"
#include "processtests/pressure.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>

// Clients that exceeded the limits made a process run out of memory and end; see docs/design/request-limits.md. Each
// test checks only what does not depend on the speed of the machine: the process lives, its memory and descriptors stay
// under a bound, and an ordinary request is answered while the clients are still connected.

using namespace turmericsill::entryd::tests;
using namespace turmericsill::processtests;

namespace {

/// Half of EntryUnderTest::memoryLimitMb; the process needs less than the other half when nobody calls it.
constexpr std::size_t maximumGrowthKb = 32 << 10;
constexpr std::size_t smallStep = 1;

/// A behaviour and the listening socket that it is meant for.
struct Behaviour {
    std::string opening;
    std::string repeated;
    std::size_t repeatedBytes = 0;
    std::size_t bytesPerStep = largeStep;
    bool readsSlowly = false;
    Listener listener = Listener::Caller;
};

void addClients(Crowd& crowd, const EntryUnderTest& entry, std::size_t count, const Behaviour& behaviour)
{
    const Stream stream { behaviour.opening, behaviour.repeated, behaviour.repeatedBytes };
    addClients(crowd, entry.port(behaviour.listener), count, { stream, behaviour.bytesPerStep, behaviour.readsSlowly });
}

/// Lets the crowd press the entry until none of its clients can send any more, and checks the entry.
void checkUnderPressure(const EntryUnderTest& entry, const Crowd& crowd)
{
    const ProcessBounds bounds { entry.residentAtStartKb() + maximumGrowthKb, EntryUnderTest::descriptorLimit };
    turmericsill::processtests::checkUnderPressure(
        entry.process(), crowd, bounds, [&entry] { return entry.answersOrdinaryRequest(); });
}

const std::string chunkedOpening = "POST /jobs HTTP/1.1\r\nHost: jobs\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t bytes)
{
    std::array<char, 32> size {};
    std::snprintf(size.data(), size.size(), "%zx", bytes);
    return std::string(size.data()) + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

/// A chunked body without its last chunk.
Behaviour unendingBody(std::size_t bodyBytes, std::size_t chunkBytes)
{
    const std::string repeated = chunk(chunkBytes);
    return { chunkedOpening, repeated, bodyBytes / chunkBytes * repeated.size() };
}

constexpr std::size_t acceptedBodyBytes = 256000; ///< Within the limit of 262,144.
constexpr std::size_t excessiveBodyBytes = 1000000; ///< Far over it.

Behaviour endlessTrailers()
{
    return { chunkedOpening + chunk(10) + "0\r\n", "X-Trailer: " + std::string(100, 't') + "\r\n", 8 << 20 };
}

Behaviour endlessExtensions() { return { chunkedOpening + "a", ";name=" + std::string(100, 'e'), 8 << 20 }; }

Behaviour announcedBody()
{
    return { "POST /jobs HTTP/1.1\r\nHost: jobs\r\nContent-Length: " + std::to_string(excessiveBodyBytes) + "\r\n\r\n",
        std::string(largeStep, 'x'), excessiveBodyBytes - 1 };
}

Behaviour slowHeader()
{
    return { "GET /jobs HTTP/1.1\r\nHost: jobs\r\n", "X-Field: " + std::string(100, 'h') + "\r\n", 2000, smallStep };
}

Behaviour unreadAnswers(Listener listener)
{
    return { "", "GET /metrics HTTP/1.1\r\nHost: jobs\r\n\r\n", 4 << 20, largeStep, false, listener };
}

/// Few requests, so that reading their answers a byte at a time comes to an end.
Behaviour slowlyReadAnswers(Listener listener)
{
    return { "", "GET /metrics HTTP/1.1\r\nHost: jobs\r\n\r\n", 4000, largeStep, true, listener };
}

Behaviour endlessEmptyLines() { return { "", "\r\n", 4 << 20 }; }

Behaviour emptyLinesAfterRequest()
{
    return { "POST /jobs HTTP/1.1\r\nHost: jobs\r\nContent-Length: 2\r\n\r\n{}", "\r\n", 4 << 20 };
}

Behaviour endlessStartLine() { return { "GET /", std::string(1000, 'a'), 4 << 20 }; }

Behaviour endlessField() { return { "GET /jobs HTTP/1.1\r\nX-Field: ", std::string(1000, 'v'), 4 << 20 }; }

Behaviour endlessFields() { return { "GET /jobs HTTP/1.1\r\n", "a:\r\n", 4 << 20 }; }

Behaviour endlessFoldedField() { return { "GET /jobs HTTP/1.1\r\nX-Field: a\r\n", " folded\r\n", 4 << 20 }; }

Behaviour endlessChunkSize() { return { chunkedOpening, "0000000000", 4 << 20 }; }

Behaviour expectedBody()
{
    Behaviour behaviour = announcedBody();
    behaviour.opening.insert(behaviour.opening.find("Content-Length"), "Expect: 100-continue\r\n");
    return behaviour;
}

std::string recordsRequest(const std::string& body)
{
    return "POST /control/records HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Trailers do not count against the limit of the header in Beast's parser, so they are collected without end.
TEST_CASE("untrusted clients: endless trailers do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 8, endlessTrailers());
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: announced bodies far over the limit do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 64, announcedBody());
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: chunked bodies far over the limit do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 64, unendingBody(excessiveBodyBytes, 20000));
    checkUnderPressure(entry, crowd);
}

// Each body is within the limit; only their sum is not.
TEST_CASE("untrusted clients: many unfinished bodies in large chunks do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 200, unendingBody(acceptedBodyBytes, 32000));
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: many unfinished bodies in small chunks do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 200, unendingBody(acceptedBodyBytes, 16));
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: headers sent a byte at a time do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 100, slowHeader());
    checkUnderPressure(entry, crowd);
}

// A chunk header is parsed when it is complete; until then the buffer grows.
TEST_CASE("untrusted clients: endless chunk extensions do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 8, endlessExtensions());
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: silent connections do not exhaust the descriptors", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 400, {});
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: pipelined requests with unread answers do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 40, unreadAnswers(Listener::Caller));
    addClients(crowd, entry, 40, unreadAnswers(Listener::Telemetry));
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: answers read a byte at a time do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 40, slowlyReadAnswers(Listener::Caller));
    addClients(crowd, entry, 40, slowlyReadAnswers(Listener::Telemetry));
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: a mix on all listening sockets does not exhaust the process", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    for (const Listener listener : { Listener::Caller, Listener::Health, Listener::Telemetry }) {
        for (Behaviour behaviour : { endlessTrailers(), endlessExtensions(), announcedBody(), slowHeader(),
                 unendingBody(acceptedBodyBytes, 32000), unendingBody(acceptedBodyBytes, 16), Behaviour(),
                 unreadAnswers(listener), slowlyReadAnswers(listener) }) {
            behaviour.listener = listener;
            addClients(crowd, entry, 16, behaviour);
        }
    }
    checkUnderPressure(entry, crowd);
}

// Empty lines before a request are skipped, so they must be counted.
TEST_CASE("untrusted clients: endless empty lines before a request do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 16, endlessEmptyLines());
    addClients(crowd, entry, 16, emptyLinesAfterRequest());
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: endless start lines do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 32, endlessStartLine());
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: endless headers do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 16, endlessField());
    addClients(crowd, entry, 16, endlessFields());
    addClients(crowd, entry, 16, endlessFoldedField());
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: endless chunk sizes do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 32, endlessChunkSize());
    checkUnderPressure(entry, crowd);
}

TEST_CASE("untrusted clients: bodies that wait for a permission to be sent do not exhaust the memory", "[untrusted]")
{
    const EntryUnderTest entry;
    Crowd crowd;
    addClients(crowd, entry, 64, expectedBody());
    checkUnderPressure(entry, crowd);
}

// One line a second for each listening socket and cause, whatever comes.
TEST_CASE("untrusted clients: refusals are summed up in the log", "[untrusted]")
{
    const EntryUnderTest entry;
    constexpr int requests = 3000;
    const std::size_t before = entry.logBytes();
    for (int i = 0; i < requests; ++i)
        REQUIRE(exchange(entry.port(Listener::Caller), "BAD\r\n\r\n").rfind("HTTP/1.1 400", 0) == 0);
    constexpr std::size_t shortestLine = 100;
    CHECK(entry.logBytes() - before < requests * shortestLine);
    CHECK(entry.answersOrdinaryRequest());
}

// A decoder that calls itself for each level overflows its stack.
TEST_CASE("untrusted clients: deeply nested records do not end the process", "[untrusted]")
{
    const EntryUnderTest entry;
    constexpr std::size_t levels = 1000000;
    const std::string response = exchange(entry.port(Listener::Telemetry), recordsRequest(std::string(levels, '\x81')));
    INFO(response);
    CHECK(response.rfind("HTTP/1.1 400", 0) == 0);
    CHECK(entry.answersOrdinaryRequest());
    CHECK(entry.process().isAlive());
}
