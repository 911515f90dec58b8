#include "standins/jobs/platformstandin.h"

#include "jobs/recordcodec.h"
#include "platform/platformprotocol.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/endian/conversion.hpp>
#include <charconv>

namespace turmericsill::standins {

using emulator::EmulatedInstance;
using foundation::Errc;
using foundation::milliseconds;
using foundation::SteadyTime;
using httpserver::HttpExchangePtr;
using httpserver::makeResponse;
using nlohmann::json;

namespace {

    constexpr milliseconds maximumLease { 10000 };
    constexpr milliseconds advanceInterval { 20 }; ///< Interval at which the emulated platform is advanced.
    constexpr milliseconds heartbeatInterval { 1500 }; ///< Interval at which every instance is published again.
    constexpr milliseconds pollInterval { 5 }; ///< Interval at which a waiting request checks for data.
    constexpr std::size_t base64GroupBytes = 3;
    const jobs::Resources instanceCapacity { 64000, 131072, 0 };
    const std::string pool = "desk";
    const std::string operatorTopic = "keyed.op";
    const std::string instanceTopic = "keyed.servers";
    const std::string keyedPrefix = "keyed.";

    std::string encodeBase64(const std::string& bytes)
    {
        using namespace boost::archive::iterators;
        using Encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
        std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
        text.append((base64GroupBytes - bytes.size() % base64GroupBytes) % base64GroupBytes, '=');
        return text;
    }

    std::uint64_t numberParameter(const std::map<std::string, std::string>& query, const char* name)
    {
        const auto found = query.find(name);
        std::uint64_t value = 0;
        if (found != query.end())
            std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
        return value;
    }

    std::map<std::string, std::string> parseQuery(std::string_view text)
    {
        std::map<std::string, std::string> query;
        while (!text.empty()) {
            const auto pair = text.substr(0, text.find('&'));
            text.remove_prefix(std::min(text.size(), pair.size() + 1));
            const auto equals = pair.find('=');
            if (equals != std::string_view::npos)
                query[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
        }
        return query;
    }

    /// Splits the body of an append into its length-prefixed records.
    std::vector<std::string> parseFrames(std::string_view body)
    {
        constexpr std::size_t lengthBytes = 4;
        std::vector<std::string> records;
        while (body.size() >= lengthBytes) {
            const std::size_t length = boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(body.data()));
            records.emplace_back(body.substr(lengthBytes, length));
            body.remove_prefix(std::min(body.size(), lengthBytes + length));
        }
        return records;
    }

    std::string encodePage(std::uint64_t end, std::uint64_t first, const std::vector<std::string>& records)
    {
        unsigned char header[16];
        boost::endian::store_big_u64(header, end);
        boost::endian::store_big_u64(header + 8, first);
        return std::string(reinterpret_cast<const char*>(header), sizeof(header))
            + platform::encodeRecordFrames(records);
    }

    std::string endReason(jobs::RunOutcome outcome)
    {
        switch (outcome) {
        case jobs::RunOutcome::Done:
            return "done";
        case jobs::RunOutcome::Stopped:
            return "stopped";
        case jobs::RunOutcome::LeaseExpired:
            return "lapsed";
        default:
            return "failed";
        }
    }

