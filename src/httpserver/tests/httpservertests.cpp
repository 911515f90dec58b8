#include "foundation/tests/overwrittenobject.h"
#include "httpserver/httpserver.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <tuple>

using namespace turmericsill;
using namespace turmericsill::httpserver;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Records all exchanges; responds to them at once, or leaves that to the test.
class RecordingHandler : public IHttpHandler {
public:
    void handle(const HttpExchangePtr& exchange) override
    {
        exchange->setAbandonedCallback([this] { ++abandoned; });
        exchanges.push_back(exchange);
        if (respondsImmediately)
            exchange->respond(
                makeResponse(200, std::string(exchange->request().target()) + exchange->request().body()));
    }

    std::vector<HttpExchangePtr> exchanges;
    int abandoned = 0;
    bool respondsImmediately = true;
};

/// A server on a free port of the loopback interface, with clients on the same thread.
class ServerFixture {
public:
    explicit ServerFixture(const ServerLimits& limits = {}, const ReadBudgetLimits& budgetLimits = {})
        : budget(budgetLimits)
        , server(context, handler, limits, &budget)
    {
        REQUIRE(server.listen({ "127.0.0.1", 0 }));
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket client(context);
        client.connect({ asio::ip::make_address("127.0.0.1"), server.port() });
        return client;
    }

    /// Runs the server until `done` returns true; returns false if that takes longer than 5 s.
    template <typename Condition> bool runUntil(Condition done)
    {
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (!done() && std::chrono::steady_clock::now() < deadline) {
            context.restart();
            context.run_for(1ms);
        }
        return done();
    }

    /// Runs the server for some time, in which it handles what it has received.
    void runFor(foundation::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    /// Sends `text` on a new connection and returns what the server sends until it closes or has sent
    /// `expectedResponses` responses.
    std::string sendAndReceive(const std::string& text, std::size_t expectedResponses = 1)
    {
        asio::ip::tcp::socket client = connect();
        client.non_blocking(true);
        asio::write(client, asio::buffer(text));
        std::string received;
        runUntil([&] {
            std::array<char, 4096> buffer {};
            boost::system::error_code error;
            const std::size_t bytes = client.read_some(asio::buffer(buffer), error);
            received.append(buffer.data(), bytes);
            std::size_t receivedResponses = 0;
            for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
                 at = received.find("HTTP/1.1 ", at + 1))
                ++receivedResponses;
            const bool isHeaderComplete = received.find("\r\n\r\n") != std::string::npos;
            return error == asio::error::eof || error == asio::error::connection_reset
                || (isHeaderComplete && receivedResponses >= expectedResponses);
        });
        return received;
    }

    asio::io_context context;
    RecordingHandler handler;
    ReadBudget budget;
    HttpServer server;
};

std::string statusOf(const std::string& response) { return response.substr(0, 12); }

} // namespace

TEST_CASE("http server: malformed and ambiguous requests are rejected and counted", "[httpserver]")
{
    const std::vector<std::string> requests {
        "GARBAGE\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\nhello",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
        std::string("GET / HTTP/1.1\r\nX: a\x01") + "b\r\n\r\n",
        std::string("GET / HTTP/1.1\r\nX: a\0b\r\n\r\n", 26),
    };
    std::size_t rejected = 0;
    for (const auto& request : requests) {
        ServerFixture fixture;
        INFO(request);
        CHECK(statusOf(fixture.sendAndReceive(request)) == "HTTP/1.1 400");
        CHECK(fixture.handler.exchanges.empty());
        rejected += fixture.server.counters().malformedRequests;
    }
    CHECK(rejected == requests.size());
}

