// A small platform for the cases of this review: store, machine control and workers on loopback addresses, and the
// entry processes under test. It follows PROTOCOL.md. One thread carries all servers; a case runs in the main thread
// and reaches them through World::run().
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline std::int64_t processMs()
{
    static const auto begin = Clock::now();
    return std::chrono::duration_cast<milliseconds>(Clock::now() - begin).count();
}

/// What was sent, answered and run; one line each, with the time since the start of the case.
class Record {
public:
    explicit Record(const std::string& path)
        : out_(path, std::ios::trunc)
    {
        processMs();
    }

    void write(const std::string& line)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(processMs()) / 1000);
        out_ << time << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    std::map<std::string, std::string> headers;
};

struct Reply {
    unsigned status = 200;
    std::string body = "{}";
    bool closes = false; ///< The connection is reset instead of being answered.
};

using Answer = std::function<void(Reply)>;
using Handler = std::function<void(const Request&, Answer)>;

inline Request parseRequest(const http::request<http::string_body>& message)
{
    Request request;
    request.method = std::string(message.method_string());
    std::string target(message.target());
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
        std::stringstream parts(target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const auto equal = part.find('=');
            std::string value;
            for (std::size_t i = equal + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += part[i];
                }
            }
            request.query[part.substr(0, equal)] = value;
        }
    }
    request.body = message.body();
    for (const auto& field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        request.headers[name] = std::string(field.value());
    }
    return request;
}

/// A free port below those that the system gives to outgoing connections, so that a port stays free during a crash.
inline unsigned short freePort()
{
    static std::mutex mutex;
    static unsigned next = static_cast<unsigned>(::getpid()) * 37 % 14000;
    const std::lock_guard<std::mutex> lock(mutex);
    for (int tried = 0; tried < 14000; ++tried) {
        const auto port = static_cast<unsigned short>(16000 + next++ % 14000);
        asio::io_context context;
        tcp::acceptor acceptor(context);
        beast::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), error);
        if (!error)
            return port;
    }
    return 0;
}

class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
    HttpServer(asio::io_context& context, Handler handler)
        : context_(context)
        , handler_(std::move(handler))
        , acceptor_(context)
    {
    }

    void listen(unsigned short port = 0, int backlog = 1024)
    {
        const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port ? port : freePort());
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen(backlog);
        port_ = acceptor_.local_endpoint().port();
        accept();
    }

    /// Ends like a crash: connections are reset, and the port refuses new ones.
    void stop()
    {
        beast::error_code ignored;
        acceptor_.close(ignored);
        for (auto& session : std::exchange(sessions_, {}))
            session->reset();
    }

    /// Takes no new connections: once the queue is full, opening packets are dropped and sent again after seconds.
    void pauseAccepting()
    {
        isPaused_ = true;
        acceptor_.cancel();
    }

    void resumeAccepting()
    {
        isPaused_ = false;
        accept();
    }

    unsigned short port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    struct Session : std::enable_shared_from_this<Session> {
        Session(tcp::socket socket, std::shared_ptr<HttpServer> server)
            : stream(std::move(socket))
            , owner(std::move(server))
        {
        }

        void read()
        {
            parser.emplace();
            parser->body_limit(64 << 20);
            http::async_read(stream, buffer, *parser,
                [self = shared_from_this()](beast::error_code error, std::size_t) {
                    if (error)
                        return self->end();
                    const Request request = parseRequest(self->parser->get());
                    self->owner->handler_(request, [self](Reply reply) { self->write(std::move(reply)); });
                });
        }

        void write(Reply reply)
        {
            if (!stream.is_open())
                return;
            if (reply.closes)
                return reset();
            response = std::make_shared<http::response<http::string_body>>(static_cast<http::status>(reply.status), 11);
            response->set(http::field::content_type, "application/json");
            response->body() = std::move(reply.body);
            response->prepare_payload();
            http::async_write(
                stream, *response, [self = shared_from_this()](beast::error_code error, std::size_t) {
                    if (error)
                        return self->end();
                    self->read();
                });
        }

        void reset()
        {
            beast::error_code ignored;
            stream.set_option(asio::socket_base::linger(true, 0), ignored);
            stream.close(ignored);
        }

        void end()
        {
            beast::error_code ignored;
            stream.close(ignored);
            owner->sessions_.erase(shared_from_this());
        }

        tcp::socket stream;
        std::shared_ptr<HttpServer> owner;
        beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        std::shared_ptr<http::response<http::string_body>> response;
    };

    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](beast::error_code error, tcp::socket socket) {
            if (error || self->isPaused_)
                return;
            socket.set_option(tcp::no_delay(true));
            auto session = std::make_shared<Session>(std::move(socket), self);
            self->sessions_.insert(session);
            session->read();
            self->accept();
        });
    }

    asio::io_context& context_;
    Handler handler_;
    tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Session>> sessions_;
    unsigned short port_ = 0;
    bool isPaused_ = false;
};

/// The platform's store: log, keyed topics and groups.
class Store {
public:
    Store(asio::io_context& context)
        : context_(context)
        , server_(std::make_shared<HttpServer>(
              context, [this](const Request& request, Answer answer) { handle(request, std::move(answer)); }))
    {
        server_->listen();
    }

