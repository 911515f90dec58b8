#include "httpclient/pooledhttpclient.h"
#include "httpserver/httpserver.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

using namespace turmericsill;
using namespace turmericsill::httpclient;
using foundation::Result;
using namespace std::chrono_literals;

namespace {

class EchoHandler : public httpserver::IHttpHandler {
public:
    void handle(const httpserver::HttpExchangePtr& exchange) override
    {
        exchange->respond(httpserver::makeResponse(200, exchange->request().body()));
    }
};

class PageHandler : public httpserver::IHttpHandler {
public:
    void handle(const httpserver::HttpExchangePtr& exchange) override
    {
        exchange->respond(httpserver::makeResponse(200, std::string(pageBytes, 'x')));
    }

    static constexpr std::size_t pageBytes = 1 << 20;
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
    for (; received == 0; ++turns)
        context.run_one();
    CHECK(received == PageHandler::pageBytes);
    CHECK(turns < 200);
}