TEST_CASE("http server: oversized headers and bodies are rejected without reaching the handler", "[httpserver]")
{
    ServerLimits limits;
    limits.maximumBodyBytes = 1000;
    limits.maximumHeaderBytes = 2000;
    ServerFixture fixture(limits);
    CHECK(statusOf(fixture.sendAndReceive("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n")) == "HTTP/1.1 413");
    CHECK(statusOf(fixture.sendAndReceive("GET / HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n"))
        == "HTTP/1.1 431");
    std::string chunks = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int index = 0; index < 11; ++index)
        chunks += "64\r\n" + std::string(100, 'x') + "\r\n";
    CHECK(statusOf(fixture.sendAndReceive(chunks)) == "HTTP/1.1 413");
    CHECK(fixture.server.counters().oversizedRequests == 3);
    CHECK(fixture.handler.exchanges.empty());
}

TEST_CASE("http server: pipelined requests are answered one after the other, in order", "[httpserver]")
{
    ServerFixture fixture;
    const std::string responses = fixture.sendAndReceive(
        "GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\nGET /third HTTP/1.1\r\nConnection: close\r\n\r\n", 4);
    const auto first = responses.find("/first");
    const auto second = responses.find("/second");
    const auto third = responses.find("/third");
    REQUIRE(third != std::string::npos);
    CHECK(first < second);
    CHECK(second < third);
}

// While a request is being answered, the server reads ahead to notice that its client disconnects. If that read is
// still pending when the next request is parsed, two reads write into the same buffer.
TEST_CASE("http server: a pipelined request that arrives in parts is received as it was sent", "[httpserver]")
{
    ServerFixture fixture;
    fixture.handler.respondsImmediately = false;
    auto client = fixture.connect();
    const std::string body(40000, 'x');
    asio::write(client, asio::buffer(std::string("GET /first HTTP/1.1\r\n\r\n")));
    REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1; }));
    asio::write(client,
        asio::buffer("POST /second HTTP/1.1\r\nContent-Length: " + std::to_string(body.size() + 2) + "\r\n\r\n<"));
    fixture.runFor(20ms);
    fixture.handler.exchanges[0]->respond(makeResponse(200, "first"));
    fixture.runFor(20ms);
    asio::write(client, asio::buffer(body + ">GET /third HTTP/1.1\r\n\r\n"));
    REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 2; }));
    CHECK(fixture.handler.exchanges[1]->request().target() == "/second");
    CHECK(fixture.handler.exchanges[1]->request().body() == "<" + body + ">");
    fixture.runFor(20ms);
    fixture.handler.exchanges[1]->respond(makeResponse(200, "second"));
    REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 3; }));
    CHECK(fixture.handler.exchanges[2]->request().target() == "/third");
    fixture.handler.exchanges[2]->respond(makeResponse(200, "third"));
    fixture.runFor(20ms);
    asio::write(client, asio::buffer(std::string("GET /fourth HTTP/1.1\r\n\r\n")));
    REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 4; }));
    CHECK(fixture.handler.exchanges[3]->request().target() == "/fourth");
}

TEST_CASE("http server: a slow request is closed after the request timeout", "[httpserver]")
{
    ServerLimits limits;
    limits.requestTimeout = 50ms;
    ServerFixture fixture(limits);
    auto client = fixture.connect();
    asio::write(client, asio::buffer(std::string("GET / HTT")));
    CHECK(fixture.runUntil(
        [&] { return fixture.server.counters().timedOut == 1 && fixture.server.counters().open == 0; }));
}

TEST_CASE("http server: a client that disconnects before its response is detected", "[httpserver]")
{
    ServerFixture fixture;
    fixture.handler.respondsImmediately = false;
    auto client = fixture.connect();
    asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1; }));
    client.close();
    CHECK(fixture.runUntil([&] { return fixture.handler.abandoned == 1; }));
    fixture.handler.exchanges[0]->respond(makeResponse(200, "late"));
    fixture.handler.exchanges.clear();
    CHECK(fixture.runUntil([&] { return fixture.server.counters().open == 0; }));
}