    std::string address() const { return server_->address(); }

    /// Writes a record of a keyed topic, as operators and workers do.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        append(topics_[topic], { std::string(1, static_cast<char>(key.size())) + key + value });
    }

    /// The newest value of a key, or nothing.
    std::optional<std::string> newest(const std::string& topic, const std::string& key)
    {
        std::optional<std::string> value;
        for (const auto& record : topics_[topic].records) {
            if (record.substr(1, static_cast<unsigned char>(record[0])) == key)
                value = record.substr(1 + static_cast<unsigned char>(record[0]));
        }
        return value;
    }

    std::function<void(const std::string& member)> onJoin; ///< Called for each call that joins a group.
    std::function<void(const std::string& key, const std::string& value)> onStatus; ///< Records of keyed.status.

private:
    struct Waiting {
        std::uint64_t from;
        std::size_t maximumBytes;
        Answer answer;
        std::shared_ptr<asio::steady_timer> timer;
    };
    struct Producer {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::deque<std::pair<std::uint64_t, std::string>> answers;
    };
    struct Topic {
        std::vector<std::string> records;
        std::vector<std::shared_ptr<Waiting>> waiting;
        std::map<std::string, Producer> producers;
    };
    struct Member {
        std::uint64_t generation = 0;
        Clock::time_point expiresAt;
    };
    struct Group {
        std::uint64_t generation = 0;
        std::map<std::string, Member> members;
        std::vector<std::pair<std::string, int>> parts;
        std::vector<std::string> owner;
        std::vector<std::string> target;
        std::vector<std::uint64_t> targetSince; ///< Generation in which the target was chosen.
    };
    static constexpr int partitions = 32;

    static std::string big(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text += static_cast<char>((value >> (8 * i)) & 0xff);
        return text;
    }

    static std::string base64(const std::string& text)
    {
        std::string encoded(beast::detail::base64::encoded_size(text.size()), '\0');
        encoded.resize(beast::detail::base64::encode(encoded.data(), text.data(), text.size()));
        return encoded;
    }

    static std::string page(const Topic& topic, std::uint64_t from, std::size_t maximumBytes)
    {
        std::string body = big(topic.records.size(), 8) + big(0, 8);
        for (std::size_t i = from; i < topic.records.size(); ++i) {
            if (i > from && body.size() + topic.records[i].size() > maximumBytes)
                break;
            body += big(topic.records[i].size(), 4) + topic.records[i];
        }
        return body;
    }

    std::uint64_t append(Topic& topic, const std::vector<std::string>& records)
    {
        const std::uint64_t offset = topic.records.size();
        topic.records.insert(topic.records.end(), records.begin(), records.end());
        if (records.empty())
            return offset;
        for (auto& waiting : std::exchange(topic.waiting, {})) {
            waiting->timer->cancel();
            if (waiting->answer)
                std::exchange(waiting->answer, nullptr)({ 200, page(topic, waiting->from, waiting->maximumBytes) });
        }
        return offset;
    }

    void handle(const Request& request, Answer answer)
    {
        const std::string call = request.path.substr(request.path.rfind('/') + 1);
        const auto parameter = [&](const std::string& name, const std::string& fallback = "0") {
            const auto found = request.query.find(name);
            return found == request.query.end() ? fallback : found->second;
        };
        if (call == "log-append")
            return answer(handleAppend(request));
        if (call == "log-read") {
            Topic& topic = topics_[parameter("topic")];
            const std::uint64_t from = std::stoull(parameter("from"));
            const std::size_t maximum = std::stoull(parameter("max_kb", "1024")) << 10;
            const auto wait = std::stoll(parameter("wait_ms"));
            if (from < topic.records.size() || wait == 0)
                return answer({ 200, page(topic, from, maximum) });
            auto waiting = std::make_shared<Waiting>(
                Waiting { from, maximum, std::move(answer), std::make_shared<asio::steady_timer>(context_) });
            topic.waiting.push_back(waiting);
            waiting->timer->expires_after(milliseconds(wait));
            waiting->timer->async_wait([&topic, waiting](beast::error_code error) {
                if (error || !waiting->answer)
                    return;
                topic.waiting.erase(std::find(topic.waiting.begin(), topic.waiting.end(), waiting));
                std::exchange(waiting->answer, nullptr)({ 200, page(topic, waiting->from, waiting->maximumBytes) });
            });
            return;
        }
        if (call == "log-newest")
            return answer(handleNewest(topics_[parameter("topic")], parameter("depends_on", "")));
        if (call == "log-owners")
            return answer(handleOwners(groups_[parameter("group")]));
        const json body = json::parse(request.body, nullptr, false);
        if (call == "log-join" && body.is_object())
            return answer(handleJoin(body));
        if (call == "log-leave" && body.is_object()) {
            Group& group = groups_[body["group"]];
            group.members.erase(body["member"].get<std::string>());
            rebalance(group);
            return answer({});
        }
        if (call == "log-commit" || call == "log-trim")
            return answer({});
        answer({ 404, "{}" });
    }

    Reply handleAppend(const Request& request)
    {
        const std::string name = request.query.at("topic");
        Topic& topic = topics_[name];
        std::vector<std::string> records;
        for (std::size_t at = 0; at + 4 <= request.body.size();) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(request.body[at + i]);
            records.push_back(request.body.substr(at + 4, length));
            at += 4 + length;
        }
        const auto commit = [&] {
            const std::uint64_t offset = append(topic, records);
            if (name == "keyed.status" && onStatus) {
                for (const auto& record : records) {
                    const auto keyBytes = static_cast<unsigned char>(record[0]);
                    onStatus(record.substr(1, keyBytes), record.substr(1 + keyBytes));
                }
            }
            return json { { "offset", offset }, { "end", topic.records.size() } }.dump();
        };
        if (!request.query.count("producer"))
            return { 200, commit() };
        Producer& producer = topic.producers[request.query.at("producer")];
        const std::uint64_t epoch = std::stoull(request.query.at("epoch"));
        const std::uint64_t sequence = std::stoull(request.query.at("seq"));
        if (epoch < producer.epoch)
            return { 409, json { { "reason", "fenced" } }.dump() };
        if (epoch == producer.epoch) {
            for (const auto& [number, text] : producer.answers) {
                if (number == sequence)
                    return { 200, text };
            }
            if (!producer.answers.empty() && sequence != producer.sequence + 1)
                return { 409, json { { "reason", "seq" }, { "seq", producer.sequence + 1 } }.dump() };
        } else {
            producer = { epoch, 0, {} };
        }
        producer.sequence = sequence;
        producer.answers.emplace_back(sequence, commit());
        if (producer.answers.size() > 5)
            producer.answers.pop_front();
        return { 200, producer.answers.back().second };
    }

    static Reply handleNewest(const Topic& topic, const std::string& after)
    {
        std::map<std::string, std::pair<std::string, std::uint64_t>> values;
        for (std::size_t i = 0; i < topic.records.size(); ++i) {
            const std::string& record = topic.records[i];
            const auto keyBytes = static_cast<unsigned char>(record[0]);
            const std::string key = record.substr(1, keyBytes);
            if (record.size() == 1u + keyBytes)
                values.erase(key);
            else
                values[key] = { record.substr(1 + keyBytes), i };
        }
        json items = json::array();
        std::size_t bytes = 0;
        bool hasMore = false;
        for (auto entry = values.upper_bound(after); entry != values.end(); ++entry) {
            if (items.size() >= 500 || bytes > (1u << 20)) {
                hasMore = true;
                break;
            }
            bytes += entry->second.first.size() * 4 / 3;
            items.push_back({ { "key", entry->first }, { "value", base64(entry->second.first) },
                { "offset", entry->second.second } });
        }
        return { 200, json { { "items", items }, { "has_more", hasMore }, { "end", topic.records.size() } }.dump() };
    }

    static void rebalance(Group& group)
    {
        ++group.generation;
        std::vector<std::string> names;
        for (const auto& [name, member] : group.members)
            names.push_back(name);
        for (std::size_t i = 0; i < group.parts.size(); ++i) {
            const std::string target = names.empty() ? std::string() : names[i % names.size()];
            if (std::exchange(group.target[i], target) != target)
                group.targetSince[i] = group.generation;
            if (!group.members.count(group.owner[i]))
                group.owner[i].clear();
        }
    }

    static void expire(Group& group)
    {
        bool hasExpired = false;
        for (auto member = group.members.begin(); member != group.members.end();) {
            const bool isOver = member->second.expiresAt < Clock::now();
            hasExpired |= isOver;
            member = isOver ? group.members.erase(member) : std::next(member);
        }
        if (hasExpired)
            rebalance(group);
    }

    Reply handleJoin(const json& body)
    {
        Group& group = groups_[body["group"]];
        expire(group);
        const std::string name = body["member"];
        if (group.parts.empty()) {
            for (const auto& topic : body["topics"]) {
                for (int part = 0; part < partitions; ++part)
                    group.parts.emplace_back(topic.get<std::string>(), part);
            }
            group.owner.resize(group.parts.size());
            group.target.resize(group.parts.size());
            group.targetSince.resize(group.parts.size());
        }
        if (onJoin)
            onJoin(name);
        const bool isNew = !group.members.count(name);
        Member& member = group.members[name];
        member.expiresAt = Clock::now() + milliseconds(body["ttl_ms"].get<int>());
        member.generation = body.value("generation", std::uint64_t(0));
        if (isNew)
            rebalance(group);
        json parts = json::array();
        bool hasChanged = false;
        for (std::size_t i = 0; i < group.parts.size(); ++i) {
            const bool isReleased = group.owner[i] == name && group.target[i] != name
                && member.generation >= group.targetSince[i];
            if (isReleased || group.owner[i].empty()) {
                hasChanged |= group.owner[i] != group.target[i];
                group.owner[i] = group.target[i];
            }
        }
        group.generation += hasChanged; // It increases with each change, also with that of an owner.
        for (std::size_t i = 0; i < group.parts.size(); ++i) {
            if (group.owner[i] == name && group.target[i] == name)
                parts.push_back(json::array({ group.parts[i].first, group.parts[i].second, 0 }));
        }
        return { 200, json { { "generation", group.generation }, { "parts", parts } }.dump() };
    }

    static Reply handleOwners(Group& group)
    {
        expire(group);
        json parts = json::array();
        for (std::size_t i = 0; i < group.parts.size(); ++i) {
            const json owner = group.owner[i].empty() ? json() : json(group.owner[i]);
            parts.push_back(json::array({ group.parts[i].first, group.parts[i].second, owner, 0 }));
        }
        return { 200, json { { "parts", parts } }.dump() };
    }

    asio::io_context& context_;
    std::shared_ptr<HttpServer> server_;
    std::map<std::string, Topic> topics_;
    std::map<std::string, Group> groups_;
};

