#include "callers/httpendpointtransport.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

using namespace turmericsill;
using namespace turmericsill::callers;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Records the progress and the result of one attempt.
class Observer : public IAttemptObserver {
public:
    bool onBeforeSend() override
    {
        sendingStarted = true;
        return allowSend;
    }
    void onResponse(httpserver::HttpResponse message) override { response = std::move(message); }
    void onFailure(const foundation::Error& failed) override { error = failed; }

    bool isDone() const { return response || error; }

    bool allowSend = true;
    bool sendingStarted = false;
    std::optional<httpserver::HttpResponse> response;
    std::optional<foundation::Error> error;
};

/// A transport and an endpoint that sends the next of the given responses to each request, and may then close the
/// connection.
class TransportFixture {
public:
    TransportFixture()
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        accept();
    }

    boost::intrusive_ptr<Observer> send(std::chrono::milliseconds timeout = 2s, bool allowSend = true)
    {
        boost::intrusive_ptr<Observer> observer = new Observer();
        observer->allowSend = allowSend;
        const auto now = std::chrono::steady_clock::now();
        AttemptTarget target { "calls", "w1", { "127.0.0.1", acceptor.local_endpoint().port() }, 8, false };
        transport.start(target, request, now + timeout, now + timeout + 1s, observer);
        return observer;
    }

    template <typename Condition> bool runUntil(Condition done)
    {
        const auto limit = std::chrono::steady_clock::now() + 5s;
        while (!done() && std::chrono::steady_clock::now() < limit) {
            context.restart();
            context.run_for(1ms);
        }
        return done();
    }

    boost::intrusive_ptr<Observer> exchange(const std::string& response, bool closeAfterResponse = false)
    {
        responses.push_back(response);
        closesAfterResponse = closeAfterResponse;
        auto observer = send();
        REQUIRE(runUntil([&] { return observer->isDone(); }));
        return observer;
    }

    void accept()
    {
        acceptor.async_accept([this](boost::system::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++acceptedConnections;
            lastConnection = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
            serve(lastConnection, std::make_shared<std::string>());
            accept();
        });
    }

    void serve(const std::shared_ptr<asio::ip::tcp::socket>& peer, const std::shared_ptr<std::string>& buffer)
    {
        asio::async_read_until(*peer, asio::dynamic_buffer(*buffer), "\r\n\r\n",
            [this, peer, buffer](boost::system::error_code error, std::size_t bytes) {
                if (error || responses.empty())
                    return;
                buffer->erase(0, bytes);
                asio::write(*peer, asio::buffer(responses.front()), error);
                responses.pop_front();
                if (closesAfterResponse)
                    peer->close();
                else
                    serve(peer, buffer);
            });
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    HttpEndpointTransport transport { context, 1000 };
    httpserver::HttpRequest request { boost::beast::http::verb::get, "/calls/x", 11 };
    std::deque<std::string> responses;
    std::shared_ptr<asio::ip::tcp::socket> lastConnection;
    bool closesAfterResponse = false;
    int acceptedConnections = 0;
};

const std::string completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

} // namespace

TEST_CASE("endpoint transport: a complete response is received and its connection is reused", "[transport]")
{
    TransportFixture fixture;
    for (int index = 0; index < 3; ++index) {
        auto observer = fixture.exchange(completeResponse);
        REQUIRE(observer->response);
        CHECK(observer->response->body() == "hello");
    }
    CHECK(fixture.acceptedConnections == 1);
}

TEST_CASE("endpoint transport: an incomplete, malformed or oversized response is never accepted", "[transport]")
{
    const std::vector<std::string> unusableResponses {
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut short",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\n\r\nwithout a length",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "",
        "NOT HTTP AT ALL\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'),
    };
    for (const auto& response : unusableResponses) {
        TransportFixture fixture;
        INFO(response.substr(0, 60));
        auto observer = fixture.exchange(response, true);
        CHECK_FALSE(observer->response);
        REQUIRE(observer->error);
        CHECK(observer->sendingStarted);
        CHECK(observer->error->step == "endpoint.receive");
        CHECK_FALSE(observer->error->peer.empty());
    }
}