TEST_CASE("http server: connections beyond the limit are closed immediately", "[httpserver]")
{
    ServerLimits limits;
    limits.maximumConnections = 2;
    ServerFixture fixture(limits);
    std::vector<asio::ip::tcp::socket> clients;
    for (int index = 0; index < 5; ++index)
        clients.push_back(fixture.connect());
    CHECK(fixture.runUntil([&] { return fixture.server.counters().refusedConnections == 3; }));
    CHECK(fixture.server.counters().open == 2);
}

TEST_CASE("http server: a shutdown completes requests in progress and closes idle connections", "[httpserver]")
{
    ServerFixture fixture;
    fixture.handler.respondsImmediately = false;
    auto idle = fixture.connect();
    auto busy = fixture.connect();
    asio::write(busy, asio::buffer(std::string("GET /work HTTP/1.1\r\n\r\n")));
    REQUIRE(
        fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1 && fixture.server.counters().open == 2; }));
    fixture.server.beginShutdown();
    CHECK(fixture.runUntil([&] { return fixture.server.counters().open == 1; }));
    fixture.handler.exchanges[0]->respond(makeResponse(200, "done"));
    fixture.handler.exchanges.clear();
    CHECK(fixture.runUntil([&] { return fixture.server.counters().open == 0; }));
    std::string response;
    boost::system::error_code error;
    asio::read(busy, asio::dynamic_buffer(response), error);
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(response.find("done") != std::string::npos);
}

// The handler of a connection that is accepted at once, since the client was waiting already, is queued. It would add
// the connection to a server that no longer exists.
TEST_CASE("http server: a connection that was accepted before the server is destroyed is dropped", "[httpserver]")
{
    asio::io_context context;
    RecordingHandler handler;
    foundation::tests::OverwrittenObject<HttpServer> server(context, handler, ServerLimits());
    REQUIRE(server->listen({ "127.0.0.1", 0 }));
    const asio::ip::tcp::endpoint address(asio::ip::make_address("127.0.0.1"), server->port());
    std::vector<asio::ip::tcp::socket> clients;
    for (int index = 0; index < 2; ++index)
        clients.emplace_back(context).connect(address);
    // Destroys the server after it has accepted the first connection and before the handler of the second one runs.
    asio::post(context, [&] { asio::post(context, [&] { server.destroy(); }); });
    context.poll();
    for (auto& client : clients) {
        boost::system::error_code error;
        std::array<char, 1> buffer {};
        client.read_some(asio::buffer(buffer), error);
        CHECK(error);
    }
}

// Beast's parser limits neither: it consumes them only when they are complete, and the buffer grows until then.
TEST_CASE("http server: trailers and chunk extensions beyond their limits are rejected", "[httpserver]")
{
    ServerLimits limits;
    limits.maximumTrailerBytes = 2000;
    limits.maximumChunkExtensionBytes = 2000;
    ServerFixture fixture(limits);
    const std::string opening = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string trailers = opening + "1\r\nx\r\n0\r\n";
    std::string extendedChunks = opening;
    for (int index = 0; index < 1000; ++index) {
        trailers += "X: " + std::string(50, 't') + "\r\n";
        extendedChunks += "1;" + std::string(50, 'e') + "\r\nx\r\n";
    }
    CHECK(statusOf(fixture.sendAndReceive(trailers)) == "HTTP/1.1 431");
    CHECK(statusOf(fixture.sendAndReceive(opening + "1;" + std::string(50000, 'e'))) == "HTTP/1.1 431");
    CHECK(statusOf(fixture.sendAndReceive(extendedChunks)) == "HTTP/1.1 431");
    CHECK(fixture.handler.exchanges.empty());
    CHECK(fixture.server.counters().oversizedRequests == 3);
    CHECK(statusOf(fixture.sendAndReceive(opening + "1;name=value\r\nx\r\n0\r\nX: trailer\r\n\r\n")) == "HTTP/1.1 200");
}