    void respond(const HttpExchangePtr& exchange, unsigned status, const json& body)
    {
        exchange->respond(makeResponse(status, body.dump(), "application/json"));
    }

} // namespace

PlatformStandin::PlatformStandin(
    boost::asio::io_context& context, const foundation::Address& address, std::size_t instances, bool declaresTeams)
    : context_(context)
    , address_(address)
    , timers_(context)
    , platform_(clock_, 1, maximumLease)
    , declaresTeams_(declaresTeams)
    , server_(context, *this, httpserver::ServerLimits())
{
    for (std::size_t i = 0; i < instances; ++i) {
        const std::string name = "i-" + std::to_string(i);
        platform_.startInstance(name, pool, instanceCapacity);
        instanceAddresses_[name] = { "127.0.1." + std::to_string(i + 1), address_.port };
        instanceServers_.push_back(
            std::make_unique<httpserver::HttpServer>(context_, *this, httpserver::ServerLimits()));
    }
    publishDeclarations();
    publishInstances();
    advance();
}

foundation::Result<void> PlatformStandin::listen()
{
    std::size_t nextServer = 0;
    for (const auto& [name, address] : instanceAddresses_) {
        if (auto listening = instanceServers_[nextServer++]->listen(address); !listening)
            return listening;
    }
    return server_.listen(address_);
}

void PlatformStandin::publishDeclarations()
{
    json configuration { { "version", 1 },
        { "routes",
            json::array({ { { "name", "calls" }, { "host", "calls.example" }, { "path_prefix", "/calls/" },
                { "service", pool }, { "max_attempts", 4 }, { "slo_ms", 600 } } }) },
        { "services", json::array({ { { "name", pool } } }) } };
    if (declaresTeams_)
        configuration["tenants"] = json::array({ { { "name", "steady" }, { "api_keys", { "steady-key" } },
                                                     { "weight", 100 } },
            { { "name", "hot" }, { "api_keys", { "hot-key" } }, { "weight", 2 }, { "cap", { { "cpu", 40000 } } } } });
    appendKeyed(operatorTopic, { platform::encodeKeyedRecord("config", configuration.dump()) });
}

void PlatformStandin::publishInstances()
{
    for (const auto& [name, report] : platform_.listedInstances()) {
        const json listing { { "service", report.pool }, { "address", instanceAddresses_[name].toString() },
            { "zone", "here" }, { "state", "ready" }, { "born", report.incarnation.startedAt },
            { "machine", report.machine }, { "labels", report.labels },
            { "capacity", { { "cpu", report.capacity.milliCores }, { "mem_mb", report.capacity.memoryMb } } } };
        appendKeyed(instanceTopic, { platform::encodeKeyedRecord(name, listing.dump()) });
    }
    timers_.schedule(clock_.now() + heartbeatInterval, [this] { publishInstances(); });
}

void PlatformStandin::advance()
{
    platform_.advance();
    platform_.network().runDue(clock_.now());
    timers_.schedule(clock_.now() + advanceInterval, [this] { advance(); });
}

void PlatformStandin::handle(const HttpExchangePtr& exchange)
{
    const std::string target(exchange->request().target());
    const auto queryStart = target.find('?');
    const std::string path = target.substr(0, queryStart);
    const Query query = parseQuery(
        queryStart == std::string::npos ? std::string_view() : std::string_view(target).substr(queryStart + 1));
    const std::string call = path.substr(path.rfind('/') + 1);
    if (call == "figures")
        return serveFigures(exchange);
    if (call == "faults") {
        const json faults = json::parse(exchange->request().body(), nullptr, false);
        if (!faults.is_object())
            return respond(exchange, 400, { { "error", "expected a JSON object" } });
        platform_.faults().isStoreDown = faults.value("store_down", platform_.faults().isStoreDown);
        const std::string restarted = faults.value("restart_instance", std::string());
        if (platform_.instances().count(restarted))
            platform_.restartInstance(restarted, pool, instanceCapacity);
        return respond(exchange, 200, json::object());
    }
    if (call == "machines")
        return listMachines(exchange);
    if (call.compare(0, 4, "log-") == 0)
        return serveStore(exchange, call, query);
    serveInstance(exchange, call);
}

void PlatformStandin::serveStore(const HttpExchangePtr& exchange, const std::string& call, const Query& query)
{
    if (platform_.faults().isStoreDown)
        return respond(exchange, 503, json::object());
    if (call == "log-append")
        return append(exchange, query);
    if (call == "log-read")
        return read(exchange, query, clock_.now() + milliseconds(numberParameter(query, "wait_ms")));
    if (call == "log-newest")
        return readNewest(exchange, query);
    if (call == "log-join")
        return join(exchange);
    if (call == "log-leave") {
        const json body = json::parse(exchange->request().body(), nullptr, false);
        platform_.log().leave(body.value("member", std::string()));
        return respond(exchange, 200, json::object());
    }
    json parts = json::array();
    for (const auto& member : platform_.log().members())
        parts.push_back(json::array({ "turmericsill.members", parts.size(), member.entry, 0 }));
    respond(exchange, 200, { { "parts", std::move(parts) } });
}

void PlatformStandin::append(const HttpExchangePtr& exchange, const Query& query)
{
    const auto records = parseFrames(exchange->request().body());
    const std::string& topic = query.at("topic");
    if (topic.compare(0, keyedPrefix.size(), keyedPrefix) == 0) {
        appendKeyed(topic, records);
        return respond(exchange, 200, { { "offset", 0 }, { "end", keyedTopics_[topic].records.size() } });
    }
    eventlog::AppendRequest request;
    request.payloads = records;
    if (query.count("producer"))
        request.position
            = eventlog::ProducerPosition { numberParameter(query, "epoch"), numberParameter(query, "seq") };
    const auto receipt = platform_.log().append(request);
    if (!receipt)
        return respond(exchange, 409, { { "reason", "fenced" } });
    for (const auto& record : records)
        trackRecord(record);
    respond(exchange, 200, { { "offset", receipt->offset }, { "end", receipt->end } });
}

void PlatformStandin::appendKeyed(const std::string& topic, const std::vector<std::string>& records)
{
    KeyedTopic& target = keyedTopics_[topic];
    for (const auto& content : records) {
        const auto record = platform::parseKeyedRecord(content);
        if (!record)
            continue;
        target.records.push_back(content);
        if (record->value.empty())
            target.newestValues.erase(record->key);
        else
            target.newestValues[record->key] = record->value;
    }
}

// The invariant checker has to know the submitted jobs, which the stand-in learns only from the log's records.
void PlatformStandin::trackRecord(const std::string& record)
{
    const auto logged = jobs::decode(record);
    if (!logged)
        return;
    if (const auto* submitted = std::get_if<jobs::JobSubmitted>(&logged->record)) {
        platform_.invariants().onSubmitted(submitted->job, submitted->spec);
        platform_.invariants().onAccepted(submitted->job);
    }
    if (const auto* cancelled = std::get_if<jobs::JobCancelled>(&logged->record))
        platform_.invariants().onCancelled(cancelled->job);
    intendedRuns_ += std::holds_alternative<jobs::RunIntended>(logged->record);
}

void PlatformStandin::read(const HttpExchangePtr& exchange, const Query& query, SteadyTime deadline)
{
    constexpr std::size_t bytesPerKb = 1024;
    const std::string& topic = query.at("topic");
    const std::uint64_t from = numberParameter(query, "from");
    std::vector<std::string> records;
    std::uint64_t end = 0;
    if (topic.compare(0, keyedPrefix.size(), keyedPrefix) == 0) {
        const auto& all = keyedTopics_[topic].records;
        end = all.size();
        records.assign(all.begin() + static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(from, end)), all.end());
    } else {
        const auto found = platform_.log().read(
            { from, milliseconds(0), query.count("max_kb") ? numberParameter(query, "max_kb") * bytesPerKb : 0 });
        if (!found)
            return respond(exchange, 410, json::object());
        end = found->end;
        records = found->payloads;
    }
    if (records.empty() && clock_.now() < deadline) {
        timers_.schedule(
            clock_.now() + pollInterval, [this, exchange, query, deadline] { read(exchange, query, deadline); });
        return;
    }
    exchange->respond(makeResponse(200, encodePage(end, 0, records), "application/octet-stream"));
}

