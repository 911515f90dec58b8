#include "foundation/tests/overwrittenobject.h"
#include "httpclient/pooledhttpclient.h"
#include "httpserver/httpserver.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <string>

using namespace turmericsill;
using namespace turmericsill::httpclient;
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

/// Accepts connections and never responds.
class SilentServer {
public:
    explicit SilentServer(asio::io_context& context)
        : acceptor_(context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
    }

    foundation::Address address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    asio::ip::tcp::acceptor acceptor_;
};

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