/// How a run ends: after `duration`, as `how` ("done" or "failed").
struct Work {
    milliseconds duration { 100 };
    std::string how = "done";
};

class Worker;

/// What the workers know of a task, from the job that its client has submitted.
struct Tasks {
    std::function<Work(const std::string& task, int run, const Worker& worker)> work;
    std::function<int(const std::string& task)> gangSize = [](const std::string&) { return 0; };
    std::function<bool(const std::string& task)> isLongRunning = [](const std::string&) { return false; };
    std::function<std::int64_t(const std::string& task)> cpu = [](const std::string&) { return std::int64_t(1000); };
    std::function<void(const std::string& event, const Worker& worker, const std::string& task, int run)> observe;
};

/// One worker on one machine. A crash ends the process; restart() begins its next life under the same id.
class Worker {
public:
    struct Run {
        int number = 0;
        bool isAtWork = false;
        Clock::time_point startedAt;
        std::shared_ptr<asio::steady_timer> timer;
    };

    Worker(asio::io_context& context, Store& store, Tasks& tasks, std::string id, std::string machine,
        std::string service, std::string rack, std::int64_t cpu)
        : id(std::move(id))
        , machine(std::move(machine))
        , service(std::move(service))
        , rack(std::move(rack))
        , cpu(cpu)
        , context_(context)
        , store_(store)
        , tasks_(tasks)
        , timer_(context)
    {
    }