void PlatformStandin::readNewest(const HttpExchangePtr& exchange, const Query& query)
{
    const KeyedTopic& topic = keyedTopics_[query.at("topic")];
    json items = json::array();
    for (const auto& [key, value] : topic.newestValues)
        items.push_back({ { "key", key }, { "value", encodeBase64(value) }, { "offset", 0 } });
    respond(exchange, 200, { { "items", std::move(items) }, { "has_more", false }, { "end", topic.records.size() } });
}

void PlatformStandin::join(const HttpExchangePtr& exchange)
{
    const json body = json::parse(exchange->request().body(), nullptr, false);
    const auto assignment = platform_.log().join(
        { body.at("member").get<std::string>(), 0 }, milliseconds(body.at("ttl_ms").get<std::int64_t>()));
    const json parts = json::array({ json::array({ body.at("topics").at(0), 0, 0 }) });
    respond(exchange, 200, { { "generation", assignment.generation }, { "parts", parts } });
}

void PlatformStandin::serveInstance(const HttpExchangePtr& exchange, const std::string& call)
{
    const std::string name(exchange->request()["X-Expect-Instance"]);
    const auto found = platform_.instances().find(name);
    if (found == platform_.instances().end())
        return respond(exchange, 421, json::object());
    const json body = json::parse(exchange->request().body(), nullptr, false);
    const auto token = body.value("fencing_token", std::uint64_t(0));
    if (call == "hold") {
        fleet::RenewRequest request;
        request.acknowledgedEnds = body.value("ack_offset", std::uint64_t(0));
        if (body.contains("deadline_ms"))
            request.leaseEnd = milliseconds(body.at("deadline_ms").get<std::int64_t>());
        return renew(
            exchange, name, request, token, clock_.now() + milliseconds(body.value("wait_ms", std::int64_t(0))));
    }
    const auto task = jobs::parseTaskId(body.value("task", std::string()));
    if (!task)
        return respond(exchange, 400, { { "error", "task" } });
    const auto run = body.value("run", std::uint32_t(0));
    if (call == "run-stop") {
        const auto stopped = found->second->stop(*task, run, token);
        return respond(exchange, stopped ? 200 : 409, { { "reason", "fence" } });
    }
    const fleet::StartOrder order { *task, run, body.value("spec", std::string()), {}, {},
        milliseconds(body.value("deadline_ms", std::int64_t(0))) };
    const auto answer
        = found->second->start(order, token, [this](const jobs::TaskId& id) { return platform_.runPlanFor(id); });
    const std::map<fleet::StartResult, std::string> reasons { { fleet::StartResult::Fenced, "fence" },
        { fleet::StartResult::Superseded, "old" }, { fleet::StartResult::LeaseExpired, "late" } };
    const auto reason = reasons.find(answer.result);
    json reply { { "clock_ms", answer.clock->count() } };
    if (reason != reasons.end())
        reply["reason"] = reason->second;
    respond(exchange, reason == reasons.end() ? 200 : 409, reply);
}

