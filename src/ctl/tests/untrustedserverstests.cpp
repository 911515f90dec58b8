#include "ctlundertest.h"
#include "processtests/misbehavingpeer.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

// What answers at an operator address may be anything.

using namespace turmericsill::ctl::tests;
using namespace turmericsill::processtests;

namespace {

constexpr int exitNoEntry = 3;
constexpr std::size_t endlessBytes = std::size_t(512) << 20;

/// Serves a stream on a thread of its own while it exists.
class ServerThread {
public:
    explicit ServerThread(const Stream& response)
        : server_(response, 1)
        , thread_([this] {
            while (!isStopped_) {
                if (!server_.step())
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        })
    {
    }

    ~ServerThread()
    {
        isStopped_ = true;
        thread_.join();
    }

    ServerThread(const ServerThread&) = delete;
    ServerThread& operator=(const ServerThread&) = delete;

    std::uint16_t port() const { return server_.port(); }

private:
    MisbehavingServer server_;
    std::atomic<bool> isStopped_ { false };
    std::thread thread_;
};

void checkStatusWith(const Stream& response)
{
    const ServerThread server(response);
    const ProcessEnd end = runToEnd({ "--entry=127.0.0.1:" + std::to_string(server.port()), "--timeout=5s", "status" });
    CHECK(end.exitCode == exitNoEntry);
    CHECK(end.peakResidentKb <= maximumResidentKb);
}

const std::string chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("ctl: an announced body does not exhaust the memory", "[untrusted]")
{
    checkStatusWith(
        { "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", std::string(largeStep, 'x'), endlessBytes });
}

TEST_CASE("ctl: endless chunks do not exhaust the memory", "[untrusted]")
{
    checkStatusWith({ chunkedResponse, "fa00\r\n" + std::string(0xfa00, 'x') + "\r\n", endlessBytes });
}

TEST_CASE("ctl: endless trailers do not exhaust the memory", "[untrusted]")
{
    checkStatusWith({ chunkedResponse + "1\r\nx\r\n0\r\n", "X-Trailer: t\r\n", endlessBytes });
}

TEST_CASE("ctl: an endless chunk size does not exhaust the memory", "[untrusted]")
{
    checkStatusWith({ chunkedResponse, std::string(largeStep, '0'), endlessBytes });
}

TEST_CASE("ctl: an endless header does not exhaust the memory", "[untrusted]")
{
    checkStatusWith({ "HTTP/1.1 200 OK\r\n", "X-Field: v\r\n", endlessBytes });
}