    void start()
    {
        isUp = true;
        born_ = std::max(born_ + 1, wallMs());
        bornAt_ = Clock::now();
        ++life_;
        fence_ = 0;
        seq_ = 0;
        deadline_ = 0;
        lastEnd_ = 0;
        ended_.clear();
        runs_.clear();
        highest_.clear();
        server_ = std::make_shared<HttpServer>(context_, [this, life = life_](const Request& request, Answer answer) {
            if (life == life_ && isUp)
                handle(request, std::move(answer));
        });
        server_->listen(port_);
        port_ = server_->port();
        beat();
    }

    /// The process ends without a word. Its entry in the store expires after three heartbeat intervals.
    void crash()
    {
        isUp = false;
        ++life_;
        timer_.cancel();
        server_->stop();
        std::vector<std::pair<std::string, int>> lost;
        for (auto& [task, run] : runs_) {
            run.timer->cancel();
            lost.emplace_back(task, run.number);
        }
        runs_.clear();
        for (auto& waiting : std::exchange(waiting_, {}))
            waiting.second->cancel();
        for (const auto& [task, number] : lost) {
            if (tasks_.observe)
                tasks_.observe("lost", *this, task, number);
            breakGang(task, number, "broken");
        }
    }

    void removeEntry() { store_.put("keyed.servers", id, ""); }

    const std::map<std::string, Run>& runs() const { return runs_; }
    std::int64_t born() const { return born_; }

