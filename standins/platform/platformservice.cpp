#include "standins/platform/platformservice.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmericsill::standins {

using boost::beast::http::verb;
using foundation::milliseconds;
using httpserver::HttpExchangePtr;
using nlohmann::json;

namespace {

    constexpr milliseconds probeInterval { 500 };
    constexpr milliseconds probeTimeout { 1000 };
    constexpr int failedProbesUntilGone = 3;
    constexpr milliseconds rebootPollInterval { 100 };
    constexpr int maximumRebootPolls = 600;

    std::vector<std::string> splitPath(const std::string& path)
    {
        std::vector<std::string> segments;
        std::size_t begin = 1;
        while (begin <= path.size()) {
            std::size_t end = std::min(path.find('/', begin), path.size());
            segments.push_back(path.substr(begin, end - begin));
            begin = end + 1;
        }
        return segments;
    }

} // namespace

/// Path and query parameters of a request's target.
struct PlatformService::Query {
    explicit Query(const std::string& target)
        : path(target.substr(0, target.find('?')))
    {
        std::size_t begin = target.find('?');
        while (begin != std::string::npos && begin + 1 < target.size()) {
            const std::size_t end = std::min(target.find('&', begin + 1), target.size());
            const std::string pair = target.substr(begin + 1, end - begin - 1);
            const std::size_t equals = pair.find('=');
            if (equals != std::string::npos)
                parameters[pair.substr(0, equals)] = pair.substr(equals + 1);
            begin = end == target.size() ? std::string::npos : end;
        }
    }

    std::uint64_t number(const std::string& name, std::uint64_t fallback) const
    {
        auto found = parameters.find(name);
        if (found == parameters.end())
            return fallback;
        std::uint64_t value = fallback;
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
        return value;
    }

    std::string path;
    std::map<std::string, std::string> parameters;
};

PlatformService::PlatformService(boost::asio::io_context& context, std::uint64_t seed)
    : context_(context)
    , timers_(context)
    , random_(seed)
{
    probeInstances();
}

void PlatformService::handle(const HttpExchangePtr& exchange)
{
    try {
        route(exchange);
    } catch (const std::exception& error) {
        answer(exchange, 400, { { "error", error.what() } });
    }
}

void PlatformService::route(const HttpExchangePtr& exchange)
{
    const Query query(std::string(exchange->request().target()));
    const std::vector<std::string> segments = splitPath(query.path);
    const bool isPost = exchange->request().method() == verb::post;
    if (segments[0] == "faults" && isPost) {
        faults_.update(json::parse(exchange->request().body()));
        exchange->respond(httpserver::makeResponse(200, faults_.toJson().dump(), "application/json"));
        return;
    }
    if (segments[0] == "stats")
        return answerStats(exchange);
    const bool isLog = segments[0] == "streams";
    if (faults_.isDown || (!isLog && faults_.isInstanceApiDown))
        return answer(exchange, 503, { { "error", "down" } });
    if (isLog && segments.size() == 3 && segments[2] == "append" && isPost)
        return append(exchange, segments[1]);
    if (isLog && segments.size() == 3 && segments[2] == "read")
        return read(exchange, segments[1], query);
    if (segments[0] == "instances" && segments.size() == 1)
        return isPost ? registerInstance(exchange) : listInstances(exchange, query);
    if (segments[0] == "instances" && segments.size() == 3 && segments[2] == "reboot" && isPost)
        return reboot(exchange, segments[1]);
    if (segments[0] == "operations" && segments.size() == 2)
        return answerOperation(exchange, segments[1]);
    answer(exchange, 404, { { "error", "unknown path" } });
}

void PlatformService::append(const HttpExchangePtr& exchange, const std::string& stream)
{
    auto records = json::parse(exchange->request().body()).at("records").get<std::vector<std::string>>();
    countAppend();
    appendedRecords_ += records.size();
    const std::uint64_t first = log_.append(stream, std::move(records), faults_.retainedRecords);
    answerPendingReads(stream);
    answerOrTimeOut(exchange, 200, { { "first", first } });
}

void PlatformService::countAppend()
{
    ++appends_;
    const auto now = std::chrono::steady_clock::now();
    if (now - secondStart_ >= std::chrono::seconds(1)) {
        secondStart_ = now;
        appendsThisSecond_ = 0;
    }
    maximumAppendsPerSecond_ = std::max(maximumAppendsPerSecond_, ++appendsThisSecond_);
}

