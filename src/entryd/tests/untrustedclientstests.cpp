#include "entryundertest.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <memory>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

// Clients that exceeded the limits made a process run out of memory and end; see docs/design/teams-and-contention.md,
// Part 6. Each test checks only what does not depend on the speed of the machine: the process lives, its memory and
// descriptors stay under a bound, and an ordinary request is answered while the clients are still connected.

using namespace turmericsill::entryd::tests;
using namespace std::chrono_literals;

namespace {

/// Half of EntryUnderTest::memoryLimitMb; the process needs less than the other half when nobody calls it.
constexpr std::size_t maximumGrowthKb = 32 << 10;
constexpr auto crowdGuard = 40s;
constexpr auto quietTime = 1s; ///< A crowd is done when none of its clients could send for so long.
constexpr int maximumReconnects = 8;
constexpr std::size_t smallStep = 1;
constexpr std::size_t largeStep = 64 << 10;

/// What each client of a crowd does: it sends `opening`, then `repeated` over and over until it has sent
/// `repeatedBytes` of it, and stays connected. When it is disconnected, it begins again.
struct Behaviour {
    std::string opening;
    std::string repeated;
    std::size_t repeatedBytes = 0;
    std::size_t bytesPerStep = largeStep;
    bool readsSlowly = false; ///< Whether it reads a byte of the answers per step; otherwise it reads nothing.
    Listener listener = Listener::Caller;
};

class MisbehavingClient {
public:
    MisbehavingClient(const EntryUnderTest& entry, const Behaviour& behaviour)
        : port_(entry.port(behaviour.listener))
        , behaviour_(behaviour)
    {
        while (behaviour_.repeatedBytes > 0 && behaviour_.repeated.size() < largeStep)
            behaviour_.repeated += behaviour_.repeated;
        reconnect();
    }

    ~MisbehavingClient() { ::close(socket_); }

    MisbehavingClient(const MisbehavingClient&) = delete;
    MisbehavingClient& operator=(const MisbehavingClient&) = delete;

    /// Sends and reads what it may; returns whether it could.
    bool step()
    {
        bool hasProgressed = false;
        char answer = 0;
        if (behaviour_.readsSlowly)
            hasProgressed = ::recv(socket_, &answer, 1, 0) == 1;
        const std::size_t total = behaviour_.opening.size() + behaviour_.repeatedBytes;
        if (sent_ >= total)
            return hasProgressed;
        const bool isOpening = sent_ < behaviour_.opening.size();
        const std::string& text = isOpening ? behaviour_.opening : behaviour_.repeated;
        const std::size_t at = isOpening ? sent_ : (sent_ - behaviour_.opening.size()) % text.size();
        const std::size_t most = std::min({ text.size() - at, total - sent_, behaviour_.bytesPerStep });
        const ssize_t bytes = ::send(socket_, text.data() + at, most, MSG_NOSIGNAL);
        if (bytes > 0)
            sent_ += std::size_t(bytes);
        else if (bytes < 0 && errno != EAGAIN && reconnects_++ < maximumReconnects)
            reconnect();
        else
            return hasProgressed;
        return true;
    }

private:
    void reconnect()
    {
        if (socket_ >= 0)
            ::close(socket_);
        socket_ = connectTo(port_);
        sent_ = 0;
    }

    std::uint16_t port_;
    Behaviour behaviour_;
    int socket_ = -1;
    std::size_t sent_ = 0;
    int reconnects_ = 0;
};

using Crowd = std::vector<std::unique_ptr<MisbehavingClient>>;

void addClients(Crowd& crowd, const EntryUnderTest& entry, std::size_t count, const Behaviour& behaviour)
{
    for (std::size_t index = 0; index < count; ++index)
        crowd.push_back(std::make_unique<MisbehavingClient>(entry, behaviour));
}

/// Lets the crowd press the entry until none of its clients can send any more, and checks the entry.
void checkUnderPressure(const EntryUnderTest& entry, const Crowd& crowd)
{
    const auto deadline = std::chrono::steady_clock::now() + crowdGuard;
    auto lastProgress = std::chrono::steady_clock::now();
    std::size_t mostDescriptors = 0;
    for (auto now = lastProgress; now < deadline && now - lastProgress < quietTime && entry.isAlive();
         now = std::chrono::steady_clock::now()) {
        bool hasProgressed = false;
        for (const auto& client : crowd)
            hasProgressed |= client->step();
        mostDescriptors = std::max(mostDescriptors, entry.openDescriptors());
        if (hasProgressed)
            lastProgress = now;
        else
            ::poll(nullptr, 0, 5);
    }
    REQUIRE(entry.isAlive());
    CHECK(entry.answersOrdinaryRequest());
    WARN("resident memory at start " << entry.residentAtStartKb() << " kB, peak " << entry.peakResidentKb()
                                     << " kB, now " << entry.residentKb() << " kB; descriptors " << mostDescriptors);
    CHECK(entry.peakResidentKb() <= entry.residentAtStartKb() + maximumGrowthKb);
    CHECK(mostDescriptors <= EntryUnderTest::descriptorLimit);
    CHECK(entry.isAlive());
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
