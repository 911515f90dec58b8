// Compares requests sent through an entry with requests sent directly to the same echo endpoint, in one run: the
// throughput, with the entry and the endpoint on one thread each, and the latency of a single connection.
// Prints the results as one JSON object.

#include "callers/callerhandler.h"
#include "callers/httpendpointtransport.h"
#include "callers/rostershares.h"
#include "fleetstate/fleetstatemachine.h"
#include "foundation/asiotimerqueue.h"
#include "foundation/eventloopthread.h"
#include "foundation/systemclock.h"
#include "httpserver/httpserver.h"
#include "telemetry/tests/mocks/nulltracer.h"

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
constexpr std::chrono::seconds phaseDuration { 3 };
constexpr std::size_t rounds = 3;

/// Responds to every request with its own body.
class EchoHandler : public httpserver::IHttpHandler {
public:
    void handle(const httpserver::HttpExchangePtr& exchange) override
    {
        exchange->respond(httpserver::makeResponse(200, exchange->request().body()));
    }
};

httpserver::ServerLimits serverLimits()
{
    httpserver::ServerLimits result;
    result.maximumConnections = 5000;
    return result;
}

void listenOrThrow(httpserver::HttpServer& server, std::uint16_t port)
{
    if (auto listening = server.listen({ "127.0.0.1", port }); !listening)
        throw std::runtime_error(listening.error().message());
}

/// Echo endpoint that runs on a thread of its own.
struct EchoEndpoint {
    EchoEndpoint()
        : thread("echo")
        , server(thread.context(), handler, serverLimits())
    {
        listenOrThrow(server, echoPort);
        thread.start();
    }
    ~EchoEndpoint() { thread.stop(); }

    foundation::EventLoopThread thread;
    EchoHandler handler;
    httpserver::HttpServer server;
};

/// Request path of one entry, on a thread of its own, with one service in front of the echo endpoint.
struct Entry {
    Entry()
        : thread("callers")
        , timers(thread.context())
        , transport(thread.context(), 1 << 20)
        , shares("entry")
        , dispatcher(transport, shares, timers, clock, tracer, {}, 1)
        , deduplicator("entry", dispatcher, transport, timers, clock)
        , handler(dispatcher, deduplicator, clock, tracer, metrics, std::chrono::seconds(10), 1)
        , server(thread.context(), handler, serverLimits())
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
        fleetstate::FleetStateMachine stateMachine;
        stateMachine.apply(0,
            { "c", "e", {},
                fleetstate::ConfigChange { 0, "b", "",
                    { { ObjectChange::Action::Add, service }, { ObjectChange::Action::Add, pool },
                        { ObjectChange::Action::Add, instance } } } });
        shares.addRoster(1, { "entry" });
        shares.onRosterSettled(1);
        dispatcher.applyState(stateMachine.state());
        listenOrThrow(server, entryPort);
        reportAlive();
        thread.start();
    }
    ~Entry() { thread.stop(); }

    /// Tells the dispatcher every 50 ms that its thread is running, so that it detects no pause of the process.
    void reportAlive()
    {
        dispatcher.onTick();
        timers.schedule(clock.now() + std::chrono::milliseconds(50), [this] { reportAlive(); });
    }

    foundation::SystemClock clock;
    foundation::EventLoopThread thread;
    foundation::AsioTimerQueue timers;
    telemetry::mocks::NullTracer tracer;
    telemetry::MetricsRegistry metrics;
    callers::HttpEndpointTransport transport;
    callers::RosterShares shares;
    callers::Dispatcher dispatcher;
    callers::RequestDeduplicator deduplicator;
    callers::CallerHandler handler;
    httpserver::HttpServer server;
};

/// Client with one connection that sends the next request only after the response to the previous one, until `end`.
class Client : public std::enable_shared_from_this<Client> {
public:
    Client(asio::io_context& context, std::uint16_t port, Clock::time_point end)
        : stream_(context)
        , port_(port)
        , endTime_(end)
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

    std::vector<double> latenciesUs; ///< Latencies of the successful requests, in microseconds.

private:
    void send()
    {
        const auto sentAt = Clock::now();
        if (sentAt >= endTime_)
            return;
        http::async_write(
            stream_, request_, [self = shared_from_this(), sentAt](beast::error_code writeError, std::size_t) {
                if (writeError)
                    return;
                self->response_ = {};
                http::async_read(self->stream_, self->buffer_, self->response_,
                    [self, sentAt](beast::error_code readError, std::size_t) {
                        if (readError || self->response_.result_int() != 200)
                            return;
                        self->latenciesUs.push_back(
                            std::chrono::duration<double, std::micro>(Clock::now() - sentAt).count());
                        self->send();
                    });
            });
    }

    beast::tcp_stream stream_;
    std::uint16_t port_;
    Clock::time_point endTime_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
};

/// Sends requests to `port` for `duration` from `threads` threads with `connections` connections each. Returns the
/// latencies of all successful requests, in microseconds.
std::vector<double> runPhase(std::uint16_t port, std::size_t threads, std::size_t connections, Clock::duration duration)
{
    std::vector<std::future<std::vector<double>>> threadResults;
    const auto end = Clock::now() + duration;
    for (std::size_t threadIndex = 0; threadIndex < threads; ++threadIndex) {
        threadResults.push_back(std::async(std::launch::async, [=] {
            asio::io_context context(1);
            std::vector<std::shared_ptr<Client>> clients;
            for (std::size_t connectionIndex = 0; connectionIndex < connections; ++connectionIndex) {
                clients.push_back(std::make_shared<Client>(context, port, end));
                clients.back()->start();
            }
            context.run();
            std::vector<double> latenciesUs;
            for (const auto& client : clients)
                latenciesUs.insert(latenciesUs.end(), client->latenciesUs.begin(), client->latenciesUs.end());
            return latenciesUs;
        }));
    }
    std::vector<double> latenciesUs;
    for (auto& result : threadResults) {
        const auto threadLatenciesUs = result.get();
        latenciesUs.insert(latenciesUs.end(), threadLatenciesUs.begin(), threadLatenciesUs.end());
    }
    return latenciesUs;
}

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Requests per second that `port` answers at full load.
double throughput(std::uint16_t port)
{
    const auto latencies = runPhase(port, clientThreads, connectionsPerThread, phaseDuration);
    return static_cast<double>(latencies.size()) / std::chrono::duration<double>(phaseDuration).count();
}

} // namespace

int main()
{
    EchoEndpoint endpoint;
    Entry entry;
    std::vector<double> directThroughputs;
    std::vector<double> entryThroughputs;
    std::vector<double> directMediansUs;
    std::vector<double> entryMediansUs;
    for (std::size_t round = 0; round < rounds; ++round) {
        directThroughputs.push_back(throughput(echoPort));
        entryThroughputs.push_back(throughput(entryPort));
        directMediansUs.push_back(median(runPhase(echoPort, 1, 1, std::chrono::seconds(1))));
        entryMediansUs.push_back(median(runPhase(entryPort, 1, 1, std::chrono::seconds(1))));
    }
    const nlohmann::json report { { "direct_per_second", median(directThroughputs) },
        { "through_entry_per_second", median(entryThroughputs) },
        { "ratio", median(entryThroughputs) / median(directThroughputs) },
        { "direct_median_us", median(directMediansUs) }, { "through_entry_median_us", median(entryMediansUs) } };
    std::cout << report.dump() << std::endl;
    return 0;
}