void PlatformService::read(const HttpExchangePtr& exchange, const std::string& stream, const Query& query)
{
    const std::uint64_t from = query.number("from", 0);
    const std::size_t maximumRecords = query.number("max", 1000);
    const milliseconds wait(query.number("wait_ms", 0));
    if (from < log_.stream(stream).tail() || wait.count() == 0)
        return answerRead(exchange, stream, from, maximumRecords);
    const std::uint64_t id = nextPendingRead_++;
    const auto timer = timers_.schedule(std::chrono::steady_clock::now() + wait, [this, id] {
        PendingRead pending = std::move(pendingReads_.at(id));
        pendingReads_.erase(id);
        answerRead(pending.exchange, pending.stream, pending.from, pending.maximumRecords);
    });
    pendingReads_.emplace(id, PendingRead { stream, from, maximumRecords, exchange, timer });
}

void PlatformService::answerPendingReads(const std::string& stream)
{
    std::vector<PendingRead> ready;
    for (auto pending = pendingReads_.begin(); pending != pendingReads_.end();) {
        if (pending->second.stream != stream) {
            ++pending;
            continue;
        }
        timers_.cancel(pending->second.timer);
        ready.push_back(std::move(pending->second));
        pending = pendingReads_.erase(pending);
    }
    for (const auto& pending : ready)
        answerRead(pending.exchange, pending.stream, pending.from, pending.maximumRecords);
}

void PlatformService::answerRead(
    const HttpExchangePtr& exchange, const std::string& stream, std::uint64_t from, std::size_t maximumRecords)
{
    if (faults_.isDown)
        return answer(exchange, 503, { { "error", "down" } });
    const LogStore::Stream& source = log_.stream(stream);
    if (from < source.firstOffset)
        return answer(exchange, 410, { { "first", source.firstOffset } });
    json records = json::array();
    for (std::uint64_t offset = from; offset < source.tail() && records.size() < maximumRecords; ++offset)
        records.push_back(source.records[offset - source.firstOffset]);
    answer(exchange, 200, { { "from", from }, { "tail", source.tail() }, { "records", std::move(records) } });
}

void PlatformService::registerInstance(const HttpExchangePtr& exchange)
{
    const json body = json::parse(exchange->request().body());
    Instance instance;
    instance.probeAddress = foundation::parseAddress(body.at("probe").get<std::string>()).value();
    if (body.contains("control"))
        instance.controlAddress = foundation::parseAddress(body.at("control").get<std::string>()).value();
    instances_[body.at("name").get<std::string>()] = instance;
    publishInstances();
    answer(exchange, 200, json::object());
}

void PlatformService::listInstances(const HttpExchangePtr& exchange, const Query& query)
{
    auto names = query.parameters.find("names");
    if (names == query.parameters.end())
        return answer(exchange, 200, { { "instances", publishedInstances_ } });
    const std::string wanted = "," + names->second + ",";
    json list = json::array();
    for (const auto& instance : publishedInstances_) {
        if (wanted.find("," + instance.at("name").get<std::string>() + ",") != std::string::npos)
            list.push_back(instance);
    }
    answer(exchange, 200, { { "instances", std::move(list) } });
}

void PlatformService::publishInstances()
{
    json list = json::array();
    for (const auto& [name, instance] : instances_) {
        if (instance.isLive)
            list.push_back({ { "name", name }, { "state", instance.isLeaving ? "leaving" : "live" } });
    }
    if (faults_.listLatency.count() == 0) {
        publishedInstances_ = std::move(list);
        return;
    }
    timers_.schedule(std::chrono::steady_clock::now() + faults_.listLatency,
        [this, list = std::move(list)]() mutable { publishedInstances_ = std::move(list); });
}

