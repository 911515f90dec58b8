// Stand-in for the platform's store, machine control, advice and workers, after the published protocol. All state is
// guarded by one mutex; a change wakes every long poll.
#pragma once

#include "net.h"

#include <condition_variable>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>

namespace standin {

using net::Clock;
using net::Ms;
using net::Request;
using net::Response;
using nlohmann::json;

/// Writes what was sent, answered and run, with the time since the start in seconds.
class Record {
public:
    explicit Record(const std::string& path)
        : out_(path)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f  ", std::chrono::duration<double>(Clock::now() - start_).count());
        out_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    Clock::time_point start_ = Clock::now();
};

struct Bounds {
    std::int64_t keepMs = 300000;
    std::size_t recordBytes = 262144;
    std::size_t callBytes = 2097152;
    Ms append { 2 };
    std::int64_t holdMaxMs = 10000;
    Ms stop { 20 };
    Ms move { 1500 };
    Ms save { 2000 };
    Ms gang { 3000 };
    Ms beat { 1500 };
    int parts = 32;
};

inline std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int i = bytes - 1; i >= 0; --i)
        out += static_cast<char>(value >> (8 * i) & 255);
    return out;
}

/// A topic with one partition in use.
struct Topic {
    std::deque<std::string> records;
    std::deque<Clock::time_point> times;
    std::uint64_t first = 0; ///< Offset of the first retained record.
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest; ///< Value and offset by key, if keyed.
    struct Producer {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::deque<std::pair<std::uint64_t, std::string>> answers;
    };
    std::map<std::string, Producer> producers;
    Clock::time_point freeAt {}; ///< When the partition takes the next append.

    std::uint64_t end() const { return first + records.size(); }
};

/// How the tasks of a step behave.
struct Task {
    bool lasts = false;
    std::int64_t workMs = 500;
    std::int64_t cpu = 0;
    std::size_t checkpointBytes = 0; ///< Length of a checkpoint; 0 for tasks without any.
    int gang = 0; ///< Number of members; 0 for tasks that work by themselves.
    std::string requiredLabel {};
};

struct Run {
    int number = 0;
    Task task;
    Clock::time_point startedAt; ///< For a member of a gang, when all members were there.
    std::optional<Clock::time_point> stopsAt;
    std::string resumedFrom; ///< Checkpoint of the start.
    bool isAtWork = true; ///< False for a member of a gang that waits for the others.
};

struct End {
    std::uint64_t number;
    std::string task;
    int run;
    std::string how;
    std::string saved;
};

/// One life of a machine.
struct Worker {
    std::string id;
    std::int64_t born = 0;
    Clock::time_point start;
    std::map<std::string, Run> running;
    std::map<std::string, int> barred; ///< Highest run of each task that was stopped or has ended here.
    std::deque<End> ended;
    std::uint64_t ends = 0;
    std::uint64_t token = 0;
    std::int64_t leaseEnd = 0;

    std::int64_t clock() const { return std::chrono::duration_cast<Ms>(Clock::now() - start).count() + 1000; }
};

struct Machine {
    std::string name;
    std::string pool;
    std::string state = "up";
    json labels;
    std::int64_t cpu = 64000;
    std::unique_ptr<Worker> worker;
    std::unique_ptr<net::Server> server;
    Clock::time_point backAt {};
    std::optional<json> labelsAfterCrash;
    Ms registersAfter { 0 };
    std::string formerId; ///< Id under which the machine's worker starts again after a crash.
    Clock::time_point beatAt {};
    std::uint64_t sequence = 0;
    std::uint64_t highestToken = 0; ///< Of the orders for this machine.
    std::string highestHolder;
};