TEST_CASE("endpoint transport: bytes after a response are discarded", "[transport]")
{
    TransportFixture fixture;
    auto first = fixture.exchange(completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    REQUIRE(first->response);
    CHECK(first->response->body() == "hello");
    auto second = fixture.exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
    REQUIRE(second->response);
    CHECK(second->response->body() == "right");
    CHECK(fixture.acceptedConnections == 2);
}

TEST_CASE("endpoint transport: an unsolicited response on an idle connection is discarded", "[transport]")
{
    TransportFixture fixture;
    fixture.exchange(completeResponse);
    asio::write(*fixture.lastConnection, asio::buffer(completeResponse));
    auto next = fixture.exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
    REQUIRE(next->response);
    CHECK(next->response->body() == "right");
    CHECK(fixture.acceptedConnections == 2);
}

TEST_CASE("endpoint transport: a request succeeds after the endpoint closed its only idle connection", "[transport]")
{
    TransportFixture fixture;
    for (int index = 0; index < 3; ++index) {
        auto observer = fixture.exchange(completeResponse, true);
        REQUIRE(observer->response);
        const auto waitUntil = std::chrono::steady_clock::now() + 5ms;
        fixture.runUntil([&] { return std::chrono::steady_clock::now() > waitUntil; });
    }
    CHECK(fixture.acceptedConnections == 3);
    fixture.transport.closeIdleConnections("w1");
    REQUIRE(fixture.exchange(completeResponse)->response);
}

TEST_CASE("endpoint transport: an informational response is not taken for the final response", "[transport]")
{
    TransportFixture fixture;
    auto observer = fixture.exchange("HTTP/1.1 100 Continue\r\n\r\n" + completeResponse);
    REQUIRE(observer->response);
    CHECK(observer->response->result_int() == 200);
}

TEST_CASE("endpoint transport: a connection with an overdue response is closed", "[transport]")
{
    TransportFixture fixture;
    auto overdue = fixture.send(20ms);
    REQUIRE(fixture.runUntil([&] { return overdue->sendingStarted && fixture.lastConnection; }));
    const auto waitUntil = std::chrono::steady_clock::now() + 30ms;
    fixture.runUntil([&] { return std::chrono::steady_clock::now() > waitUntil; });
    asio::write(*fixture.lastConnection, asio::buffer(completeResponse));
    REQUIRE(fixture.runUntil([&] { return overdue->isDone(); }));
    auto next = fixture.exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
    REQUIRE(next->response);
    CHECK(next->response->body() == "right");
    CHECK(fixture.acceptedConnections == 2);
}

TEST_CASE("endpoint transport: nothing is sent if the connection is refused", "[transport]")
{
    TransportFixture fixture;
    fixture.acceptor.close();
    boost::intrusive_ptr<Observer> observer = new Observer();
    const auto now = std::chrono::steady_clock::now();
    fixture.transport.start(
        { "calls", "w1", { "127.0.0.1", 1 }, 8, false }, fixture.request, now + 1s, now + 2s, observer);
    REQUIRE(fixture.runUntil([&] { return observer->isDone(); }));
    REQUIRE(observer->error);
    CHECK(observer->error->code == foundation::Errc::Unavailable);
    CHECK_FALSE(observer->sendingStarted);
}

TEST_CASE("endpoint transport: an attempt that is stopped before its first byte sends nothing", "[transport]")
{
    TransportFixture fixture;
    auto observer = fixture.send(1s, false);
    REQUIRE(fixture.runUntil([&] { return observer->isDone(); }));
    REQUIRE(observer->error);
    CHECK(observer->error->code == foundation::Errc::Conflict);
    CHECK(fixture.responses.empty());
}

TEST_CASE("endpoint transport: a response that exceeds a limit fails the attempt", "[transport]")
{
    const std::string opening = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = opening + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string endless(64 << 10, '0');
    const std::vector<std::string> responses {
        opening + "Content-Length: 1001\r\n\r\n",
        opening + "Content-Length: 100000000000\r\n\r\n",
        chunked + "3e9\r\n" + std::string(1001, 'x') + "\r\n",
        chunked + endless,
        chunked + "1;" + endless,
        chunked + "1\r\nx\r\n0\r\nX-Trailer: " + endless,
        opening + "X-Field: " + endless,
        "HTTP/1.1 200 " + endless,
    };
    for (const auto& response : responses) {
        TransportFixture fixture;
        INFO(response.substr(0, 80));
        auto observer = fixture.exchange(response);
        CHECK_FALSE(observer->response);
        REQUIRE(observer->error);
        CHECK(observer->error->step == "endpoint.receive");
    }
}

TEST_CASE("endpoint transport: the fields, the reason and the largest body are passed on", "[transport]")
{
    TransportFixture fixture;
    auto observer
        = fixture.exchange("HTTP/1.1 203 Elsewhere\r\nX-One: 1\r\nX-One: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "3e8\r\n"
            + std::string(1000, 'x') + "\r\n0\r\nX-Trailer: t\r\n\r\n");
    REQUIRE(observer->response);
    CHECK(observer->response->result_int() == 203);
    CHECK(observer->response->reason() == "Elsewhere");
    CHECK(observer->response->count("X-One") == 2);
    CHECK(observer->response->body() == std::string(1000, 'x'));
}