void PlatformService::reboot(const HttpExchangePtr& exchange, const std::string& name)
{
    const json body = json::parse(exchange->request().body());
    const auto operation = body.at("operation").get<std::string>();
    const auto epoch = body.at("epoch").get<std::uint64_t>();
    auto found = instances_.find(name);
    if (found == instances_.end() || found->second.controlAddress.port == 0)
        return answer(exchange, 404, { { "error", "no such instance" } });
    if (epoch < found->second.epoch)
        return answer(exchange, 409, { { "error", "epoch " + std::to_string(found->second.epoch) + " was seen" } });
    found->second.epoch = epoch;
    if (operations_.emplace(operation, "running").second)
        startReboot(name, operation);
    answerOrTimeOut(exchange, 202, { { "operation", operation } });
}

platform::HttpClient& PlatformService::clientFor(const foundation::Address& server)
{
    return clients_.try_emplace(server, context_, server).first->second;
}

void PlatformService::startReboot(const std::string& name, const std::string& operation)
{
    ++reboots_;
    instances_.at(name).isLeaving = true;
    publishInstances();
    clientFor(instances_.at(name).controlAddress)
        .send(verb::post, "/reboot?instance=" + name, "{}", probeTimeout, "standin.reboot",
            [this, name, operation](
                const foundation::Result<platform::HttpAnswer>&) { pollReboot(name, operation, maximumRebootPolls); });
}

void PlatformService::pollReboot(const std::string& name, const std::string& operation, int remaining)
{
    if (remaining == 0) {
        operations_[operation] = "failed";
        return;
    }
    timers_.schedule(std::chrono::steady_clock::now() + rebootPollInterval, [this, name, operation, remaining] {
        clientFor(instances_.at(name).probeAddress)
            .send(verb::get, "/standin/ping", {}, probeTimeout, "standin.ping",
                [this, name, operation, remaining](const foundation::Result<platform::HttpAnswer>& pong) {
                    if (!pong)
                        return pollReboot(name, operation, remaining - 1);
                    instances_.at(name).isLeaving = false;
                    operations_[operation] = "done";
                    publishInstances();
                });
    });
}

void PlatformService::answerOperation(const HttpExchangePtr& exchange, const std::string& operation)
{
    auto found = operations_.find(operation);
    answer(exchange, 200, { { "state", found == operations_.end() ? "unknown" : found->second } });
}

void PlatformService::answerStats(const HttpExchangePtr& exchange)
{
    const json stats { { "appends", appends_ }, { "appended_records", appendedRecords_ },
        { "maximum_appends_per_second", maximumAppendsPerSecond_ }, { "reboots", reboots_ } };
    exchange->respond(httpserver::makeResponse(200, stats.dump(), "application/json"));
}

void PlatformService::probeInstances()
{
    timers_.schedule(std::chrono::steady_clock::now() + probeInterval, [this] {
        for (const auto& item : instances_)
            probe(item.first);
        probeInstances();
    });
}

void PlatformService::probe(const std::string& name)
{
    Instance& instance = instances_.at(name);
    if (!instance.isLive || instance.isLeaving)
        return;
    auto socket = std::make_shared<boost::asio::ip::tcp::socket>(context_);
    boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::make_address(instance.probeAddress.ip), instance.probeAddress.port);
    socket->async_connect(endpoint, [this, name, socket](boost::system::error_code error) { onProbed(name, !error); });
}

void PlatformService::onProbed(const std::string& name, bool reachable)
{
    Instance& instance = instances_.at(name);
    instance.failedProbes = reachable ? 0 : instance.failedProbes + 1;
    if (instance.failedProbes < failedProbesUntilGone || !instance.isLive)
        return;
    instance.isLive = false;
    publishInstances();
}

void PlatformService::answer(const HttpExchangePtr& exchange, unsigned status, const json& body)
{
    auto response = httpserver::makeResponse(status, body.dump(), "application/json");
    if (faults_.delay.count() == 0) {
        exchange->respond(std::move(response));
        return;
    }
    timers_.schedule(std::chrono::steady_clock::now() + faults_.delay,
        [exchange, response]() mutable { exchange->respond(std::move(response)); });
}

// A lost answer becomes 504 Gateway Timeout: the client cannot know whether its request took effect.
void PlatformService::answerOrTimeOut(const HttpExchangePtr& exchange, unsigned status, const json& body)
{
    const bool isLost = std::uniform_real_distribution<double>(0, 1)(random_) < faults_.lostAnswerRatio;
    answer(exchange, isLost ? 504 : status, isLost ? json { { "error", "answer lost" } } : body);
}

} // namespace turmericsill::standins