    std::string id;
    std::string machine;
    std::string service;
    std::string rack;
    std::int64_t cpu;
    bool isUp = false;
    std::vector<std::shared_ptr<Worker>>* peers = nullptr; ///< All workers, for the members of gangs.

private:
    static constexpr milliseconds heartbeat { 1500 };
    static constexpr std::int64_t longestLease = 10000;

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - bornAt_).count();
    }

    void beat()
    {
        store_.put("keyed.servers", id,
            json { { "service", service }, { "address", server_->address() }, { "zone", "a" }, { "version", "1" },
                { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", ++seq_ }, { "born", born_ },
                { "machine", machine }, { "labels", json::array({ "kind-a", rack }) },
                { "capacity", { { "cpu", cpu }, { "mem_mb", 131072 }, { "gpu", 0 } } } }
                .dump());
        timer_.expires_after(heartbeat);
        timer_.async_wait([this, life = life_](beast::error_code error) {
            if (!error && life == life_)
                beat();
        });
    }

    void extend(const json& body)
    {
        if (body.contains("deadline_ms"))
            deadline_ = std::max(
                deadline_, std::min(body["deadline_ms"].get<std::int64_t>(), clock() + longestLease));
        scheduleLapse();
    }

    void scheduleLapse()
    {
        auto timer = std::make_shared<asio::steady_timer>(context_);
        timer->expires_after(milliseconds(std::max<std::int64_t>(1, deadline_ - clock() + 1)));
        timer->async_wait([this, timer, life = life_](beast::error_code error) {
            if (error || life != life_ || clock() < deadline_)
                return;
            std::vector<std::string> lapsed;
            for (const auto& [task, run] : runs_)
                lapsed.push_back(task);
            for (const auto& task : lapsed)
                end(task, "lapsed");
        });
    }

    void handle(const Request& request, Answer answer)
    {
        const std::string call = request.path.substr(request.path.rfind('/') + 1);
        const auto expected = request.headers.find("x-expect-instance");
        if (expected != request.headers.end() && expected->second != id)
            return answer({ 421, "{}" });
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return answer({ 400, "{}" });
        const auto refuse = [&](const std::string& reason) {
            answer({ 409, json { { "clock_ms", clock() }, { "born", born_ }, { "reason", reason } }.dump() });
        };
        const std::uint64_t token = body.value("fencing_token", std::uint64_t(0));
        if (token < fence_)
            return refuse("fence");
        fence_ = token;
        if (call == "run-start")
            return startRun(body, std::move(answer), refuse);
        if (call == "run-stop") {
            const std::string task = body["task"];
            const int number = body["run"];
            highest_[task] = std::max(highest_[task], number);
            if (const auto run = runs_.find(task); run != runs_.end() && run->second.number == number)
                end(task, "stopped");
            return answer({ 200, json { { "clock_ms", clock() }, { "born", born_ } }.dump() });
        }
        if (call == "hold")
            return hold(body, std::move(answer));
        answer({ 200, json { { "clock_ms", clock() }, { "born", born_ } }.dump() });
    }

    void startRun(const json& body, Answer answer, const std::function<void(const std::string&)>& refuse)
    {
        const std::string task = body["task"];
        const int number = body["run"];
        if (const auto run = runs_.find(task); run != runs_.end() && run->second.number == number)
            return answer({ 200, json { { "clock_ms", clock() }, { "born", born_ } }.dump() });
        if (number <= highest_[task]) {
            extend(body);
            return refuse("old");
        }
        if (body["deadline_ms"].get<std::int64_t>() <= clock())
            return refuse("late");
        extend(body);
        highest_[task] = std::max(highest_[task], number - 1);
        Run run;
        run.number = number;
        run.startedAt = Clock::now();
        run.timer = std::make_shared<asio::steady_timer>(context_);
        runs_[task] = run;
        if (tasks_.observe)
            tasks_.observe("start", *this, task, number);
        answer({ 200, json { { "clock_ms", clock() }, { "born", born_ } }.dump() });
        if (tasks_.gangSize(task) == 0)
            return beginWork(task);
        const auto members = gangMembers(task, number);
        if (static_cast<int>(members.size()) < tasks_.gangSize(task))
            return;
        for (const auto& [worker, member] : members)
            worker->beginWork(member);
    }

    static std::string stepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }

    std::vector<std::pair<Worker*, std::string>> gangMembers(const std::string& task, int number) const
    {
        std::vector<std::pair<Worker*, std::string>> members;
        for (const auto& worker : *peers) {
            for (const auto& [other, run] : worker->runs_) {
                if (stepOf(other) == stepOf(task) && run.number == number)
                    members.emplace_back(worker.get(), other);
            }
        }
        return members;
    }

    void beginWork(const std::string& task)
    {
        Run& run = runs_.at(task);
        run.isAtWork = true;
        if (tasks_.isLongRunning(task))
            return;
        const Work work = tasks_.work(task, run.number, *this);
        run.timer->expires_after(work.duration);
        run.timer->async_wait([this, task, how = work.how, number = run.number, life = life_](beast::error_code error) {
            const auto found = runs_.find(task);
            if (!error && life == life_ && found != runs_.end() && found->second.number == number)
                end(task, how);
        });
    }

    void end(const std::string& task, const std::string& how)
    {
        const auto run = runs_.find(task);
        if (run == runs_.end())
            return;
        const int number = run->second.number;
        run->second.timer->cancel();
        runs_.erase(run);
        highest_[task] = std::max(highest_[task], number);
        ended_.push_back(json::array({ ++lastEnd_, task, number, how, "" }));
        if (tasks_.observe)
            tasks_.observe(how, *this, task, number);
        answerWaiting();
        breakGang(task, number, how == "done" ? "done" : "broken");
    }

    /// What the end of one member means for the others. It reaches those on other workers a round trip later.
    void breakGang(const std::string& task, int number, const std::string& how)
    {
        if (tasks_.gangSize(task) == 0 || !peers)
            return;
        for (const auto& [worker, member] : gangMembers(task, number)) {
            auto timer = std::make_shared<asio::steady_timer>(context_);
            timer->expires_after(milliseconds(worker == this ? 0 : 2));
            timer->async_wait([timer, worker = worker, member = member, how, number](beast::error_code) {
                const auto run = worker->runs_.find(member);
                if (run != worker->runs_.end() && run->second.number == number)
                    worker->end(member, how);
            });
        }
    }

    json lists() const
    {
        json running = json::array();
        for (const auto& [task, run] : runs_) {
            const bool isStarted = Clock::now() - run.startedAt > milliseconds(300);
            running.push_back(json::array({ task, run.number, "", run.isAtWork && isStarted ? 100 : 0, 0 }));
        }
        json ended = json::array();
        for (const auto& entry : ended_) {
            if (ended.size() < 500)
                ended.push_back(entry);
        }
        return { { "clock_ms", clock() }, { "born", born_ }, { "running", running }, { "ended", ended } };
    }

    void hold(const json& body, Answer answer)
    {
        const std::uint64_t acknowledged = body.value("ack_offset", std::uint64_t(0));
        while (!ended_.empty() && ended_.front()[0].get<std::uint64_t>() <= acknowledged) {
            if (tasks_.observe)
                tasks_.observe("noted", *this, ended_.front()[1].get<std::string>(), ended_.front()[2].get<int>());
            ended_.pop_front();
        }
        extend(body);
        const auto wait = body.value("wait_ms", std::int64_t(0));
        if (wait == 0 || !ended_.empty())
            return answer({ 200, lists().dump() });
        auto timer = std::make_shared<asio::steady_timer>(context_);
        waiting_.emplace_back(std::move(answer), timer);
        timer->expires_after(milliseconds(std::min<std::int64_t>(wait, 2000)));
        timer->async_wait([this, timer, life = life_](beast::error_code error) {
            if (error || life != life_)
                return;
            const auto found = std::find_if(
                waiting_.begin(), waiting_.end(), [&](const auto& waiting) { return waiting.second == timer; });
            if (found == waiting_.end())
                return;
            const Answer reply = std::move(found->first);
            waiting_.erase(found);
            reply({ 200, lists().dump() });
        });
    }

    void answerWaiting()
    {
        for (auto& [answer, timer] : std::exchange(waiting_, {})) {
            timer->cancel();
            answer({ 200, lists().dump() });
        }
    }

    asio::io_context& context_;
    Store& store_;
    Tasks& tasks_;
    asio::steady_timer timer_;
    std::shared_ptr<HttpServer> server_;
    unsigned short port_ = 0;
    int life_ = 0;
    std::int64_t born_ = 0;
    Clock::time_point bornAt_;
    std::uint64_t fence_ = 0;
    std::uint64_t seq_ = 0;
    std::int64_t deadline_ = 0;
    std::uint64_t lastEnd_ = 0;
    std::map<std::string, Run> runs_;
    std::map<std::string, int> highest_;
    std::deque<json> ended_;
    std::vector<std::pair<Answer, std::shared_ptr<asio::steady_timer>>> waiting_;
};

