#include "foundation/tests/overwrittenobject.h"
#include "httpclient/pooledhttpclient.h"
#include "httpclient/types/responselimits.h"
#include "httpserver/httpserver.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace turmericsill;
using namespace turmericsill::httpclient;
using foundation::milliseconds;
using foundation::Result;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

class EchoHandler : public httpserver::IHttpHandler {
public:
    void handle(const httpserver::HttpExchangePtr& exchange) override
    {
        exchange->respond(httpserver::makeResponse(200, exchange->request().body()));
    }
};

/// Server that answers the first request of a connection with fixed bytes, in pieces, and then closes the connection.
class ScriptedServer {
public:
    ScriptedServer(boost::asio::io_context& context, std::vector<std::string> pieces)
        : acceptor_(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , connection_(context)
        , pieces_(std::move(pieces))
    {
        acceptor_.async_accept(connection_, [this](boost::system::error_code error) {
            if (error)
                return;
            connection_.set_option(boost::asio::ip::tcp::no_delay(true));
            connection_.async_read_some(
                boost::asio::buffer(request_), [this](boost::system::error_code failed, std::size_t) {
                    if (!failed)
                        writeNextPiece();
                });
        });
    }

    foundation::Address address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    void writeNextPiece()
    {
        if (nextPiece_ == pieces_.size())
            return connection_.close();
        boost::asio::async_write(connection_, boost::asio::buffer(pieces_[nextPiece_++]),
            [this](boost::system::error_code error, std::size_t) {
                if (!error)
                    writeNextPiece();
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::socket connection_;
    std::array<char, 4096> request_ {};
    std::vector<std::string> pieces_;
    std::size_t nextPiece_ = 0;
};

/// Server that accepts connections by its queue only, and never answers.
class SilentServer {
public:
    explicit SilentServer(boost::asio::io_context& context)
        : acceptor_(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
    }

    foundation::Address address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    boost::asio::ip::tcp::acceptor acceptor_;
};

class PageHandler : public httpserver::IHttpHandler {
public:
    void handle(const httpserver::HttpExchangePtr& exchange) override
    {
        exchange->respond(httpserver::makeResponse(200, std::string(pageBytes, 'x')));
    }

    static constexpr std::size_t pageBytes = 1 << 20;
};

/// Server that sends further bytes right behind its answer to the first request of each connection. The answer fills a
/// read of the client exactly, and its body begins with the number of the connection.
class TalkativeServer {
public:
    explicit TalkativeServer(boost::asio::io_context& context)
        : context_(context)
        , acceptor_(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
        accept();
    }

    foundation::Address address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    struct Connection {
        explicit Connection(boost::asio::io_context& context)
            : socket(context)
        {
        }

        boost::asio::ip::tcp::socket socket;
        std::array<char, 4096> request {};
        std::string answer;
    };

    static std::string answerOf(std::size_t connection)
    {
        constexpr std::size_t readBytes = 1024;
        const std::string header = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\nX-Padding: ";
        constexpr std::size_t bodyBytes = 900;
        std::string body = std::to_string(connection);
        body.resize(bodyBytes, '.');
        return header + std::string(readBytes - bodyBytes - header.size() - 4, 'p') + "\r\n\r\n" + body;
    }

    void accept()
    {
        connections_.push_back(std::make_unique<Connection>(context_));
        Connection& connection = *connections_.back();
        connection.answer = answerOf(connections_.size()) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
        acceptor_.async_accept(connection.socket, [this, &connection](boost::system::error_code error) {
            if (error)
                return;
            connection.socket.async_read_some(
                boost::asio::buffer(connection.request), [&connection](boost::system::error_code failed, std::size_t) {
                    if (!failed)
                        boost::asio::write(connection.socket, boost::asio::buffer(connection.answer));
                });
            accept();
        });
    }

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::unique_ptr<Connection>> connections_;
};

HttpCall postCall(const std::string& body)
{
    HttpCall call;
    call.verb = boost::beast::http::verb::post;
    call.target = "/";
    call.body = body;
    call.contentType = "text/plain";
    call.timeout = 5s;
    return call;
}

} // namespace

TEST_CASE("http client: a connection that the server closed while idle is not reused", "[httpclient]")
{
    boost::asio::io_context context;
    EchoHandler handler;
    httpserver::HttpServer server(context, handler, {});
    REQUIRE(server.listen({ "127.0.0.1", 0 }));
    PooledHttpClient client(context, { "127.0.0.1", server.port() }, 2);
    for (int round = 0; round < 3; ++round) {
        bool isOver = false;
        client.send(postCall("request body"), [&](const Result<HttpResponse>& response) {
            isOver = true;
            REQUIRE(response);
            CHECK(response->body == "request body");
        });
        while (!isOver)
            context.run_one();
        server.closeAll();
    }
}

// A server finds the queue of a request by its host. A second Host field beside the client's own leaves open which
// counts.
TEST_CASE("http client: a header of the call replaces the client's own", "[httpclient]")
{
    class HostHandler : public httpserver::IHttpHandler {
    public:
        void handle(const httpserver::HttpExchangePtr& exchange) override
        {
            hosts = exchange->request().count(boost::beast::http::field::host);
            const auto host = exchange->request()[boost::beast::http::field::host];
            exchange->respond(httpserver::makeResponse(200, std::string(host.data(), host.size())));
        }
        std::size_t hosts = 0;
    };
    boost::asio::io_context context;
    HostHandler handler;
    httpserver::HttpServer server(context, handler, {});
    REQUIRE(server.listen({ "127.0.0.1", 0 }));
    PooledHttpClient client(context, { "127.0.0.1", server.port() }, 1);
    HttpCall call = postCall("request body");
    call.headers = { { "host", "calls.example" } };
    std::string answer;
    client.send(std::move(call), [&](const Result<HttpResponse>& response) {
        REQUIRE(response);
        answer = response->body;
    });
    while (answer.empty())
        context.run_one();
    CHECK(answer == "calls.example");
    CHECK(handler.hosts == 1);
}

// An order that waits for a connection, or for the machine to wake up, may lose its authority meanwhile.
TEST_CASE("http client: a queued call that is no longer wanted is dropped unsent", "[httpclient]")
{
    boost::asio::io_context context;
    EchoHandler handler;
    httpserver::HttpServer server(context, handler, {});
    REQUIRE(server.listen({ "127.0.0.1", 0 }));
    PooledHttpClient client(context, { "127.0.0.1", server.port() }, 1);
    bool isWanted = true;
    std::map<std::string, std::string> outcomes; // Key: body of the call.
    for (const char* body : { "first", "second", "third" }) {
        HttpCall call = postCall(body);
        call.isStillWanted = [&isWanted, name = std::string(body)] { return isWanted || name == "third"; };
        client.send(std::move(call), [&outcomes, body](const Result<HttpResponse>& response) {
            outcomes[body] = response ? response->body : response.error().message();
        });
    }
    isWanted = false;
    while (outcomes.size() < 3)
        context.run_one();
    CHECK(outcomes["first"] == "first");
    CHECK(outcomes["second"].find("no longer permitted") != std::string::npos);
    CHECK(outcomes["third"] == "third");
}

// A controller destroys the client of an instance that was taken down. On a busy thread the timeout of a queued call
// has expired by then, and the handler of the expired timer runs after the client was destroyed.
TEST_CASE("http client: a queue timeout that expires before the client is destroyed has no effect", "[httpclient]")
{
    asio::io_context context;
    SilentServer server(context);
    foundation::tests::OverwrittenObject<PooledHttpClient> client(context, server.address(), 1);
    std::vector<std::string> outcomes;
    const auto record = [&](const Result<HttpResponse>& response) {
        outcomes.push_back(response ? response->body : response.error().message());
    };
    client->send(postCall("occupies the connection"), record);
    HttpCall queued = postCall("waits for the connection");
    queued.timeout = 0ms;
    client->send(std::move(queued), record);
    // Runs before the handler of the expired timer, which the context finds only when it waits for events.
    asio::post(context, [&] { client.destroy(); });
    context.poll();
    CHECK(outcomes.empty());
}

// All calls share a timer, which is not set anew for a call with an earlier deadline than the one it is armed for.
TEST_CASE("http client: each call fails at its own deadline when the server does not answer", "[httpclient]")
{
    boost::asio::io_context context;
    SilentServer server(context);
    PooledHttpClient client(context, server.address(), 4);
    std::vector<std::string> failed;
    const auto startedAt = std::chrono::steady_clock::now();
    for (const auto& [name, timeout] :
        { std::pair("last", 150ms), std::pair("first", 50ms), std::pair("second", 100ms) }) {
        HttpCall call = postCall(name);
        call.timeout = timeout;
        client.send(std::move(call), [&, name = std::string(name), timeout = timeout](const auto& response) {
            REQUIRE(!response);
            CHECK(response.error().code == foundation::Errc::Timeout);
            CHECK(std::chrono::steady_clock::now() - startedAt >= timeout);
            failed.push_back(name);
        });
    }
    while (failed.size() < 3)
        context.run_one();
    CHECK(failed == std::vector<std::string> { "first", "second", "last" });
}

// What a partition holds up is delivered when it heals, unless the sender has reset the connection. An order would be
// carried out after those of a later controller.
TEST_CASE("http client: the connection of a call that has timed out is reset", "[httpclient]")
{
    boost::asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const foundation::Address address { "127.0.0.1", acceptor.local_endpoint().port() };
    std::optional<PooledHttpClient> client(std::in_place, context, address, 1);
    bool isAnswered = false;
    HttpCall call = postCall("late");
    call.timeout = 50ms;
    const bool isClientDestroyed = GENERATE(false, true);
    client->send(std::move(call), [&](const auto&) { isAnswered = true; });
    asio::ip::tcp::socket server = acceptor.accept();
    context.run_for(20ms);
    if (isClientDestroyed)
        client.reset();
    else
        context.run_for(200ms);
    CHECK(isAnswered == !isClientDestroyed);
    boost::system::error_code error;
    std::array<char, 4096> received {};
    while (!error)
        server.read_some(asio::buffer(received), error);
    CHECK(error == asio::error::connection_reset);
}

// A controller whose turns take longer than the timeout of an order took answered orders for lost ones and sound
// instances for silent ones.
TEST_CASE("http client: a call whose response arrived while the thread was late does not time out", "[httpclient]")
{
    boost::asio::io_context serverContext;
    EchoHandler handler;
    httpserver::HttpServer server(serverContext, handler, {});
    REQUIRE(server.listen({ "127.0.0.1", 0 }));
    boost::asio::io_context context;
    PooledHttpClient client(context, { "127.0.0.1", server.port() }, 1);
    std::vector<std::string> bodies;
    const auto send = [&](const char* body, milliseconds timeout) {
        HttpCall call = postCall(body);
        call.timeout = timeout;
        client.send(std::move(call), [&](const Result<HttpResponse>& response) {
            REQUIRE(response);
            bodies.push_back(response->body);
        });
    };
    send("connects", 5s);
    while (bodies.empty()) {
        context.poll();
        serverContext.poll();
    }
    for (const char* body : { "sent", "queued", "queued for long" })
        send(body, 400ms);
    // The server answers at once; the client's thread looks only after the timeout.
    for (int turn = 0; turn < 3; ++turn) {
        context.poll();
        std::this_thread::sleep_for(20ms);
        serverContext.poll();
        std::this_thread::sleep_for(460ms);
    }
    context.poll();
    CHECK(bodies == std::vector<std::string> { "connects", "sent", "queued", "queued for long" });
}

// The response arrives in several reads, and an answered call must not fail at its deadline afterwards.
TEST_CASE(
    "http client: a response in pieces is complete, and one without a length ends with the connection", "[httpclient]")
{
    const std::vector<std::string> withLength { "HTTP/1.1 200 OK\r\nContent-", "Length: 10\r\n", "\r\n12345", "67890" };
    const std::vector<std::string> withoutLength { "HTTP/1.1 200 OK\r\n\r\n12345", "67890" };
    const std::vector<std::string> chunked { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
        "5\r\n67890\r\n0\r\n\r\n" };
    for (const auto& pieces : { withLength, withoutLength, chunked }) {
        boost::asio::io_context context;
        ScriptedServer server(context, pieces);
        PooledHttpClient client(context, server.address(), 1);
        int answers = 0;
        HttpCall call = postCall("request body");
        call.timeout = 300ms;
        client.send(std::move(call), [&](const Result<HttpResponse>& response) {
            ++answers;
            REQUIRE(response);
            CHECK(response->status == 200);
            CHECK(response->body == "1234567890");
        });
        context.run_for(400ms);
        CHECK(answers == 1);
    }
}

// A truncated answer leaves open whether the call was carried out.
TEST_CASE("http client: a response that is cut off is a protocol violation", "[httpclient]")
{
    for (const char* cut : { "", "HTTP/1.1 200 OK\r\nConte", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345" }) {
        boost::asio::io_context context;
        ScriptedServer server(context, { cut });
        PooledHttpClient client(context, server.address(), 1);
        std::optional<std::error_code> failure;
        client.send(postCall("request body"), [&](const Result<HttpResponse>& response) {
            REQUIRE(!response);
            failure = response.error().code;
        });
        while (!failure)
            context.run_one();
        CHECK(failure == foundation::Errc::ProtocolViolation);
    }
}

// A response that is received in parts of 512 bytes takes thousands of turns of the loop. On an entry whose turns take
// 50 ms, reads of the log and of the instance directory then take seconds.
TEST_CASE("http client: a large page is received in few turns of the loop", "[httpclient]")
{
    boost::asio::io_context context;
    PageHandler handler;
    httpserver::HttpServer server(context, handler, {});
    REQUIRE(server.listen({ "127.0.0.1", 0 }));
    PooledHttpClient client(context, { "127.0.0.1", server.port() }, 1);
    HttpCall call;
    call.target = "/";
    call.timeout = 5s;
    call.readBufferBytes = 64 << 10;
    std::size_t received = 0;
    client.send(std::move(call), [&](const Result<HttpResponse>& response) {
        REQUIRE(response);
        received = response->body.size();
    });
    int turns = 0;
    while (received == 0) {
        context.run_one();
        ++turns;
    }
    CHECK(received == PageHandler::pageBytes);
    CHECK(turns < 200);
}

// The next read of a kept connection may take unsolicited bytes from the socket before the next call is sent on it. The
// check for a usable connection no longer sees them, and they would be taken for the answer to that call.
TEST_CASE("http client: bytes that follow a response are not taken for the answer to the next call", "[httpclient]")
{
    asio::io_context context;
    TalkativeServer server(context);
    PooledHttpClient client(context, server.address(), 1);
    std::vector<std::string> answers;
    const auto record = [&](const Result<HttpResponse>& response) {
        answers.push_back(response ? response->body.substr(0, 5) : response.error().message());
    };
    SECTION("that waits for the connection")
    {
        client.send(postCall("first"), record);
        client.send(postCall("second"), record);
    }
    SECTION("that is sent when the response is there")
    {
        client.send(postCall("first"), [&](const Result<HttpResponse>& response) {
            record(response);
            client.send(postCall("second"), record);
        });
    }
    while (answers.size() < 2)
        context.run_one();
    CHECK(answers == std::vector<std::string> { "1....", "2...." });
}

namespace {

/// The outcome of one call to a server that sends `pieces`.
Result<HttpResponse> callScripted(const ResponseLimits& limits, std::vector<std::string> pieces)
{
    asio::io_context context;
    setResponseLimits(context, limits);
    ScriptedServer server(context, std::move(pieces));
    PooledHttpClient client(context, server.address(), 1);
    std::optional<Result<HttpResponse>> outcome;
    HttpCall call;
    call.timeout = 5s;
    client.send(std::move(call), [&](Result<HttpResponse> result) {
        outcome = std::move(result);
        context.stop();
    });
    context.run_for(10s);
    REQUIRE(outcome);
    return *outcome;
}

} // namespace

// The deadline of a call is put off while data arrive, so a server that sends without end would fill the memory.
TEST_CASE("http client: headers, trailers and chunk headers without end fail the call", "[httpclient]")
{
    ResponseLimits limits;
    limits.maximumHeaderBytes = 4096;
    const std::string opening = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = opening + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string field = "X: " + std::string(500, 'h') + "\r\n";
    const std::vector<std::pair<std::string, std::string>> responses { { opening, field },
        { chunked + "1\r\nx\r\n0\r\n", field }, { chunked + "1;", std::string(500, 'e') } };
    for (const auto& [beginning, repeated] : responses) {
        INFO(beginning);
        std::vector<std::string> pieces { beginning };
        pieces.resize(200, repeated);
        const auto outcome = callScripted(limits, std::move(pieces));
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().code == foundation::Errc::ProtocolViolation);
        CHECK(outcome.error().message().find("limit") != std::string::npos);
    }
}

TEST_CASE("http client: a body beyond the limit of one response fails the call", "[httpclient]")
{
    ResponseLimits limits;
    limits.maximumBodyBytes = 100000;
    const std::string body(100001, 'x');
    const std::string opening = "HTTP/1.1 200 OK\r\nContent-Length: ";
    CHECK_FALSE(callScripted(limits, { opening + "100001\r\n\r\n" + body }));
    CHECK_FALSE(callScripted(limits, { "HTTP/1.1 200 OK\r\n\r\n" + body }));
    const auto accepted = callScripted(limits, { opening + "100000\r\n\r\n" + body });
    REQUIRE(accepted);
    CHECK(accepted->body.size() == 100000);
}

// Each response is within its limit; only their sum is not.
TEST_CASE("http client: the responses of all clients together are limited", "[httpclient]")
{
    asio::io_context context;
    ResponseLimits limits;
    limits.totalBytes = 10 << 20;
    setResponseLimits(context, limits);
    PageHandler handler;
    httpserver::HttpServer server(context, handler, {});
    REQUIRE(server.listen({ "127.0.0.1", 0 }));
    const std::string unfinished = "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + std::string(7 << 20, 'x');
    ScriptedServer first(context, { unfinished });
    ScriptedServer second(context, { unfinished });
    PooledHttpClient firstClient(context, first.address(), 1);
    PooledHttpClient secondClient(context, second.address(), 1);
    int failed = 0;
    int failedByLimit = 0;
    for (PooledHttpClient* client : { &firstClient, &secondClient }) {
        HttpCall call;
        call.timeout = 5s;
        client->send(std::move(call), [&](const Result<HttpResponse>& result) {
            if (!result && result.error().message().find("limit") != std::string::npos)
                ++failedByLimit;
            if (!result && ++failed == 2)
                context.stop();
        });
    }
    context.run_for(10s);
    CHECK(failed == 2);
    CHECK(failedByLimit >= 1);
    PooledHttpClient client(context, { "127.0.0.1", server.port() }, 1);
    int answered = 0;
    for (int index = 0; index < 12; ++index) {
        client.send({}, [&](const Result<HttpResponse>& result) {
            if (result)
                ++answered;
            if (answered == 12)
                context.stop();
        });
    }
    context.restart();
    context.run_for(10s);
    CHECK(answered == 12);
}

// An announced length is a promise of the server only.
TEST_CASE("http client: an announced body beyond the limit fails the call before it arrives", "[httpclient]")
{
    const ResponseLimits limits = responseLimitsWithin(100000);
    for (const std::string length : { "100001", "100000000000", "18446744073709551615" }) {
        const auto outcome = callScripted(limits, { "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" });
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().message().find("limit") != std::string::npos);
    }
}

// The body does not take more memory than its limit while it grows.
TEST_CASE("http client: a body of the largest size is accepted whatever its framing", "[httpclient]")
{
    const ResponseLimits limits = responseLimitsWithin(300000);
    const std::string body(300000, 'x');
    const std::string chunk = "ea60\r\n" + std::string(60000, 'x') + "\r\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto accepted = callScripted(limits, { "HTTP/1.1 200 OK\r\n\r\n" + body });
    REQUIRE(accepted);
    CHECK(accepted->body == body);
    const auto acceptedChunks = callScripted(limits, { chunked, chunk, chunk, chunk, chunk, chunk, "0\r\n\r\n" });
    REQUIRE(acceptedChunks);
    CHECK(acceptedChunks->body == body);
    CHECK_FALSE(callScripted(limits, { "HTTP/1.1 200 OK\r\n\r\n" + body + "x" }));
    CHECK_FALSE(callScripted(limits, { chunked, chunk, chunk, chunk, chunk, chunk, "1\r\nx\r\n0\r\n\r\n" }));
}
