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
    constexpr milliseconds answerMargin { 2000 }; ///< Added to the stated timeout before a caller gives up.

    double percentile(std::vector<double> values, double part)
    {
        if (values.empty())
            return 0;
        const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
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

/// One connection of a caller; carries one request at a time.
class LoadGenerator::Caller : public std::enable_shared_from_this<Caller> {
public:
    Caller(LoadGenerator& owner, std::size_t entry)
        : owner_(owner)
        , entry_(entry)
        , stream_(owner.context_)
    {
    }

    void send(http::request<http::string_body> request)
    {
        request_ = std::move(request);
        sentAt_ = std::chrono::steady_clock::now();
        stream_.expires_after(owner_.plan_.timeout + answerMargin);
        if (connected_)
            return write();
        const auto& address = owner_.plan_.entries[entry_];
        asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        stream_.async_connect(endpoint, [self = shared_from_this()](beast::error_code error) {
            if (error)
                return self->lose();
            self->connected_ = true;
            self->write();
        });
    }

private:
    void write()
    {
        http::async_write(stream_, request_, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (error)
                return self->lose();
            self->response_ = {};
            http::async_read(self->stream_, self->buffer_, self->response_,
                [self](beast::error_code failed, std::size_t) { failed ? self->lose() : self->judge(); });
        });
    }

    void lose() { ++owner_.result_.lost; }

    void judge()
    {
        LoadResult& result = owner_.result_;
        const auto outcome = response_["Turmericsill-Outcome"];
        if (outcome == "answered")
            judgeAnswer(result);
        else if (outcome == "not-run")
            ++result.notRun;
        else if (outcome == "unknown")
            ++result.unknown;
        else
            ++result.lost;
        if (response_.keep_alive())
            owner_.idle_[entry_].push_back(shared_from_this());
    }

    void judgeAnswer(LoadResult& result)
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
    bool connected_ = false;
};

LoadGenerator::LoadGenerator(asio::io_context& context, const LoadPlan& plan)
    : context_(context)
    , plan_(plan)
    , timers_(context)
    , random_(plan.seed)
    , ready_(plan.entries.size(), plan.readiness.empty())
    , idle_(plan.entries.size())
{
}

void LoadGenerator::start()
{
    startedAt_ = std::chrono::steady_clock::now();
    nextAt_ = startedAt_ + probeInterval;
    if (!plan_.readiness.empty())
        probeEntries();
    scheduleNext();
}

// The balancer's health check: an entry that does not answer, or is not ready, gets no new requests.
void LoadGenerator::probeEntries()
{
    if (std::chrono::steady_clock::now() > startedAt_ + plan_.duration)
        return;
    for (std::size_t index = 0; index < plan_.readiness.size(); ++index) {
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
        const auto& address = plan_.readiness[index];
        asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        probe->stream.async_connect(endpoint, [this, probe, index](beast::error_code error) {
            if (error) {
                ready_[index] = false;
                return;
            }
            http::async_write(probe->stream, probe->request, [this, probe, index](beast::error_code, std::size_t) {
                http::async_read(probe->stream, probe->buffer, probe->response,
                    [this, probe, index](beast::error_code failed, std::size_t) {
                        ready_[index] = !failed && probe->response.result_int() == 200;
                    });
            });
        });
    }
    timers_.schedule(std::chrono::steady_clock::now() + probeInterval, [this] { probeEntries(); });
}

void LoadGenerator::scheduleNext()
{
    if (nextAt_ > startedAt_ + plan_.duration)
        return;
    timers_.schedule(nextAt_, [this] {
        sendOne();
        const double rate = plan_.requestsPerSecond;
        const double gap = std::exponential_distribution<double>(rate)(random_);
        nextAt_ += std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(gap));
        scheduleNext();
    });
}

double LoadGenerator::rateFactor(const std::string& service) const
{
    if (plan_.surgeLength.count() == 0)
        return 1;
    const auto elapsed = std::chrono::steady_clock::now() - startedAt_;
    const auto turn = static_cast<std::size_t>(elapsed / plan_.surgeLength) % plan_.services.size();
    return plan_.services[turn] == service ? plan_.surgeFactor : 1;
}

void LoadGenerator::sendOne()
{
    std::vector<double> weights;
    for (const auto& service : plan_.services)
        weights.push_back(rateFactor(service));
    std::discrete_distribution<std::size_t> choose(weights.begin(), weights.end());
    const std::string& service = plan_.services[choose(random_)];
    const std::string id = "r" + std::to_string(plan_.seed) + "-" + std::to_string(++sequence_);
    http::request<http::string_body> request(http::verb::post, "/" + service + "/run/" + id, 11);
    const auto& entry = plan_.entries[nextEntry_ % plan_.entries.size()];
    request.set(http::field::host, entry.text());
    request.set("X-Request-Id", id);
    request.set("X-Work-Ms", std::to_string(plan_.work.count()));
    request.set("Turmericsill-Timeout-Ms", std::to_string(plan_.timeout.count()));
    const bool nonIdempotent = std::uniform_real_distribution<double>(0, 1)(random_) < plan_.nonIdempotentPart;
    request.set("Turmericsill-Idempotent", nonIdempotent ? "false" : "true");
    if (nonIdempotent) {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        request.set(
            "Idempotency-Key", std::to_string(std::chrono::duration_cast<milliseconds>(now).count()) + "-" + id);
    }
    request.body() = "{\"id\":\"" + id + "\"}";
    request.prepare_payload();
    ++result_.sent;
    if (auto caller = takeCaller())
        return caller->send(std::move(request));
    ++result_.lost;
}

std::shared_ptr<LoadGenerator::Caller> LoadGenerator::takeCaller()
{
    for (std::size_t step = 0; step < plan_.entries.size(); ++step) {
        const std::size_t entry = nextEntry_++ % plan_.entries.size();
        if (!ready_[entry])
            continue;
        auto& idle = idle_[entry];
        if (idle.empty())
            return std::make_shared<Caller>(*this, entry);
        auto caller = std::move(idle.back());
        idle.pop_back();
        return caller;
    }
    return nullptr;
}

} // namespace turmericsill::standins
