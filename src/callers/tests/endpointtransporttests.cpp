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

class Observer : public IAttemptObserver {
public:
    bool onSending() override
    {
        sending = true;
        return maySend;
    }
    void onAnswer(httpserver::HttpResponse message) override { answer = std::move(message); }
    void onFailure(const foundation::Error& failed) override { error = failed; }

    bool isDone() const { return answer || error; }

    bool maySend = true;
    bool sending = false;
    std::optional<httpserver::HttpResponse> answer;
    std::optional<foundation::Error> error;
};

/// An endpoint that answers each request with the next of the given texts and may then close.
class Bench {
public:
    Bench()
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        accept();
    }

    boost::intrusive_ptr<Observer> send(std::chrono::milliseconds timeout = 2s, bool maySend = true)
    {
        boost::intrusive_ptr<Observer> observer = new Observer();
        observer->maySend = maySend;
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

    boost::intrusive_ptr<Observer> exchange(const std::string& answer, bool closesAfter = false)
    {
        answers.push_back(answer);
        closes = closesAfter;
        auto observer = send();
        REQUIRE(runUntil([&] { return observer->isDone(); }));
        return observer;
    }

    void accept()
    {
        acceptor.async_accept([this](boost::system::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++connections;
            lastPeer = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
            serve(lastPeer, std::make_shared<std::string>());
            accept();
        });
    }

    void serve(const std::shared_ptr<asio::ip::tcp::socket>& peer, const std::shared_ptr<std::string>& buffer)
    {
        asio::async_read_until(*peer, asio::dynamic_buffer(*buffer), "\r\n\r\n",
            [this, peer, buffer](boost::system::error_code error, std::size_t bytes) {
                if (error || answers.empty())
                    return;
                buffer->erase(0, bytes);
                asio::write(*peer, asio::buffer(answers.front()), error);
                answers.pop_front();
                if (closes)
                    peer->close();
                else
                    serve(peer, buffer);
            });
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    HttpEndpointTransport transport { context, 1000 };
    httpserver::HttpRequest request { boost::beast::http::verb::get, "/calls/x", 11 };
    std::deque<std::string> answers;
    std::shared_ptr<asio::ip::tcp::socket> lastPeer;
    bool closes = false;
    int connections = 0;
};

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

} // namespace

TEST_CASE("endpoint transport: a whole answer arrives and its connection is used again", "[transport]")
{
    Bench bench;
    for (int index = 0; index < 3; ++index) {
        auto observer = bench.exchange(whole);
        REQUIRE(observer->answer);
        CHECK(observer->answer->body() == "hello");
    }
    CHECK(bench.connections == 1);
}

TEST_CASE("endpoint transport: an answer that is not surely whole never counts as one", "[transport]")
{
    const std::vector<std::string> broken {
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut short",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\n\r\nwithout a length",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "",
        "NOT HTTP AT ALL\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'),
    };
    for (const auto& answer : broken) {
        Bench bench;
        INFO(answer.substr(0, 60));
        auto observer = bench.exchange(answer, true);
        CHECK_FALSE(observer->answer);
        REQUIRE(observer->error);
        CHECK(observer->sending);
        CHECK(observer->error->step == "endpoint.receive");
        CHECK_FALSE(observer->error->peer.empty());
    }
}

TEST_CASE("endpoint transport: bytes beyond an answer reach nobody", "[transport]")
{
    Bench bench;
    auto first = bench.exchange(whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    REQUIRE(first->answer);
    CHECK(first->answer->body() == "hello");
    auto second = bench.exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
    REQUIRE(second->answer);
    CHECK(second->answer->body() == "right");
    CHECK(bench.connections == 2);
}

TEST_CASE("endpoint transport: an answer that comes unasked on an idle connection reaches nobody", "[transport]")
{
    Bench bench;
    bench.exchange(whole);
    asio::write(*bench.lastPeer, asio::buffer(whole));
    auto next = bench.exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
    REQUIRE(next->answer);
    CHECK(next->answer->body() == "right");
    CHECK(bench.connections == 2);
}

TEST_CASE("endpoint transport: an endpoint that closes its only idle connection costs the next request nothing",
    "[transport]")
{
    Bench bench;
    for (int index = 0; index < 3; ++index) {
        auto observer = bench.exchange(whole, true);
        REQUIRE(observer->answer);
        const auto past = std::chrono::steady_clock::now() + 5ms;
        bench.runUntil([&] { return std::chrono::steady_clock::now() > past; });
    }
    CHECK(bench.connections == 3);
    bench.transport.closeIdle("w1");
    REQUIRE(bench.exchange(whole)->answer);
}

TEST_CASE("endpoint transport: an interim answer is not taken for the answer", "[transport]")
{
    Bench bench;
    auto observer = bench.exchange("HTTP/1.1 100 Continue\r\n\r\n" + whole);
    REQUIRE(observer->answer);
    CHECK(observer->answer->result_int() == 200);
}

TEST_CASE("endpoint transport: a connection with an overdue answer is closed", "[transport]")
{
    Bench bench;
    auto late = bench.send(20ms);
    REQUIRE(bench.runUntil([&] { return late->sending && bench.lastPeer; }));
    const auto past = std::chrono::steady_clock::now() + 30ms;
    bench.runUntil([&] { return std::chrono::steady_clock::now() > past; });
    asio::write(*bench.lastPeer, asio::buffer(whole));
    REQUIRE(bench.runUntil([&] { return late->isDone(); }));
    auto next = bench.exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
    REQUIRE(next->answer);
    CHECK(next->answer->body() == "right");
    CHECK(bench.connections == 2);
}

TEST_CASE("endpoint transport: a refused connection sends nothing", "[transport]")
{
    Bench bench;
    bench.acceptor.close();
    boost::intrusive_ptr<Observer> observer = new Observer();
    const auto now = std::chrono::steady_clock::now();
    bench.transport.start({ "calls", "w1", { "127.0.0.1", 1 }, 8, false }, bench.request, now + 1s, now + 2s, observer);
    REQUIRE(bench.runUntil([&] { return observer->isDone(); }));
    REQUIRE(observer->error);
    CHECK(observer->error->code == foundation::Errc::Unavailable);
    CHECK_FALSE(observer->sending);
}

TEST_CASE("endpoint transport: an attempt that is stopped before its first byte sends none", "[transport]")
{
    Bench bench;
    auto observer = bench.send(1s, false);
    REQUIRE(bench.runUntil([&] { return observer->isDone(); }));
    REQUIRE(observer->error);
    CHECK(observer->error->code == foundation::Errc::Conflict);
    CHECK(bench.answers.empty());
}