class Platform {
public:
    Platform(Record& record, Bounds bounds)
        : record_(record)
        , bounds_(bounds)
        , store_([this](const Request& request) { return serveStore(request); })
        , cloud_([this](const Request& request) { return serveCloud(request); })
        , advice_([this](const Request& request) { return serveAdvice(request); })
    {
        std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(Ms(5));
                const std::lock_guard<std::mutex> lock(mutex_);
                advance();
            }
        }).detach();
    }

    std::uint16_t storePort() const { return store_.port(); }
    std::uint16_t cloudPort() const { return cloud_.port(); }
    std::uint16_t advicePort() const { return advice_.port(); }

    void addMachine(const std::string& name, const std::string& pool, json labels)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto machine = std::make_unique<Machine>();
        machine->name = name;
        machine->pool = pool;
        machine->labels = std::move(labels);
        Machine* raw = machine.get();
        machine->server
            = std::make_unique<net::Server>([this, raw](const Request& request) { return serveWorker(*raw, request); });
        machines_[name] = std::move(machine);
        startWorker(*raw);
    }

    void declare(const std::string& key, const json& value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        append(topics_["keyed.op"], true, { keyed(key, value.dump()) });
    }

    /// Sets how the tasks of a step behave; `step` is ID.STEP.
    void defineStep(const std::string& step, Task task)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        steps_[step] = task;
    }

    /// Sets which labels' workers the advice names for an occurrence; the last entry holds for all later ones.
    void setAdvice(std::vector<std::string> labelByOccurrence)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        adviceLabels_ = std::move(labelByOccurrence);
    }

    /// Makes appends take longer, as a slow store does.
    void setAppendTime(Ms time)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        bounds_.append = time;
    }

    /// Number of starts of the tasks whose name begins so, and whether one of them ended "done".
    int starts(const std::string& prefix)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        int count = 0;
        for (auto at = startsOf_.lower_bound(prefix);
             at != startsOf_.end() && at->first.compare(0, prefix.size(), prefix) == 0; ++at)
            count += at->second;
        return count;
    }

    std::int64_t freeCpu(const std::string& machine)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const Machine& found = *machines_.at(machine);
        return found.worker ? found.cpu - usedCpu(*found.worker) : 0;
    }

    int machinesIn(const std::string& pool)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return static_cast<int>(std::count_if(machines_.begin(), machines_.end(),
            [&](const auto& entry) { return entry.second->pool == pool && entry.second->state == "up"; }));
    }

    /// Orders for a machine with a lower token than an earlier one, where fences aren't checked.
    std::vector<std::string> staleOrders()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return staleOrders_;
    }

    /// Runs of gangs whose members were told to start from different checkpoints.
    std::vector<std::string> unevenGangs()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<std::string> uneven;
        for (const auto& [gang, checkpoints] : gangStarts_) {
            const auto differs = [&](const auto& member) { return member.second != checkpoints.begin()->second; };
            if (std::any_of(checkpoints.begin(), checkpoints.end(), differs))
                uneven.push_back(gang);
        }
        return uneven;
    }

    /// Crashes the worker on which a task runs; another life of its machine starts `downFor` later, under the same id.
    bool crashWorkerOf(const std::string& task, Ms downFor)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto& [name, machine] : machines_) {
            if (!machine->worker || !machine->worker->running.count(task))
                continue;
            crash(*machine, downFor);
            return true;
        }
        return false;
    }

    /// The same for a machine; the new life is of another kind and is in the store `registersAfter` its start.
    void crashMachine(const std::string& name, Ms downFor, json labels, Ms registersAfter)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        crash(*machines_.at(name), downFor);
        machines_.at(name)->labelsAfterCrash = std::move(labels);
        machines_.at(name)->registersAfter = registersAfter;
    }

    /// Starts on workers without the required label.
    std::vector<std::string> misplacedStarts()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return misplacedStarts_;
    }

    std::uint64_t refusedAppends()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return refusedAppends_;
    }