/// Machine control: the list of the machines, moves and upkeep.
class Cloud {
public:
    struct Machine {
        std::string pool;
        std::string state = "up";
        std::shared_ptr<Worker> worker;
        std::set<std::uint64_t> upkeepDone;
    };

    explicit Cloud(asio::io_context& context)
        : context_(context)
        , server_(std::make_shared<HttpServer>(
              context, [this](const Request& request, Answer answer) { handle(request, std::move(answer)); }))
    {
        server_->listen(0, 1);
    }

    std::string address() const { return server_->address(); }

    /// Falls silent: calls get no answer, and opening packets of new connections are dropped.
    void fallSilent()
    {
        isSilent_ = true;
        server_->pauseAccepting();
        for (int i = 0; i < 4; ++i) {
            auto socket = std::make_shared<tcp::socket>(context_);
            socket->async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server_->port()),
                [socket](beast::error_code) {});
            fillers_.push_back(socket);
        }
    }

    void answerAgain()
    {
        isSilent_ = false;
        fillers_.clear();
        server_->resumeAccepting();
    }

    struct Order {
        std::string machine;
        std::string holder;
        std::uint64_t token;
        std::int64_t atMs;
    };

    std::vector<Order> orders; ///< In the order of their arrival.
    std::map<std::string, Machine> machines;
    bool isUnavailable = false; ///< Every call is answered 503.
    std::function<void(const std::string& line)> log;

