#include "httpclient/pooledhttpclient.h"
#include "httpserver/httpserver.h"

#include <catch2/catch.hpp>

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
        HttpCall call;
        call.verb = boost::beast::http::verb::post;
        call.target = "/";
        call.body = "request body";
        call.contentType = "text/plain";
        call.timeout = 5s;
        client.send(call, [&](const Result<HttpResponse>& response) {
            isOver = true;
            REQUIRE(response);
            CHECK(response->body == "request body");
        });
        while (!isOver)
            context.run_one();
        server.closeAll();
    }
}