private:
    using Lock = std::unique_lock<std::mutex>;

    static std::string keyed(const std::string& key, const std::string& value)
    {
        return std::string(1, static_cast<char>(key.size())) + key + value;
    }

    static Response answer(int status, const json& body) { return { status, body.dump(), false }; }

    std::uint64_t append(Topic& topic, bool isKeyed, const std::vector<std::string>& records)
    {
        const std::uint64_t offset = topic.end();
        for (const auto& content : records) {
            if (isKeyed && !content.empty()) {
                const std::size_t length = static_cast<unsigned char>(content[0]);
                const std::string key = content.substr(1, length);
                const std::string value = content.substr(1 + length);
                if (value.empty())
                    topic.newest.erase(key);
                else
                    topic.newest[key] = { value, topic.end() };
            }
            topic.records.push_back(content);
            topic.times.push_back(Clock::now());
        }
        changed_.notify_all();
        return offset;
    }

    void expire(Topic& topic)
    {
        const auto before = Clock::now() - Ms(bounds_.keepMs);
        while (!topic.times.empty() && topic.times.front() < before) {
            topic.times.pop_front();
            topic.records.pop_front();
            ++topic.first;
        }
    }

    Response serveStore(const Request& request)
    {
        const std::string name = request.path.substr(request.path.rfind('/') + 1);
        if (name == "log-append")
            return appendRecords(request);
        if (name == "log-read")
            return readRecords(request);
        if (name == "log-newest")
            return readNewest(request);
        if (name == "log-join" || name == "log-leave" || name == "log-owners")
            return serveGroup(name, request);
        return answer(404, json::object());
    }

    Response appendRecords(const Request& request)
    {
        const std::string topicName = request.parameter("topic");
        const bool isKeyed = topicName.compare(0, 6, "keyed.") == 0;
        if (topicName == "keyed.op" || topicName == "keyed.servers")
            return answer(403, json::object());
        std::vector<std::string> records;
        std::size_t total = 0;
        bool isTooLarge = false;
        for (std::size_t at = 0; at + 4 <= request.body.size();) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(request.body[at + i]);
            if (at + 4 + length > request.body.size())
                return answer(400, { { "error", "truncated record" } });
            records.push_back(request.body.substr(at + 4, length));
            total += length;
            isTooLarge |= length > bounds_.recordBytes;
            at += 4 + length;
        }
        if (isTooLarge || total > bounds_.callBytes) {
            const Lock lock(mutex_);
            if (++refusedAppends_ <= 20)
                record_.line("store refuses an append to " + topicName + ": " + std::to_string(records.size())
                    + " records, " + std::to_string(total) + " bytes in all; record_bytes "
                    + std::to_string(bounds_.recordBytes));
            return answer(400, { { "error", "record_bytes or call_bytes exceeded" } });
        }
        Lock lock(mutex_);
        Topic& topic = topics_[topicName];
        // A partition takes one append after the other.
        const auto begin = std::max(Clock::now(), topic.freeAt);
        if (begin - Clock::now() > Ms(2000))
            return answer(503, json::object());
        const auto done = begin + bounds_.append;
        topic.freeAt = done;
        while (Clock::now() < done)
            changed_.wait_until(lock, done);
        expire(topic);
        if (!request.parameter("at").empty() && request.number("at") != topic.end())
            return answer(412, { { "end", topic.end() } });
        const std::string producerName = request.parameter("producer");
        if (producerName.empty()) {
            const std::uint64_t offset = append(topic, isKeyed, records);
            return answer(200, { { "offset", offset }, { "end", topic.end() } });
        }
        Topic::Producer& producer = topic.producers[producerName];
        const std::uint64_t epoch = request.number("epoch");
        const std::uint64_t sequence = request.number("seq");
        if (epoch < producer.epoch)
            return answer(409, { { "reason", "fenced" } });
        if (epoch > producer.epoch) {
            producer = {};
            producer.epoch = epoch;
        } else {
            for (const auto& [earlier, body] : producer.answers) {
                if (earlier == sequence)
                    return { 200, body, false };
            }
            if (!producer.answers.empty() && sequence != producer.sequence + 1)
                return answer(409, { { "reason", "seq" }, { "expected", producer.sequence + 1 } });
        }
        producer.sequence = sequence;
        const std::uint64_t offset = append(topic, isKeyed, records);
        const std::string body = json { { "offset", offset }, { "end", topic.end() } }.dump();
        producer.answers.emplace_back(sequence, body);
        if (producer.answers.size() > 5)
            producer.answers.pop_front();
        return { 200, body, false };
    }

    Response readRecords(const Request& request)
    {
        Lock lock(mutex_);
        Topic& topic = topics_[request.parameter("topic")];
        const std::uint64_t from = request.number("from");
        const auto until = Clock::now() + Ms(request.number("wait_ms"));
        while (from >= topic.end() && Clock::now() < until)
            changed_.wait_until(lock, until);
        expire(topic);
        if (from < topic.first)
            return answer(410, { { "first", topic.first } });
        const std::size_t limit = 1024 * (request.parameter("max_kb").empty() ? 1024 : request.number("max_kb"));
        std::string body = bigEndian(topic.end(), 8) + bigEndian(topic.first, 8);
        for (std::uint64_t at = from; at < topic.end(); ++at) {
            const std::string& content = topic.records[at - topic.first];
            if (at > from && body.size() + content.size() > limit)
                break;
            body += bigEndian(content.size(), 4) + content;
        }
        return { 200, body, false };
    }

    Response readNewest(const Request& request)
    {
        const Lock lock(mutex_);
        const Topic& topic = topics_[request.parameter("topic")];
        const std::string after = request.parameter("depends_on");
        json items = json::array();
        std::size_t bytes = 0;
        bool hasMore = false;
        for (auto at = after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after); at != topic.newest.end();
             ++at) {
            if (items.size() == 500 || bytes > 1000000) {
                hasMore = true;
                break;
            }
            bytes += at->second.first.size();
            items.push_back(
                { { "key", at->first }, { "value", base64(at->second.first) }, { "offset", at->second.second } });
        }
        return answer(200, { { "items", std::move(items) }, { "has_more", hasMore }, { "end", topic.end() } });
    }

    struct Group {
        std::uint64_t generation = 0;
        std::map<std::string, Clock::time_point> aliveUntil;
        std::map<std::string, std::uint64_t> joinedGeneration;
        std::map<std::pair<std::string, int>, std::string> owners;
        std::set<std::string> topics;
    };

    void expireMembers(Group& group)
    {
        for (auto member = group.aliveUntil.begin(); member != group.aliveUntil.end();) {
            if (member->second > Clock::now()) {
                ++member;
                continue;
            }
            ++group.generation;
            member = group.aliveUntil.erase(member);
        }
    }

    /// The member to which a partition belongs once all have joined under the present generation.
    std::string wantedOwner(const Group& group, int index) const
    {
        auto member = group.aliveUntil.begin();
        std::advance(member, index % static_cast<int>(group.aliveUntil.size()));
        return member->first;
    }

    Response serveGroup(const std::string& name, const Request& request)
    {
        const Lock lock(mutex_);
        const json body = json::parse(request.body, nullptr, false);
        const std::string groupName
            = name == "log-owners" ? request.parameter("group") : body.value("group", std::string());
        Group& group = groups_[groupName];
        expireMembers(group);
        const std::string member = body.is_object() ? body.value("member", std::string()) : std::string();
        if (name == "log-leave") {
            if (group.aliveUntil.erase(member))
                ++group.generation;
            return answer(200, json::object());
        }
        if (name == "log-join") {
            for (const auto& topic : body.at("topics"))
                group.topics.insert(topic.get<std::string>());
            if (!group.aliveUntil.count(member))
                ++group.generation;
            group.aliveUntil[member] = Clock::now() + Ms(body.value("ttl_ms", 3000));
            group.joinedGeneration[member] = body.value("generation", std::uint64_t(0));
        }
        json rows = json::array();
        int index = 0;
        bool isReassigned = false;
        for (const auto& topic : group.topics) {
            for (int part = 0; part < bounds_.parts; ++part, ++index) {
                if (group.aliveUntil.empty())
                    continue;
                const std::string wanted = wantedOwner(group, index);
                std::string& owner = group.owners[{ topic, part }];
                // Its holder keeps a partition until it has joined under the generation that takes it away.
                if (owner != wanted
                    && (!group.aliveUntil.count(owner) || group.joinedGeneration[owner] >= group.generation)) {
                    isReassigned |= !owner.empty();
                    owner = wanted;
                }
                if (name == "log-owners")
                    rows.push_back(json::array({ topic, part, owner, 0 }));
                else if (owner == member && wanted == member)
                    rows.push_back(json::array({ topic, part, 0 }));
            }
        }
        // The generation rises with each change of the members and of the distribution.
        if (isReassigned)
            ++group.generation;
        if (name == "log-owners")
            return answer(200, { { "parts", std::move(rows) } });
        return answer(200,
            { { "generation", group.generation }, { "ttl_ms", body.value("ttl_ms", 3000) },
                { "parts", std::move(rows) } });
    }

    void startWorker(Machine& machine)
    {
        machine.worker = std::make_unique<Worker>();
        machine.worker->id = machine.formerId.empty() ? "i-" + machine.name.substr(2) + "-" + std::to_string(++lives_)
                                                      : machine.formerId;
        machine.formerId.clear();
        machine.worker->born = net::unixMs();
        machine.worker->start = Clock::now();
        machine.state = "up";
        if (machine.labelsAfterCrash) {
            machine.labels = *std::exchange(machine.labelsAfterCrash, std::nullopt);
            record_.line("worker " + machine.worker->id + " starts again as " + machine.labels.dump());
        }
        machine.beatAt = Clock::now() + std::exchange(machine.registersAfter, Ms(0));
        if (machine.beatAt <= Clock::now())
            beat(machine);
    }

    void crash(Machine& machine, Ms downFor)
    {
        record_.line("worker " + machine.worker->id + " crashes with " + std::to_string(machine.worker->running.size())
            + " tasks");
        machine.formerId = machine.worker->id;
        machine.worker.reset();
        machine.server->dropConnections();
        machine.backAt = Clock::now() + downFor;
        changed_.notify_all();
    }

    void endWorker(Machine& machine, const std::string& why)
    {
        if (!machine.worker)
            return;
        record_.line("worker " + machine.worker->id + " ends (" + why + ") with "
            + std::to_string(machine.worker->running.size()) + " tasks");
        append(topics_["keyed.servers"], true, { keyed(machine.worker->id, "") });
        machine.worker.reset();
        machine.server->dropConnections();
    }

    void beat(Machine& machine)
    {
        machine.beatAt = Clock::now() + bounds_.beat;
        const json entry { { "service", machine.pool },
            { "address", "127.0.0.1:" + std::to_string(machine.server->port()) }, { "zone", "here" },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 },
            { "seq", ++machine.sequence }, { "born", machine.worker->born }, { "machine", machine.name },
            { "labels", machine.labels }, { "capacity", { { "cpu", machine.cpu }, { "mem_mb", 131072 } } },
            { "clock_ms", machine.worker->clock() } };
        append(topics_["keyed.servers"], true, { keyed(machine.worker->id, entry.dump()) });
    }

    static std::int64_t usedCpu(const Worker& worker)
    {
        std::int64_t used = 0;
        for (const auto& [name, run] : worker.running)
            used += run.task.cpu;
        return used;
    }

    /// Latest checkpoint of a run: one for each `save` of work, and one at a stop. Members of a gang share it.
    std::string checkpointOf(const std::string& task, const Run& run, bool isStopped) const
    {
        const auto worked = Clock::now() - run.startedAt;
        const auto saves = run.isAtWork ? worked / bounds_.save : 0;
        if (run.task.checkpointBytes == 0 || !run.isAtWork || (saves == 0 && !isStopped))
            return run.resumedFrom;
        const std::string owner = run.task.gang > 0 ? task.substr(0, task.rfind('.')) : task;
        std::string value
            = owner + "/" + std::to_string(run.number) + "/" + std::to_string(saves) + (isStopped ? "/stop" : "");
        value.resize(std::max(value.size(), run.task.checkpointBytes), '0');
        return value;
    }

    void endRun(Worker& worker, std::map<std::string, Run>::iterator run, const std::string& how)
    {
        std::string saved = how == "done" ? std::string() : checkpointOf(run->first, run->second, how == "stopped");
        worker.ended.push_back({ ++worker.ends, run->first, run->second.number, how, std::move(saved) });
        int& barred = worker.barred[run->first];
        barred = std::max(barred, run->second.number);
        if (startsOf_.size() < 2000)
            record_.line("worker " + worker.id + ": " + run->first + " run " + std::to_string(run->second.number)
                + " ends " + how);
        worker.running.erase(run);
        changed_.notify_all();
    }

    /// Name of a gang's run: ID.K.STEP/RUN.
    static std::string gangOf(const std::string& task, int run)
    {
        return task.substr(0, task.rfind('.')) + "/" + std::to_string(run);
    }

    /// Members work once all are there, end "broken" when one has ended, "alone" when the others don't come, and "done"
    /// together.
    void advanceGangs()
    {
        const auto now = Clock::now();
        std::map<std::string, std::vector<std::pair<Worker*, std::string>>> members;
        for (auto& [name, machine] : machines_) {
            if (!machine->worker)
                continue;
            for (const auto& [task, run] : machine->worker->running) {
                if (run.task.gang > 0)
                    members[gangOf(task, run.number)].emplace_back(machine->worker.get(), task);
            }
        }
        for (const auto& [gang, present] : members) {
            const Run& first = present.front().first->running.at(present.front().second);
            const bool isComplete = static_cast<int>(present.size()) == first.task.gang;
            std::string how;
            if (isComplete && gangsAtWork_.insert(gang).second) {
                record_.line("gang " + gang + " is at work");
                for (const auto& [worker, task] : present) {
                    worker->running.at(task).startedAt = now;
                    worker->running.at(task).isAtWork = true;
                }
            } else if (!isComplete && gangsAtWork_.count(gang)) {
                how = "broken";
            } else if (isComplete && now >= first.startedAt + Ms(first.task.workMs)) {
                how = "done";
            }
            for (const auto& [worker, task] : present) {
                const auto run = worker->running.find(task);
                if (!how.empty())
                    endRun(*worker, run, how);
                else if (!gangsAtWork_.count(gang) && now >= run->second.startedAt + bounds_.gang)
                    endRun(*worker, run, "alone");
            }
        }
    }

    void advance()
    {
        advanceGangs();
        const auto now = Clock::now();
        for (auto& [name, machine] : machines_) {
            if (!machine->worker) {
                if (machine->backAt != Clock::time_point() && now >= machine->backAt) {
                    machine->backAt = {};
                    startWorker(*machine);
                }
                continue;
            }
            Worker& worker = *machine->worker;
            const bool hasLapsed = worker.clock() > worker.leaseEnd;
            for (auto run = worker.running.begin(); run != worker.running.end();) {
                const auto current = run++;
                const bool isDone = !current->second.task.lasts && current->second.task.gang == 0
                    && now >= current->second.startedAt + Ms(current->second.task.workMs);
                if (current->second.stopsAt && now >= *current->second.stopsAt)
                    endRun(worker, current, "stopped");
                else if (isDone)
                    endRun(worker, current, "done");
                else if (hasLapsed)
                    endRun(worker, current, "lapsed");
            }
            if (now >= machine->beatAt)
                beat(*machine);
        }
    }

    Response serveWorker(Machine& machine, const Request& request)
    {
        Lock lock(mutex_);
        advance();
        if (!machine.worker)
            return { 0, "", true };
        Worker& worker = *machine.worker;
        if (request.header("x-expect-instance") != worker.id)
            return answer(421, json::object());
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return answer(400, json::object());
        const std::uint64_t token = body.value("fencing_token", std::uint64_t(0));
        if (token < worker.token)
            return answer(409, { { "clock_ms", worker.clock() }, { "born", worker.born }, { "reason", "fence" } });
        worker.token = token;
        if (body.contains("deadline_ms"))
            worker.leaseEnd = std::max(worker.leaseEnd,
                std::min(body.at("deadline_ms").get<std::int64_t>(), worker.clock() + bounds_.holdMaxMs));
        const std::string call = request.path.substr(request.path.rfind('/') + 1);
        if (call == "hold")
            return hold(machine, body, lock);
        const std::string task = body.value("task", std::string());
        const int run = body.value("run", 0);
        if (call == "run-stop") {
            int& barred = worker.barred[task];
            barred = std::max(barred, run);
            const auto found = worker.running.find(task);
            if (found != worker.running.end() && found->second.number <= run && !found->second.stopsAt)
                found->second.stopsAt = Clock::now() + bounds_.stop;
        } else if (call == "run-start") {
            const auto found = worker.running.find(task);
            if (found != worker.running.end() && found->second.number == run)
                return answer(200, { { "clock_ms", worker.clock() }, { "born", worker.born } });
            std::string reason;
            if (found != worker.running.end() || (worker.barred.count(task) && worker.barred[task] >= run))
                reason = "old";
            else if (body.value("deadline_ms", std::int64_t(0)) <= worker.clock())
                reason = "late";
            else if (needsTicket(task) && body.value("ticket", std::string()) != ticketFor(task, worker.id))
                reason = "ticket";
            if (!reason.empty())
                return answer(409, { { "clock_ms", worker.clock() }, { "born", worker.born }, { "reason", reason } });
            const Task& kind = steps_[stepOf(task)];
            const std::string checkpoint = body.value("checkpoint", std::string());
            worker.running[task] = { run, kind, Clock::now(), std::nullopt, checkpoint, kind.gang == 0 };
            if (kind.gang > 0)
                gangStarts_[gangOf(task, run)][task] = checkpoint;
            ++startsOf_[task];
            const auto hasLabel = std::any_of(machine.labels.begin(), machine.labels.end(),
                [&](const json& one) { return one == kind.requiredLabel; });
            if (!kind.requiredLabel.empty() && !hasLabel)
                misplacedStarts_.push_back(task + " on " + worker.id + " of " + machine.labels.dump());
            if (startsOf_.size() < 2000)
                record_.line("worker " + worker.id + " starts " + task + " run " + std::to_string(run) + " token "
                    + std::to_string(token) + (kind.gang > 0 ? " checkpoint \"" + checkpoint + "\"" : ""));
        }
        return answer(200, { { "clock_ms", worker.clock() }, { "born", worker.born } });
    }

    Response hold(Machine& machine, const json& body, Lock& lock)
    {
        const std::string id = machine.worker->id;
        auto forget = [&] {
            auto& ended = machine.worker->ended;
            while (!ended.empty() && ended.front().number <= body.value("ack_offset", std::uint64_t(0)))
                ended.pop_front();
        };
        forget();
        const auto until = Clock::now() + Ms(std::min<std::int64_t>(body.value("wait_ms", std::int64_t(0)), 2000));
        while (machine.worker && machine.worker->id == id && machine.worker->ended.empty() && Clock::now() < until)
            changed_.wait_until(lock, until);
        if (!machine.worker || machine.worker->id != id)
            return { 0, "", true };
        const Worker& worker = *machine.worker;
        json running = json::array();
        for (const auto& [task, run] : worker.running) {
            const auto worked = std::chrono::duration_cast<Ms>(Clock::now() - run.startedAt).count();
            const int percent = run.task.lasts ? 100
                                               : static_cast<int>(std::min<std::int64_t>(
                                                   99, 100 * worked / std::max<std::int64_t>(1, run.task.workMs)));
            running.push_back(json::array({ task, run.number, checkpointOf(task, run, false), percent, run.task.cpu }));
        }
        json ended = json::array();
        for (const auto& end : worker.ended) {
            if (ended.size() == 500)
                break;
            ended.push_back(json::array({ end.number, end.task, end.run, end.how, end.saved }));
        }
        return answer(200,
            { { "clock_ms", worker.clock() }, { "born", worker.born }, { "running", std::move(running) },
                { "ended", std::move(ended) } });
    }

    /// ID.STEP of a task's name ID.K.STEP.INDEX.
    static std::string stepOf(const std::string& task)
    {
        const auto occurrence = task.find('.');
        const auto step = task.find('.', occurrence + 1);
        const auto index = task.find('.', step + 1);
        return task.substr(0, occurrence) + "." + task.substr(step + 1, index - step - 1);
    }

    bool needsTicket(const std::string& task) const
    {
        return !adviceLabels_.empty() && steps_.count(stepOf(task)) && steps_.at(stepOf(task)).cpu == adviceCpu_;
    }

    /// The ticket for the step of a task, named ID.K.STEP, on a worker.
    static std::string ticketFor(const std::string& task, const std::string& worker)
    {
        return "t-" + task.substr(0, task.rfind('.')) + "-" + worker;
    }

    Response serveAdvice(const Request& request)
    {
        const json body = json::parse(request.body, nullptr, false);
        const std::string step = body.value("step", std::string());
        std::this_thread::sleep_for(Ms(20));
        const Lock lock(mutex_);
        const auto first = step.find('.');
        const std::size_t occurrence = std::strtoull(step.c_str() + first + 1, nullptr, 10);
        const std::string label
            = adviceLabels_.empty() ? "" : adviceLabels_[std::min(occurrence, adviceLabels_.size() - 1)];
        json good = json::array();
        for (const auto& asked : body.at("workers")) {
            for (const auto& [name, machine] : machines_) {
                const bool isAsked = machine->worker && machine->worker->id == asked.get<std::string>();
                const bool isGood = std::any_of(
                    machine->labels.begin(), machine->labels.end(), [&](const json& one) { return one == label; });
                if (isAsked && isGood)
                    good.push_back(json::array({ machine->worker->id, ticketFor(step + ".0", machine->worker->id) }));
            }
        }
        record_.line("advice on " + step + ": " + good.dump());
        return answer(200, { { "good", std::move(good) }, { "valid_ms", 10000 } });
    }

    Response serveCloud(const Request& request)
    {
        const Lock lock(mutex_);
        advance();
        const std::string call = request.path.substr(request.path.rfind('/') + 1);
        if (call == "machines") {
            json list = json::array();
            for (const auto& [name, machine] : machines_)
                list.push_back({ { "machine", name }, { "pool", machine->pool }, { "state", machine->state },
                    { "zone", "here" }, { "labels", machine->labels },
                    { "capacity", { { "cpu", machine->cpu }, { "mem_mb", 131072 } } },
                    { "id", machine->worker ? machine->worker->id : "" } });
            return answer(200, { { "machines", std::move(list) }, { "next_token", nullptr } });
        }
        const json body = json::parse(request.body, nullptr, false);
        const auto found = machines_.find(body.value("machine", std::string()));
        if (call != "machine-move" || found == machines_.end())
            return answer(400, json::object());
        Machine& machine = *found->second;
        const std::uint64_t token = std::strtoull(request.header("x-fencing-token").c_str(), nullptr, 10);
        const std::string holder = request.header("x-lease-holder");
        const std::string pool = body.value("pool", std::string());
        std::string line
            = "order: move " + machine.name + " to " + pool + ", holder " + holder + ", token " + std::to_string(token);
        if (token < machine.highestToken) {
            line += "; BEHIND token " + std::to_string(machine.highestToken) + " of " + machine.highestHolder;
            staleOrders_.push_back(line);
        } else {
            machine.highestToken = token;
            machine.highestHolder = holder;
        }
        if (machine.state != "up" && machine.pool != pool) {
            record_.line(line + " -> 409 busy");
            return answer(409, { { "reason", "busy" } });
        }
        if (machine.pool != pool) {
            endWorker(machine, "moved");
            machine.pool = pool;
            machine.state = "moving";
            machine.backAt = Clock::now() + bounds_.move;
            line += " -> 200";
        } else {
            line += " -> 200, done already";
        }
        record_.line(line);
        return answer(200, json::object());
    }

public:
    void setAdviceCpu(std::int64_t cpu) { adviceCpu_ = cpu; }

private:
    Record& record_;
    Bounds bounds_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Topic> topics_;
    std::map<std::string, Group> groups_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::map<std::string, Task> steps_;
    std::map<std::string, int> startsOf_;
    std::set<std::string> gangsAtWork_;
    std::map<std::string, std::map<std::string, std::string>> gangStarts_; ///< Checkpoints by gang's run and task.
    std::vector<std::string> adviceLabels_;
    std::int64_t adviceCpu_ = -1; ///< Tasks of queues with advice are told by their processor time.
    std::vector<std::string> staleOrders_;
    std::vector<std::string> misplacedStarts_;
    std::uint64_t refusedAppends_ = 0;
    int lives_ = 0;
    net::Server store_;
    net::Server cloud_;
    net::Server advice_;
};

} // namespace standin