private:
    static constexpr milliseconds upkeepTime { 2000 };
    static constexpr milliseconds moveTime { 1500 };

    void handle(const Request& request, Answer answer)
    {
        if (isSilent_)
            return;
        if (isUnavailable)
            return answer({ 503, "{}" });
        const std::string call = request.path.substr(request.path.rfind('/') + 1);
        if (call == "machines") {
            json rows = json::array();
            for (const auto& [name, machine] : machines) {
                rows.push_back({ { "machine", name }, { "pool", machine.pool }, { "state", machine.state },
                    { "zone", "a" }, { "labels", json::array({ "kind-a", machine.worker->rack }) },
                    { "capacity", { { "cpu", machine.worker->cpu }, { "mem_mb", 131072 }, { "gpu", 0 } } },
                    { "id", machine.state == "up" ? machine.worker->id : "" } });
            }
            return answer({ 200, json { { "machines", rows }, { "next_token", nullptr } }.dump() });
        }
        const json body = json::parse(request.body, nullptr, false);
        const auto found = machines.find(body.value("machine", ""));
        if (found == machines.end())
            return answer({ 400, "{}" });
        orders.push_back({ found->first, request.headers.at("x-lease-holder"),
            std::stoull(request.headers.at("x-fencing-token")), processMs() });
        if (log)
            log(call + " " + found->first + " from " + orders.back().holder + " with token "
                + std::to_string(orders.back().token));
        if (call == "machine-upkeep")
            return answer(upkeep(found->first, found->second, body["wave"]));
        if (call == "machine-move")
            return answer(move(found->first, found->second, body["pool"]));
        answer({ 400, "{}" });
    }

    Reply move(const std::string& name, Machine& machine, const std::string& pool)
    {
        if (machine.pool == pool)
            return {};
        if (machine.state != "up")
            return { 409, json { { "reason", "busy" } }.dump() };
        machine.pool = pool;
        machine.worker->service = pool;
        takeDown(machine, "moving", moveTime);
        return {};
    }

    void takeDown(Machine& machine, const std::string& state, milliseconds time)
    {
        machine.state = state;
        machine.worker->crash();
        machine.worker->removeEntry();
        auto timer = std::make_shared<asio::steady_timer>(context_);
        timer->expires_after(time);
        timer->async_wait([timer, &machine](beast::error_code) {
            machine.worker->id += "n"; // A new worker.
            machine.worker->start();
            machine.state = "up";
        });
    }

    Reply upkeep(const std::string& name, Machine& machine, std::uint64_t wave)
    {
        if (machine.upkeepDone.count(wave))
            return {};
        if (machine.state != "up")
            return { 409, json { { "reason", "busy" } }.dump() };
        machine.upkeepDone.insert(wave);
        if (log)
            log("upkeep of " + name + " begins, wave " + std::to_string(wave));
        takeDown(machine, "upkeep", upkeepTime);
        return {};
    }

    asio::io_context& context_;
    std::shared_ptr<HttpServer> server_;
    bool isSilent_ = false;
    std::vector<std::shared_ptr<tcp::socket>> fillers_;
};

/// A process of the system under test.
class Entry {
public:
    Entry(std::string program, std::string folder, std::string name, std::string store, std::string cloud, int memoryMb)
        : program_(std::move(program))
        , name_(std::move(name))
        , path_(folder + "/" + name_)
    {
        callers_ = freePort();
        health_ = freePort();
        const auto address = [](unsigned short port) { return "127.0.0.1:" + std::to_string(port); };
        // The result of deploy/settings.json.template for a machine of a small deployment.
        std::ofstream(path_ + ".json") << json { { "entry", name_ }, { "data_centre", "a" },
            { "caller_address", address(callers_) }, { "health_address", address(health_) },
            { "telemetry_address", address(freePort()) }, { "store_address", store },
            { "machine_control_address", cloud }, { "instance_control", "rpc" }, { "processor_share", 0.25 },
            { "processor_cores", 1 }, { "longest_lease_ms", 10000 }, { "holder_interval_ms", 3000 },
            { "log_retention_ms", 300000 }, { "log_record_bytes", 262144 }, { "log_append_bytes", 2097152 },
            { "configuration_bound_ms", 2000 }, { "remote_slowdown", 2 }, { "memory_limit_mb", memoryMb },
            { "descriptor_limit", 4100 }, { "status_retention_ms", 120000 }, { "shutdown_grace_ms", 6000 } }
                                                  .dump(2);
    }

    ~Entry() { kill(); }

    void start()
    {
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        const int log = ::open((path_ + ".log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::close_range(3, ~0u, 0); // The sockets of the servers stay with this program.
        const std::string settings = path_ + ".json";
        ::execl(program_.c_str(), program_.c_str(), "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }

    /// Whether the process has ended by itself.
    bool hasEnded()
    {
        if (pid_ <= 0 || ::waitpid(pid_, nullptr, WNOHANG) != pid_)
            return false;
        pid_ = 0;
        return true;
    }

    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }

    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }

    /// Resident memory in MB.
    long memoryMb() const
    {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind("VmRSS:", 0) == 0)
                return std::stol(line.substr(6)) / 1024;
        }
        return 0;
    }

    bool isRunning() const { return pid_ > 0; }
    const std::string& name() const { return name_; }
    unsigned short callers() const { return callers_; }
    unsigned short health() const { return health_; }

private:
    std::string program_;
    std::string name_;
    std::string path_;
    unsigned short callers_ = 0;
    unsigned short health_ = 0;
    pid_t pid_ = 0;
};

/// One HTTP call; status 0 stands for no answer within the timeout.
inline std::pair<unsigned, std::string> call(unsigned short port, const std::string& method, const std::string& path,
    const std::string& body = {}, milliseconds timeout = milliseconds(3000))
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    http::request<http::string_body> request(http::string_to_verb(method), path, 11);
    request.set(http::field::host, "calls.example");
    request.set("X-Deadline-Ms", std::to_string(timeout.count()));
    request.set(http::field::content_type, "application/json");
    request.set(http::field::connection, "close");
    request.body() = body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    bool isDone = false;
    stream.expires_after(timeout);
    stream.async_connect(
        tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), [&](beast::error_code connectError) {
            if (connectError)
                return;
            http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
                if (writeError)
                    return;
                http::async_read(stream, buffer, response,
                    [&](beast::error_code readError, std::size_t) { isDone = !readError; });
            });
        });
    context.run();
    if (!isDone)
        return { 0, {} };
    return { response.result_int(), response.body() };
}