// The parser consumes fields that arrive whole one after the other, and its limit counts only what it has not consumed.
TEST_CASE("http server: a header whose fields arrive one at a time is limited as a whole", "[httpserver]")
{
    ServerLimits limits;
    limits.maximumHeaderBytes = 2000;
    ServerFixture fixture(limits);
    auto client = fixture.connect();
    asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\n")));
    boost::system::error_code error;
    for (int index = 0; index < 100 && fixture.server.counters().oversizedRequests == 0 && !error; ++index) {
        asio::write(client, asio::buffer("X: " + std::string(95, 'h') + "\r\n"), error);
        fixture.runFor(2ms);
    }
    CHECK(fixture.server.counters().oversizedRequests == 1);
}

TEST_CASE("http server: a body of the largest size is accepted in chunks of one byte", "[httpserver]")
{
    ServerLimits limits;
    limits.maximumBodyBytes = 262144;
    ReadBudgetLimits budgetLimits;
    budgetLimits.bytes = 8 << 20;
    ServerFixture fixture(limits, budgetLimits);
    fixture.handler.respondsImmediately = false;
    std::string request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int index = 0; index < 262144; ++index)
        request += "1\r\nx\r\n";
    request += "0\r\n\r\n";
    auto client = fixture.connect();
    asio::async_write(client, asio::buffer(request), [](boost::system::error_code, std::size_t) {});
    REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1; }));
    CHECK(fixture.handler.exchanges[0]->request().body().size() == 262144);
}

TEST_CASE("http server: while the budget is used up by handled requests, only small ones are accepted", "[httpserver]")
{
    ReadBudgetLimits budgetLimits;
    budgetLimits.bytes = 150000;
    ServerFixture fixture({}, budgetLimits);
    fixture.handler.respondsImmediately = false;
    const std::string large = "POST /large HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x');
    auto client = fixture.connect();
    asio::write(client, asio::buffer(large));
    REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1; }));
    const std::string refused = fixture.sendAndReceive(large);
    CHECK(statusOf(refused) == "HTTP/1.1 503");
    CHECK(refused.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(refused.find("was not carried out") != std::string::npos);
    CHECK(fixture.handler.exchanges.size() == 1);
    CHECK(fixture.server.counters().refusedForMemory == 1);
    auto small = fixture.connect();
    asio::write(small, asio::buffer(std::string("POST /small HTTP/1.1\r\nContent-Length: 2\r\n\r\nok")));
    CHECK(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 2; }));
    for (auto& exchange : fixture.handler.exchanges)
        exchange->respond(makeResponse(200, "done"));
    fixture.handler.exchanges.clear();
    CHECK(fixture.runUntil([&] { return fixture.budget.usedBytes() == 0; }));
}

TEST_CASE("http server: a body that stays unfinished gives way to one that is received", "[httpserver]")
{
    ReadBudgetLimits budgetLimits;
    budgetLimits.bytes = 150000;
    ServerFixture fixture({}, budgetLimits);
    const std::string header = "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n";
    auto stalled = fixture.connect();
    asio::write(stalled, asio::buffer(header + std::string(99999, 'x')));
    fixture.runFor(50ms);
    CHECK(statusOf(fixture.sendAndReceive(header + std::string(100000, 'x'))) == "HTTP/1.1 200");
    CHECK(fixture.server.counters().closedForMemory == 1);
    CHECK(fixture.server.counters().refusedForMemory == 0);
    CHECK(fixture.runUntil([&] { return fixture.budget.usedBytes() == 0; }));
}

// The handler still has the request of a client that is gone, so its memory is not free.
TEST_CASE("http server: an abandoned request is counted until its handler lets go of it", "[httpserver]")
{
    ReadBudgetLimits budgetLimits;
    budgetLimits.bytes = 150000;
    ServerFixture fixture({}, budgetLimits);
    fixture.handler.respondsImmediately = false;
    const std::string large = "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x');
    auto client = fixture.connect();
    asio::write(client, asio::buffer(large));
    REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1; }));
    client.close();
    REQUIRE(fixture.runUntil([&] { return fixture.handler.abandoned == 1; }));
    CHECK(statusOf(fixture.sendAndReceive(large)) == "HTTP/1.1 503");
    CHECK(fixture.budget.usedBytes() > 0);
    fixture.handler.exchanges.clear();
    CHECK(fixture.runUntil([&] { return fixture.budget.usedBytes() == 0; }));
}

