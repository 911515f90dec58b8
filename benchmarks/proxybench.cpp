// Caller path against its own echo endpoint, side by side in one run: throughput of one thread and latency at low load.
// Prints one JSON object.

#include "callers/callerhandler.h"
#include "callers/httpendpointtransport.h"
#include "callers/rostershares.h"
#include "fleetstate/fold.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/dutythread.h"
#include "foundation/systemclock.h"
#include "httpserver/httpserver.h"
#include "telemetry/tests/mocks/silenttracer.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

namespace {

using namespace turmericsill;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Clock = std::chrono::steady_clock;

constexpr std::uint16_t echoPort = 20300;
constexpr std::uint16_t entryPort = 20301;
constexpr std::size_t clientThreads = 3;
constexpr std::size_t connectionsPerThread = 20;
constexpr std::chrono::seconds phaseLength { 3 };
constexpr std::size_t rounds = 3;

class EchoHandler : public httpserver::IHttpHandler {
public:
    void handle(const httpserver::HttpExchangePtr& exchange) override
    {
        exchange->respond(httpserver::makeResponse(200, exchange->request().body()));
    }
};

httpserver::ServerLimits limits()
{
    httpserver::ServerLimits result;
    result.maximumConnections = 5000;
    return result;
}

void requireListening(httpserver::HttpServer& server, std::uint16_t port)
{
    if (auto listening = server.listen({ "127.0.0.1", port }); !listening)
        throw std::runtime_error(listening.error().message());
}

/// An endpoint on a thread of its own.
struct EchoEndpoint {
    EchoEndpoint()
        : thread("echo")
        , server(thread.context(), handler, limits())
    {
        requireListening(server, echoPort);
        thread.start();
    }
    ~EchoEndpoint() { thread.stop(); }

    foundation::DutyThread thread;
    EchoHandler handler;
    httpserver::HttpServer server;
};

/// The callers' duty of one entry on a thread of its own.
struct Entry {
    Entry()
        : thread("callers")
        , timers(thread.context())
        , transport(thread.context(), 1 << 20)
        , shares("entry")
        , dispatcher(transport, shares, timers, clock, tracer, {}, 1)
        , atMostOnce("entry", dispatcher, transport, timers, clock)
        , handler(dispatcher, atMostOnce, clock, tracer, metrics, std::chrono::seconds(10), 1)
        , server(thread.context(), handler, limits())
    {
        using declarations::ObjectChange;
        declarations::Pool pool;
        pool.name = "echo";
        declarations::Service service;
        service.name = "echo";
        service.pool = "echo";
        service.slotsPerInstance = service.connectionsPerInstance = 256;
        declarations::Instance instance;
        instance.name = "echo-1";
        instance.pool = "echo";
        instance.address = "127.0.0.1:" + std::to_string(echoPort);
        fleetstate::Fold fold;
        fold.apply(0,
            { "c", "e", {},
                fleetstate::ConfigChange { 0, "b", "",
                    { { ObjectChange::Action::Add, service }, { ObjectChange::Action::Add, pool },
                        { ObjectChange::Action::Add, instance } } } });
        shares.onRoster(1, { "entry" });
        shares.onSettled(1);
        dispatcher.applyState(fold.state());
        requireListening(server, entryPort);
        keepAlive();
        thread.start();
    }
    ~Entry() { thread.stop(); }

    void keepAlive()
    {
        dispatcher.noteAlive();
        timers.schedule(clock.now() + std::chrono::milliseconds(50), [this] { keepAlive(); });
    }

    foundation::SystemClock clock;
    foundation::DutyThread thread;
    foundation::AsioTimerQueue timers;
    telemetry::mocks::SilentTracer tracer;
    telemetry::Metrics metrics;
    callers::HttpEndpointTransport transport;
    callers::RosterShares shares;
    callers::Dispatcher dispatcher;
    callers::AtMostOnce atMostOnce;
    callers::CallerHandler handler;
    httpserver::HttpServer server;
};

/// One connection that sends the next request when it has the answer to the last.
class Client : public std::enable_shared_from_this<Client> {
public:
    Client(asio::io_context& context, std::uint16_t port, Clock::time_point end)
        : stream_(context)
        , port_(port)
        , end_(end)
        , request_(http::verb::post, "/echo/x", 11)
    {
        request_.set(http::field::host, "bench");
        request_.set("Turmericsill-Idempotent", "true");
        request_.body() = std::string(100, 'x');
        request_.prepare_payload();
    }

    void start()
    {
        stream_.async_connect(asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port_),
            [self = shared_from_this()](beast::error_code error) {
                if (error)
                    return;
                self->stream_.socket().set_option(asio::ip::tcp::no_delay(true));
                self->send();
            });
    }

    std::vector<double> latenciesUs;

private:
    void send()
    {
        const auto began = Clock::now();
        if (began >= end_)
            return;
        http::async_write(stream_, request_, [self = shared_from_this(), began](beast::error_code error, std::size_t) {
            if (error)
                return;
            self->response_ = {};
            http::async_read(
                self->stream_, self->buffer_, self->response_, [self, began](beast::error_code failed, std::size_t) {
                    if (failed || self->response_.result_int() != 200)
                        return;
                    self->latenciesUs.push_back(
                        std::chrono::duration<double, std::micro>(Clock::now() - began).count());
                    self->send();
                });
        });
    }

    beast::tcp_stream stream_;
    std::uint16_t port_;
    Clock::time_point end_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
};

/// Latencies of all requests of a phase.
std::vector<double> runPhase(std::uint16_t port, std::size_t threads, std::size_t connections, Clock::duration length)
{
    std::vector<std::future<std::vector<double>>> results;
    const auto end = Clock::now() + length;
    for (std::size_t index = 0; index < threads; ++index) {
        results.push_back(std::async(std::launch::async, [=] {
            asio::io_context context(1);
            std::vector<std::shared_ptr<Client>> clients;
            for (std::size_t number = 0; number < connections; ++number) {
                clients.push_back(std::make_shared<Client>(context, port, end));
                clients.back()->start();
            }
            context.run();
            std::vector<double> all;
            for (const auto& client : clients)
                all.insert(all.end(), client->latenciesUs.begin(), client->latenciesUs.end());
            return all;
        }));
    }
    std::vector<double> all;
    for (auto& result : results) {
        const auto part = result.get();
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double throughput(std::uint16_t port)
{
    const auto latencies = runPhase(port, clientThreads, connectionsPerThread, phaseLength);
    return static_cast<double>(latencies.size()) / std::chrono::duration<double>(phaseLength).count();
}

} // namespace

int main()
{
    EchoEndpoint endpoint;
    Entry entry;
    std::vector<double> direct;
    std::vector<double> through;
    std::vector<double> directLatency;
    std::vector<double> throughLatency;
    for (std::size_t round = 0; round < rounds; ++round) {
        direct.push_back(throughput(echoPort));
        through.push_back(throughput(entryPort));
        directLatency.push_back(median(runPhase(echoPort, 1, 1, std::chrono::seconds(1))));
        throughLatency.push_back(median(runPhase(entryPort, 1, 1, std::chrono::seconds(1))));
    }
    const nlohmann::json figures { { "direct_per_second", median(direct) },
        { "through_entry_per_second", median(through) }, { "ratio", median(through) / median(direct) },
        { "direct_median_us", median(directLatency) }, { "through_entry_median_us", median(throughLatency) } };
    std::cout << figures.dump() << std::endl;
    return 0;
}