/// Everything together.
class World {
public:
    explicit World(Record& record)
        : record(record)
        , store(context)
        , cloud(context)
        , guard_(asio::make_work_guard(context))
    {
        char name[] = "/tmp/turmericsill-case-XXXXXX";
        folder = ::mkdtemp(name);
        cloud.log = [this](const std::string& line) { this->record.write(line); };
        thread_ = std::thread([this] { context.run(); });
    }

    ~World()
    {
        entries.clear();
        guard_.reset();
        context.stop();
        thread_.join();
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(folder);
    }

    /// Runs an action in the thread of the servers.
    template <typename Action> auto run(Action action) -> decltype(action())
    {
        std::packaged_task<decltype(action())()> task(action);
        auto result = task.get_future();
        asio::post(context, [&task] { task(); });
        return result.get();
    }

    void addWorker(const std::string& machine, const std::string& service, const std::string& rack, std::int64_t cpu)
    {
        run([&] {
            auto worker
                = std::make_shared<Worker>(context, store, tasks, "w-" + machine, machine, service, rack, cpu);
            worker->peers = &workers;
            workers.push_back(worker);
            worker->start();
            cloud.machines[machine] = { service, "up", worker, {} };
        });
    }

    void configure(const json& routes, const json& services)
    {
        run([&] {
            store.put("keyed.op", "config",
                json { { "version", ++version_ }, { "routes", routes }, { "services", services },
                    { "limits", json::object() } }
                    .dump());
        });
    }

    void addEntry(const std::string& name, int memoryMb)
    {
        const char* program = std::getenv("ENTRY");
        entries.push_back(std::make_unique<Entry>(program ? program : "target/src/entryd/turmericsill-entry", folder,
            name, store.address(), cloud.address(), memoryMb));
        entries.back()->start();
    }

    /// Whether the entry is ready within the time.
    static bool awaitReady(const Entry& entry, milliseconds time)
    {
        for (const auto until = Clock::now() + time; Clock::now() < until;) {
            if (call(entry.health(), "GET", "/turmericsill/readyz", {}, milliseconds(500)).first == 200)
                return true;
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }

    Record& record;
    asio::io_context context;
    Tasks tasks;
    Store store;
    Cloud cloud;
    std::vector<std::shared_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Entry>> entries;
    std::string folder;

private:
    std::uint64_t version_ = 0;
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::thread thread_;
};

inline void sleepMs(std::int64_t time) { std::this_thread::sleep_for(milliseconds(time)); }

inline std::string jobId(std::uint64_t number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

inline bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

inline json route(const std::string& name, const std::string& service, int maximumAttempts = 4)
{
    return { { "name", name }, { "host", "calls.example" }, { "path_prefix", "/" + name + "/" }, { "service", service },
        { "priority", 0 }, { "max_attempts", maximumAttempts }, { "stretch", 1.6 }, { "slo_ms", 600 } };
}

/// Asks one entry after the other, as clients and the balancer do, until one answers; at most 4 attempts.
inline std::pair<unsigned, std::string> callAny(
    World& world, const std::string& method, const std::string& path, const std::string& body, std::size_t first)
{
    std::pair<unsigned, std::string> answer;
    for (std::size_t attempt = 0; attempt < 4; ++attempt) {
        answer = call(world.entries[(first + attempt) % world.entries.size()]->callers(), method, path, body);
        if (answer.first == 200 || answer.first == 410 || answer.first == 400)
            break;
        sleepMs(100);
    }
    return answer;
}

/// Hands in jobs of one short task each, and returns the ids of those that were accepted.
inline std::vector<std::string> submitOrdinaryJobs(World& world, std::uint64_t firstId, int count)
{
    const std::string body = json { { "spec", "call" },
        { "steps", json::array({ { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 64 }, { "estimate_ms", 1000 } } }) } }
                                 .dump();
    std::vector<std::string> accepted;
    for (int i = 0; i < count; ++i) {
        const std::string id = jobId(firstId + i);
        const auto [status, text] = callAny(world, "POST", "/calls/" + id, body, i);
        world.record.write("POST /calls/" + id + " -> " + std::to_string(status));
        if (status == 200)
            accepted.push_back(id);
    }
    return accepted;
}

/// Asks for the state of each job, and returns how many are shown as completed.
inline int countCompleted(World& world, const std::vector<std::string>& jobs)
{
    int completed = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const auto [status, text] = callAny(world, "GET", "/calls/" + jobs[i], {}, i);
        world.record.write("GET /calls/" + jobs[i] + " -> " + std::to_string(status) + " " + text);
        completed += status == 200 && text.find("completed") != std::string::npos;
    }
    return completed;
}

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

} // namespace world