TEST_CASE("http server: a silent connection gives way to a new one, and one in use does not", "[httpserver]")
{
    ServerLimits limits;
    limits.maximumConnections = 2;
    ServerFixture fixture(limits);
    auto used = fixture.connect();
    asio::write(used, asio::buffer(std::string("GET /first HTTP/1.1\r\n\r\n")));
    REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1; }));
    fixture.handler.exchanges.clear();
    auto silent = fixture.connect();
    REQUIRE(fixture.runUntil([&] { return fixture.server.counters().open == 2; }));
    auto third = fixture.connect();
    asio::write(third, asio::buffer(std::string("GET /third HTTP/1.1\r\n\r\n")));
    REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1; }));
    fixture.handler.exchanges.clear();
    REQUIRE(fixture.runUntil([&] { return fixture.server.counters().open == 2; }));
    auto fourth = fixture.connect();
    REQUIRE(fixture.runUntil([&] { return fixture.server.counters().refusedConnections == 2; }));
    CHECK(fixture.server.counters().open == 2);
    asio::write(used, asio::buffer(std::string("GET /again HTTP/1.1\r\n\r\n")));
    CHECK(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1; }));
}

// Clients that send a header slowly would otherwise keep all others out until their timeout.
TEST_CASE("http server: the slowest request gives way to a new connection when connections are short", "[httpserver]")
{
    ServerLimits limits;
    limits.maximumConnections = 2;
    ServerFixture fixture(limits);
    auto slowest = fixture.connect();
    asio::write(slowest, asio::buffer(std::string("GET / HTT")));
    fixture.runFor(20ms);
    auto slow = fixture.connect();
    asio::write(slow, asio::buffer(std::string("GET /slow HTT")));
    fixture.runFor(20ms);
    REQUIRE(fixture.server.counters().open == 2);
    CHECK(statusOf(fixture.sendAndReceive("GET / HTTP/1.1\r\n\r\n")) == "HTTP/1.1 200");
    CHECK(fixture.server.counters().refusedConnections == 1);
    CHECK(fixture.server.counters().open == 2);
    asio::write(slow, asio::buffer(std::string("P/1.1\r\n\r\n")));
    CHECK(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 2; }));
}

// Reads of many connections are completed in one turn of the loop. Those of connections that are closed in the same
// turn were counted again, and displaced the connections that were left until none remained.
TEST_CASE("http server: only as many connections are closed as the budget requires", "[httpserver]")
{
    ReadBudgetLimits budgetLimits;
    budgetLimits.bytes = 300000;
    ServerFixture fixture({}, budgetLimits);
    std::vector<asio::ip::tcp::socket> clients;
    for (int index = 0; index < 40; ++index)
        clients.push_back(fixture.connect());
    REQUIRE(fixture.runUntil([&] { return fixture.server.counters().open == 40; }));
    for (auto& client : clients)
        asio::write(client, asio::buffer("POST / HTTP/1.1\r\nContent-Length: 30000\r\n\r\n" + std::string(29000, 'x')));
    REQUIRE(fixture.runUntil([&] { return fixture.server.counters().closedForMemory > 0; }));
    fixture.runFor(50ms);
    CHECK(fixture.budget.usedBytes() > budgetLimits.bytes / 2);
    CHECK(fixture.server.counters().open == 40 - fixture.server.counters().closedForMemory);
}

