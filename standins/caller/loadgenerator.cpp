#include "standins/caller/loadgenerator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericsill::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

    constexpr milliseconds probeInterval { 250 };
    constexpr milliseconds answerGracePeriod { 2000 }; ///< Time added to the stated timeout before a caller gives up.

    double percentile(std::vector<double> values, double fraction)
    {
        if (values.empty())
            return 0;
        const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
        return values[index];
    }

} // namespace

nlohmann::json LoadResult::toJson() const
{
    return { { "sent", sent }, { "answered", answered }, { "not_run", notRun }, { "unknown", unknown },
        { "lost", lost }, { "mismatched", mismatched }, { "median_ms", percentile(latenciesMs, 0.5) },
        { "p99_ms", percentile(latenciesMs, 0.99) } };
}

/// Persistent connection of a caller to an entry, which carries one request at a time.
class LoadGenerator::CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(LoadGenerator& owner, std::size_t entry)
        : owner_(owner)
        , entry_(entry)
        , stream_(owner.context_)
    {
    }

    void send(http::request<http::string_body> request)
    {
        request_ = std::move(request);
        sentAt_ = std::chrono::steady_clock::now();
        stream_.expires_after(owner_.plan_.timeout + answerGracePeriod);
        if (isConnected_)
            return write();
        const auto& address = owner_.plan_.entries[entry_];
        asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        stream_.async_connect(endpoint, [self = shared_from_this()](beast::error_code error) {
            if (error)
                return self->countLost();
            self->isConnected_ = true;
            self->write();
        });
    }

private:
    void write()
    {
        http::async_write(stream_, request_, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (error)
                return self->countLost();
            self->response_ = {};
            http::async_read(self->stream_, self->buffer_, self->response_,
                [self](beast::error_code failed, std::size_t) { failed ? self->countLost() : self->countOutcome(); });
        });
    }

    void countLost() { ++owner_.result_.lost; }

    void countOutcome()
    {
        LoadResult& result = owner_.result_;
        const auto outcome = response_["Turmericsill-Outcome"];
        if (outcome == "answered")
            checkAnswer(result);
        else if (outcome == "not-run")
            ++result.notRun;
        else if (outcome == "unknown")
            ++result.unknown;
        else
            ++result.lost;
        if (response_.keep_alive())
            owner_.idleConnections_[entry_].push_back(shared_from_this());
    }

    void checkAnswer(LoadResult& result)
    {
        const auto body = nlohmann::json::parse(response_.body(), nullptr, false);
        const bool matches = body.is_object() && body.value("request_id", "") == std::string(request_["X-Request-Id"])
            && body.value("target", "") == std::string(request_.target());
        ++(matches ? result.answered : result.mismatched);
        result.latenciesMs.push_back(
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - sentAt_).count());
    }

    LoadGenerator& owner_;
    std::size_t entry_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
    SteadyTime sentAt_ {};
    bool isConnected_ = false;
};

LoadGenerator::LoadGenerator(asio::io_context& context, const LoadPlan& plan)
    : context_(context)
    , plan_(plan)
    , timers_(context)
    , random_(plan.seed)
    , isEntryReady_(plan.entries.size(), plan.telemetryAddresses.empty())
    , idleConnections_(plan.entries.size())
{
}

void LoadGenerator::start()
{
    startedAt_ = std::chrono::steady_clock::now();
    nextAt_ = startedAt_ + probeInterval;
    if (!plan_.telemetryAddresses.empty())
        probeReadiness();
    scheduleNext();
}