void PlatformStandin::renew(const HttpExchangePtr& exchange, const std::string& name,
    const fleet::RenewRequest& request, std::uint64_t token, SteadyTime deadline)
{
    const auto found = platform_.instances().find(name);
    if (found == platform_.instances().end())
        return respond(exchange, 421, json::object());
    const auto answer = found->second->renew(request, token);
    if (answer.isFenced)
        return respond(exchange, 409, { { "reason", "fence" } });
    if (answer.ended.empty() && clock_.now() < deadline) {
        timers_.schedule(clock_.now() + pollInterval,
            [this, exchange, name, request, token, deadline] { renew(exchange, name, request, token, deadline); });
        return;
    }
    json running = json::array();
    for (const auto& run : answer.running)
        running.push_back(json::array({ jobs::toText(run.task), run.run, run.checkpoint, run.percent }));
    json ended = json::array();
    for (const auto& end : answer.ended)
        ended.push_back(
            json::array({ end.number, jobs::toText(end.task), end.run, endReason(end.outcome), end.checkpoint }));
    respond(exchange, 200,
        { { "clock_ms", answer.clock.count() }, { "born", answer.startedAt }, { "running", std::move(running) },
            { "ended", std::move(ended) } });
}

void PlatformStandin::listMachines(const HttpExchangePtr& exchange)
{
    json machines = json::array();
    for (const auto& [name, report] : platform_.listedInstances()) {
        machines.push_back({ { "machine", report.machine }, { "pool", report.pool }, { "state", "up" },
            { "zone", "here" }, { "labels", report.labels },
            { "capacity", { { "cpu", report.capacity.milliCores }, { "mem_mb", report.capacity.memoryMb } } },
            { "id", name } });
    }
    respond(exchange, 200, { { "machines", std::move(machines) }, { "next_token", nullptr } });
}

void PlatformStandin::serveFigures(const HttpExchangePtr& exchange)
{
    json stored = json::array();
    for (const auto id : platform_.invariants().acceptedJobs())
        stored.push_back(jobs::toText(id));
    respond(exchange, 200,
        { { "accepted", stored.size() }, { "stored", stored }, { "runs", intendedRuns_ },
            { "broken", platform_.invariants().violations() } });
}

} // namespace turmericsill::standins