// A connection that was accepted in favour of an idle one kept its high descriptor, and the next one got the low
// descriptor of the closed one, which showed no shortage. So every second connection was accepted beyond the limit.
TEST_CASE("http server: descriptors stay under their limit while silent connections replace each other", "[httpserver]")
{
    constexpr int room = 10;
    constexpr int reserve = 16; // The least that ReadBudget keeps for calls of the process.
    asio::io_context clientContext;
    std::vector<asio::ip::tcp::socket> clients;
    for (int index = 0; index < 6 * room; ++index)
        clients.emplace_back(clientContext, asio::ip::tcp::v4());
    ReadBudgetLimits budgetLimits;
    asio::io_context probeContext;
    // The server takes a few descriptors, and the probe the next one.
    const auto nextDescriptor
        = [&] { return asio::ip::tcp::socket(probeContext, asio::ip::tcp::v4()).native_handle(); };
    const int takenByServer = [&] {
        const int before = nextDescriptor();
        const ServerFixture probe;
        return nextDescriptor() - before;
    }();
    budgetLimits.descriptors = static_cast<std::size_t>(nextDescriptor() + takenByServer + room + reserve);
    ServerFixture fixture({}, budgetLimits);
    for (auto& client : clients) {
        client.connect({ asio::ip::make_address("127.0.0.1"), fixture.server.port() });
        fixture.runFor(2ms);
        CHECK(fixture.server.counters().open <= room + 1);
    }
    CHECK(fixture.server.counters().accepted == clients.size());
}

// RFC 9112, 2.2: some clients end a body with a line end that does not belong to it.
TEST_CASE("http server: a few empty lines before a request are ignored", "[httpserver]")
{
    const ServerLimits limits;
    std::string lines;
    for (std::size_t line = 0; line < limits.maximumEmptyLines; ++line)
        lines += line % 2 == 0 ? "\r\n" : "\n";
    ServerFixture fixture;
    const std::string first = "POST /first HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
    const std::string second = "GET /second HTTP/1.1\r\nConnection: close\r\n\r\n";
    const std::string responses = fixture.sendAndReceive(lines + first + lines + second, 3);
    CHECK(responses.find("/first{}") != std::string::npos);
    CHECK(responses.find("/second") != std::string::npos);
    CHECK(statusOf(fixture.sendAndReceive(lines + "\r\n" + second)) == "HTTP/1.1 400");
    CHECK(statusOf(fixture.sendAndReceive(first + lines + "\n" + second, 2)) == "HTTP/1.1 200");
    CHECK(fixture.server.counters().malformedRequests == 2);
    CHECK(fixture.handler.exchanges.size() == 3);
}

TEST_CASE("http server: empty lines that arrive a byte at a time are ignored", "[httpserver]")
{
    ServerFixture fixture;
    auto client = fixture.connect();
    for (const char byte : std::string("\r\n\r\nGET / HTTP/1.1\r\n\r\n")) {
        asio::write(client, asio::buffer(&byte, 1));
        fixture.runFor(2ms);
    }
    CHECK(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1; }));
    CHECK(fixture.server.counters().malformedRequests == 0);
}

// A line end that follows a body begins no request, whose time would be limited.
TEST_CASE("http server: a connection with a line end after its request stays open and is idle", "[httpserver]")
{
    ServerLimits limits;
    limits.requestTimeout = 50ms;
    ServerFixture fixture(limits);
    auto client = fixture.connect();
    for (const std::string ending : { "\r\n", "\n", "\r" }) {
        asio::write(client, asio::buffer("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}" + ending));
        const std::size_t expected = fixture.handler.exchanges.size() + 1;
        REQUIRE(fixture.runUntil([&] { return fixture.handler.exchanges.size() == expected; }));
        fixture.runFor(200ms);
        CHECK(fixture.server.counters().open == 1);
        CHECK(fixture.server.counters().timedOut == 0);
        if (ending == "\r")
            break;
    }
}