// Health check of the load balancer: an entry that does not answer or is not ready gets no new requests.
void LoadGenerator::probeReadiness()
{
    if (std::chrono::steady_clock::now() > startedAt_ + plan_.duration)
        return;
    for (std::size_t index = 0; index < plan_.telemetryAddresses.size(); ++index) {
        struct Probe {
            explicit Probe(asio::io_context& context)
                : stream(context)
            {
            }
            beast::tcp_stream stream;
            beast::flat_buffer buffer;
            http::request<http::empty_body> request { http::verb::get, "/readyz", 11 };
            http::response<http::string_body> response;
        };
        auto probe = std::make_shared<Probe>(context_);
        probe->stream.expires_after(probeInterval);
        const auto& address = plan_.telemetryAddresses[index];
        asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        probe->stream.async_connect(endpoint, [this, probe, index](beast::error_code error) {
            if (error) {
                isEntryReady_[index] = false;
                return;
            }
            http::async_write(probe->stream, probe->request, [this, probe, index](beast::error_code, std::size_t) {
                http::async_read(probe->stream, probe->buffer, probe->response,
                    [this, probe, index](beast::error_code failed, std::size_t) {
                        isEntryReady_[index] = !failed && probe->response.result_int() == 200;
                    });
            });
        });
    }
    timers_.schedule(std::chrono::steady_clock::now() + probeInterval, [this] { probeReadiness(); });
}

void LoadGenerator::scheduleNext()
{
    if (nextAt_ > startedAt_ + plan_.duration)
        return;
    timers_.schedule(nextAt_, [this] {
        sendRequest();
        const double rate = plan_.requestsPerSecond;
        const double seconds = std::exponential_distribution<double>(rate)(random_);
        nextAt_ += std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(seconds));
        scheduleNext();
    });
}

double LoadGenerator::surgeWeight(const std::string& service) const
{
    if (plan_.surgeDuration.count() == 0)
        return 1;
    const auto elapsed = std::chrono::steady_clock::now() - startedAt_;
    const auto surgingService = static_cast<std::size_t>(elapsed / plan_.surgeDuration) % plan_.services.size();
    return plan_.services[surgingService] == service ? plan_.surgeFactor : 1;
}

void LoadGenerator::sendRequest()
{
    std::vector<double> weights;
    for (const auto& service : plan_.services)
        weights.push_back(surgeWeight(service));
    std::discrete_distribution<std::size_t> chooseService(weights.begin(), weights.end());
    const std::string& service = plan_.services[chooseService(random_)];
    const std::string id = "r" + std::to_string(plan_.seed) + "-" + std::to_string(++requestCount_);
    http::request<http::string_body> request(http::verb::post, "/" + service + "/run/" + id, 11);
    const auto& entry = plan_.entries[nextEntry_ % plan_.entries.size()];
    request.set(http::field::host, entry.toString());
    request.set("X-Request-Id", id);
    request.set("X-Work-Ms", std::to_string(plan_.work.count()));
    request.set("Turmericsill-Timeout-Ms", std::to_string(plan_.timeout.count()));
    const bool isNonIdempotent = std::uniform_real_distribution<double>(0, 1)(random_) < plan_.nonIdempotentRatio;
    request.set("Turmericsill-Idempotent", isNonIdempotent ? "false" : "true");
    if (isNonIdempotent) {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        request.set(
            "Idempotency-Key", std::to_string(std::chrono::duration_cast<milliseconds>(now).count()) + "-" + id);
    }
    request.body() = "{\"id\":\"" + id + "\"}";
    request.prepare_payload();
    ++result_.sent;
    if (auto connection = acquireConnection())
        return connection->send(std::move(request));
    ++result_.lost;
}

std::shared_ptr<LoadGenerator::CallerConnection> LoadGenerator::acquireConnection()
{
    for (std::size_t attempt = 0; attempt < plan_.entries.size(); ++attempt) {
        const std::size_t entry = nextEntry_++ % plan_.entries.size();
        if (!isEntryReady_[entry])
            continue;
        auto& idle = idleConnections_[entry];
        if (idle.empty())
            return std::make_shared<CallerConnection>(*this, entry);
        auto connection = std::move(idle.back());
        idle.pop_back();
        return connection;
    }
    return nullptr;
}

} // namespace turmericsill::standins