TEST_CASE("http server: each limit of a request is met from just inside and just beyond", "[httpserver]")
{
    ServerLimits limits;
    limits.maximumHeaderBytes = 1000;
    limits.maximumBodyBytes = 2000;
    limits.maximumTrailerBytes = 1000;
    limits.maximumChunkExtensionBytes = 500;
    const std::string chunked = "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto fields = [](std::size_t bytes) {
        const std::string start = "Connection: close\r\nX: ";
        return "GET / HTTP/1.1\r\n" + start + std::string(bytes - start.size() - 4, 'x') + "\r\n\r\n";
    };
    const auto announced = [](std::size_t bytes) {
        return "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
            + std::string(bytes, 'x');
    };
    const auto chunks = [&](std::size_t bytes) {
        std::string body;
        for (std::size_t i = 0; i < bytes; ++i)
            body += "1\r\nx\r\n";
        return chunked + body + "0\r\n\r\n";
    };
    const auto extension
        = [&](std::size_t bytes) { return chunked + "1;" + std::string(bytes - 1, 'e') + "\r\nx\r\n0\r\n\r\n"; };
    const std::vector<std::tuple<std::string, std::string, std::string>> cases {
        { fields(1000), fields(1001), "HTTP/1.1 431" },
        { announced(2000), announced(2001), "HTTP/1.1 413" },
        { chunks(2000), chunks(2001), "HTTP/1.1 413" },
        { extension(500), extension(501), "HTTP/1.1 431" },
    };
    for (const auto& [inside, beyond, refusal] : cases) {
        INFO(inside.substr(0, 200));
        ServerFixture fixture(limits);
        CHECK(statusOf(fixture.sendAndReceive(inside)) == "HTTP/1.1 200");
        CHECK(fixture.handler.exchanges.size() == 1);
        CHECK(statusOf(fixture.sendAndReceive(beyond)) == refusal);
        CHECK(fixture.handler.exchanges.size() == 1);
        CHECK(fixture.server.counters().oversizedRequests == 1);
    }
}

// Trailers are limited as they arrive, since the parser takes them in when they are complete.
TEST_CASE("http server: unfinished trailers are accepted just inside their limit and refused at it", "[httpserver]")
{
    ServerLimits limits;
    limits.maximumTrailerBytes = 1000;
    for (const std::size_t bytes : { limits.maximumTrailerBytes - 1, limits.maximumTrailerBytes }) {
        ServerFixture fixture(limits);
        auto client = fixture.connect();
        const std::string lastChunk = "0\r\nX: ";
        asio::write(client,
            asio::buffer("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + lastChunk
                + std::string(bytes - lastChunk.size(), 't')));
        fixture.runFor(50ms);
        CHECK(fixture.server.counters().oversizedRequests == (bytes < limits.maximumTrailerBytes ? 0 : 1));
        if (bytes >= limits.maximumTrailerBytes)
            continue;
        asio::write(client, asio::buffer(std::string("\r\n\r\n")));
        CHECK(fixture.runUntil([&] { return fixture.handler.exchanges.size() == 1; }));
    }
}

// The connection would wait for its response for ever, and its memory would stay counted.
TEST_CASE("http server: a request whose handler throws is answered", "[httpserver]")
{
    class ThrowingHandler : public IHttpHandler {
    public:
        void handle(const HttpExchangePtr&) override { throw std::runtime_error("out of order"); }
    };
    asio::io_context context;
    ThrowingHandler handler;
    HttpServer server(context, handler, {});
    REQUIRE(server.listen({ "127.0.0.1", 0 }));
    asio::ip::tcp::socket client(context);
    client.connect({ asio::ip::make_address("127.0.0.1"), server.port() });
    asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
    const auto serve = [&context] { context.run_for(100ms); };
    CHECK_THROWS_WITH(serve(), "out of order");
    context.restart();
    serve();
    std::array<char, 100> response {};
    const std::size_t bytes = client.read_some(asio::buffer(response));
    CHECK(statusOf(std::string(response.data(), bytes)) == "HTTP/1.1 500");
}
