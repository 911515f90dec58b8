// Stand-in of the platform, by the users' pages: the store (log, keyed topics, group), workers with leases, the list of
// machines, entries as processes, and clients. All of it in one process but the entries, on loopback ports.
#pragma once

#include "net.h"

#include <condition_variable>
#include <deque>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace standin {

using nlohmann::json;

// What happened, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
    {
    }

    void write(const std::string& line)
    {
        std::lock_guard lock(mutex_);
        const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - begunAt_).count();
        file_ << at << " ms  " << line << std::endl;
    }

    std::int64_t now() const { return std::chrono::duration_cast<milliseconds>(Clock::now() - begunAt_).count(); }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point begunAt_ = Clock::now();
};

inline std::string encodeBase64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = (group << 8) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[(group >> (18 - 6 * j)) & 63];
    }
    return text;
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text += static_cast<char>((value >> shift) & 255);
    return text;
}

// The metadata store. Records that are older than `keep` are deleted; keyed topics keep the newest of each key.
class Store {
public:
    explicit Store(milliseconds keep)
        : keep_(keep)
        , server_([this](const Request& request) { return serve(request); })
    {
        server_.start();
    }
    ~Store()
    {
        isStopping_ = true;
        changed_.notify_all();
        server_.stop();
    }

    std::string address() const { return server_.address(); }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        std::lock_guard lock(mutex_);
        append(topic, { std::string(1, static_cast<char>(key.size())) + key + value });
    }

    std::uint64_t firstOffset(const std::string& topic)
    {
        std::lock_guard lock(mutex_);
        expire(topics_[topic]);
        return topics_[topic].first;
    }

private:
    struct Entry {
        std::string bytes;
        Clock::time_point storedAt;
    };
    struct Producer {
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
        std::map<std::uint64_t, std::string> answers; // Of the last five appends.
        bool isKnown = false;
    };
    struct Topic {
        std::uint64_t first = 0;
        std::deque<Entry> records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
        std::map<std::string, Producer> producers;
        std::uint64_t end() const { return first + records.size(); }
    };
    struct Member {
        Clock::time_point expiresAt;
        std::uint64_t generation = 0;
        std::set<std::string> topics;
    };

    static Response answer(int status, const json& body) { return { status, body.dump() }; }

    void expire(Topic& topic)
    {
        while (!topic.records.empty() && Clock::now() - topic.records.front().storedAt > keep_) {
            topic.records.pop_front();
            ++topic.first;
        }
    }

    std::uint64_t append(const std::string& name, const std::vector<std::string>& records)
    {
        Topic& topic = topics_[name];
        const std::uint64_t offset = topic.end();
        for (const auto& bytes : records) {
            if (name.compare(0, 6, "keyed.") == 0 && !bytes.empty()) {
                const std::size_t length = static_cast<unsigned char>(bytes[0]);
                const std::string key = bytes.substr(1, length);
                const std::string value = bytes.substr(std::min(bytes.size(), 1 + length));
                if (value.empty())
                    topic.newest.erase(key);
                else
                    topic.newest[key] = { value, topic.end() };
            }
            topic.records.push_back({ bytes, Clock::now() });
        }
        changed_.notify_all();
        return offset;
    }

    Response serve(const Request& request)
    {
        const std::string name = request.path.substr(request.path.rfind('/') + 1);
        if (name == "log-append")
            return serveAppend(request);
        if (name == "log-read")
            return serveRead(request);
        if (name == "log-newest")
            return serveNewest(request);
        if (name == "log-join")
            return serveJoin(json::parse(request.body));
        if (name == "log-leave")
            return serveLeave(json::parse(request.body));
        if (name == "log-owners")
            return serveOwners();
        return answer(404, json::object());
    }

    Response serveAppend(const Request& request)
    {
        std::this_thread::sleep_for(milliseconds(2));
        std::lock_guard lock(mutex_);
        const std::string name = request.query.at("topic");
        if (name == "keyed.op" || name == "keyed.servers")
            return answer(403, json::object());
        std::vector<std::string> records;
        for (std::size_t at = 0; at + 4 <= request.body.size();) {
            std::size_t length = 0;
            for (std::size_t i = 0; i < 4; ++i)
                length = (length << 8) | static_cast<unsigned char>(request.body[at + i]);
            records.push_back(request.body.substr(at + 4, length));
            at += 4 + length;
        }
        Topic& topic = topics_[name];
        expire(topic);
        if (!request.query.count("producer")) {
            const auto offset = append(name, records);
            return answer(200, { { "offset", offset }, { "end", topic.end() } });
        }
        Producer& producer = topic.producers[request.query.at("producer")];
        const std::uint64_t epoch = std::stoull(request.query.at("epoch"));
        const std::uint64_t sequence = std::stoull(request.query.at("seq"));
        if (epoch < producer.epoch)
            return answer(409, { { "reason", "fenced" } });
        if (epoch > producer.epoch || !producer.isKnown) {
            producer = {};
            producer.epoch = epoch;
            producer.isKnown = true;
            producer.next = sequence;
        }
        if (const auto known = producer.answers.find(sequence); known != producer.answers.end())
            return { 200, known->second };
        if (sequence != producer.next)
            return answer(409, { { "reason", "seq" }, { "expected", producer.next } });
        const auto offset = append(name, records);
        const json body { { "offset", offset }, { "end", topic.end() } };
        ++producer.next;
        producer.answers[sequence] = body.dump();
        if (producer.answers.size() > 5)
            producer.answers.erase(producer.answers.begin());
        return answer(200, body);
    }

    Response serveRead(const Request& request)
    {
        const auto number = [&](const char* name, std::uint64_t fallback) {
            return request.query.count(name) ? std::stoull(request.query.at(name)) : fallback;
        };
        const auto until = Clock::now() + milliseconds(number("wait_ms", 0));
        const std::uint64_t from = number("from", 0);
        std::unique_lock lock(mutex_);
        Topic& topic = topics_[request.query.at("topic")];
        changed_.wait_until(lock, until, [&] { return isStopping_ || topic.end() > from; });
        expire(topic);
        if (from < topic.first)
            return answer(410, { { "first", topic.first } });
        std::string body = bigEndian(topic.end(), 8) + bigEndian(topic.first, 8);
        const std::size_t limit = number("max_kb", 1024) * 1024;
        for (std::uint64_t at = from; at < topic.end(); ++at) {
            const std::string& bytes = topic.records[at - topic.first].bytes;
            if (at > from && body.size() + bytes.size() > limit)
                break;
            body += bigEndian(bytes.size(), 4) + bytes;
        }
        return { 200, body, "application/octet-stream" };
    }

    Response serveNewest(const Request& request)
    {
        std::lock_guard lock(mutex_);
        Topic& topic = topics_[request.query.at("topic")];
        json items = json::array();
        auto at = request.query.count("depends_on") ? topic.newest.upper_bound(request.query.at("depends_on"))
                                                    : topic.newest.begin();
        for (; at != topic.newest.end() && items.size() < 500; ++at)
            items.push_back(
                { { "key", at->first }, { "value", encodeBase64(at->second.first) }, { "offset", at->second.second } });
        return answer(200, { { "items", items }, { "has_more", at != topic.newest.end() }, { "end", topic.end() } });
    }

    // Partitions go to the members by turns. One that a live member still holds is passed on once that member has
    // joined with the new generation.
    void deal()
    {
        const auto now = Clock::now();
        bool hasChanged = false;
        for (auto member = members_.begin(); member != members_.end();) {
            const bool isGone = member->second.expiresAt < now;
            hasChanged |= isGone;
            member = isGone ? members_.erase(member) : std::next(member);
        }
        if (hasChanged || isDealDue_)
            dealtGeneration_ = ++generation_;
        isDealDue_ = false;
        bool hasPassedOn = false;
        std::set<std::string> topics;
        std::vector<std::string> names;
        for (const auto& [name, member] : members_) {
            topics.insert(member.topics.begin(), member.topics.end());
            names.push_back(name);
        }
        std::size_t turn = 0;
        for (const auto& topic : topics) {
            for (int part = 0; part < 32 && !names.empty(); ++part) {
                const std::string& wanted = names[turn++ % names.size()];
                std::string& owner = owners_[{ topic, part }];
                const auto holder = members_.find(owner);
                if (owner == wanted || (holder != members_.end() && holder->second.generation < dealtGeneration_))
                    continue;
                hasPassedOn |= holder != members_.end();
                owner = wanted;
            }
        }
        if (hasPassedOn)
            ++generation_;
    }

    Response serveJoin(const json& body)
    {
        std::lock_guard lock(mutex_);
        const std::string name = body.at("member");
        isDealDue_ |= !members_.count(name);
        Member& member = members_[name];
        member.expiresAt = Clock::now() + milliseconds(body.at("ttl_ms").get<std::int64_t>());
        member.generation = body.at("generation");
        for (const auto& topic : body.at("topics"))
            member.topics.insert(topic.get<std::string>());
        deal();
        json parts = json::array();
        for (const auto& [part, owner] : owners_) {
            if (owner == name)
                parts.push_back({ part.first, part.second, 0 });
        }
        return answer(200, { { "generation", generation_ }, { "ttl_ms", body.at("ttl_ms") }, { "parts", parts } });
    }

    Response serveLeave(const json& body)
    {
        std::lock_guard lock(mutex_);
        isDealDue_ |= members_.erase(body.at("member").get<std::string>()) > 0;
        deal();
        return answer(200, json::object());
    }

    Response serveOwners()
    {
        std::lock_guard lock(mutex_);
        deal();
        json parts = json::array();
        for (const auto& [part, owner] : owners_) {
            if (members_.count(owner))
                parts.push_back({ part.first, part.second, owner, 0 });
        }
        return answer(200, { { "parts", parts } });
    }

    milliseconds keep_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> isStopping_ { false };
    std::map<std::string, Topic> topics_;
    std::map<std::string, Member> members_;
    std::map<std::pair<std::string, int>, std::string> owners_;
    std::uint64_t generation_ = 0; // Rises with each change of the members or of what they hold.
    std::uint64_t dealtGeneration_ = 0; // At the latest change of the members.
    bool isDealDue_ = false;
    Server server_;
};

// How long a task works, and how it ends.
struct TaskPlan {
    std::int64_t workMs = 500; // Below 0: it lasts.
    bool fails = false;
    bool isGang = false;
    std::size_t members = 1;
    bool isQuiet = false; // Its runs are not written to the record.
};

struct RunEnd {
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = -1;
    std::string how; // Empty while it runs.
    std::string checkpoint; // That it was started with.
};

class Fleet;

// One machine's worker. It keeps its id, its port and its machine when it is started again.
class Worker {
public:
    Worker(Fleet& fleet, std::string id, std::string machine, std::string rack);

    const std::string& id() const { return id_; }
    const std::string& machine() const { return machine_; }
    std::string rack() const { return rack_; }
    bool isUp() const { return isUp_; }
    std::int64_t born() const { return born_; }

    void start();
    void crash();
    void takeDown(); // Ends it without a word in the record.
    // Between the cut and its end no call arrives and no answer leaves. What runs goes on.
    void setCut(bool isCut);
    void advance(); // With the fleet's lock held.
    bool runs(const std::string& task) const;

private:
    friend class Fleet;
    struct Run {
        std::uint64_t run = 0;
        std::int64_t leftMs = 0;
        Clock::time_point startedAt;
        Clock::time_point advancedAt;
        std::optional<Clock::time_point> stopsAt;
        std::string checkpoint;
        std::int64_t doneMs = 0;
        std::size_t record = 0;
    };

    Response serve(const Request& request);
    Response serveStart(const json& body);
    Response serveStop(const json& body);
    Response serveHold(const json& body, std::unique_lock<std::mutex>& lock);
    Response answer(int status, json body) const;
    std::int64_t clock() const;
    void end(const std::string& task, const std::string& how, bool isFirstOfGang = true);

    void endOthersOfGang(const std::string& task, std::uint64_t run, const std::string& how);

    Fleet& fleet_;
    std::string id_;
    std::string machine_;
    std::string rack_;
    bool isUp_ = false;
    bool isCut_ = false;
    std::int64_t born_ = 0;
    Clock::time_point begunAt_;
    Clock::time_point begunCutAt_;
    std::uint64_t fence_ = 0;
    std::int64_t deadline_ = 0;
    std::uint64_t nextEnd_ = 1;
    std::uint64_t acknowledged_ = 0;
    std::map<std::string, Run> running_;
    std::map<std::string, std::uint64_t> highestOver_; // Highest run that was stopped or has ended, by task.
    std::deque<std::pair<std::uint64_t, json>> ended_;
    std::uint64_t seq_ = 0;
    std::uint64_t lives_ = 0;
    Clock::time_point publishAt_;
    std::uint16_t port_ = 0;
    Server server_;
};

class Fleet {
public:
    using Planner = std::function<TaskPlan(const std::string& task)>;

    Fleet(Store& store, Record& record, std::string service, std::size_t workers, Planner planner)
        : store_(store)
        , record_(record)
        , service_(std::move(service))
        , planner_(std::move(planner))
        , machines_([this](const Request& request) { return serveMachines(request); })
    {
        for (std::size_t i = 0; i < workers; ++i)
            workers_.push_back(std::make_unique<Worker>(
                *this, "i-" + std::to_string(i), "m-" + std::to_string(i), "r" + std::to_string(i / 4)));
        for (auto& worker : workers_)
            worker->start();
        machines_.start();
        ticker_ = std::thread([this] { tick(); });
    }

    ~Fleet()
    {
        isStopping_ = true;
        ended_.notify_all();
        ticker_.join();
        machines_.stop();
        record_.write("the case is over; the stand-ins end");
        for (auto& worker : workers_) {
            if (worker->isUp())
                worker->takeDown();
        }
    }

    std::string machineAddress() const { return machines_.address(); }
    std::vector<std::unique_ptr<Worker>>& workers() { return workers_; }

    // The worker on which a task is at work, for at least this long.
    Worker* workerOf(const std::string& task, milliseconds atLeast)
    {
        std::lock_guard lock(mutex_);
        for (auto& worker : workers_) {
            const auto run = worker->running_.find(task);
            if (worker->isUp_ && run != worker->running_.end() && Clock::now() - run->second.startedAt >= atLeast)
                return worker.get();
        }
        return nullptr;
    }

    std::vector<RunEnd> runs()
    {
        std::lock_guard lock(mutex_);
        return runs_;
    }

    std::vector<RunEnd> runsOf(const std::string& task)
    {
        std::vector<RunEnd> result;
        for (const auto& run : runs()) {
            if (run.task == task)
                result.push_back(run);
        }
        return result;
    }

private:
    friend class Worker;

    void tick()
    {
        while (!isStopping_) {
            {
                std::lock_guard lock(mutex_);
                for (auto& worker : workers_) {
                    worker->advance();
                    publishIfDue(*worker);
                }
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
    }

    void publishIfDue(Worker& worker)
    {
        if (Clock::now() < worker.publishAt_)
            return;
        worker.publishAt_ = Clock::now() + milliseconds(1500); // heartbeat_ms
        publish(worker);
    }

    // With the lock held. A worker that is silent for three heartbeats leaves the list.
    void publish(Worker& worker)
    {
        if (!worker.isUp_ || worker.isCut_) {
            const auto silentSince = worker.isUp_ ? worker.begunCutAt_ : worker.begunAt_;
            if (Clock::now() - silentSince > milliseconds(4500) && listed_.erase(worker.id_) > 0)
                store_.put("keyed.servers", worker.id_, "");
            return;
        }
        listed_.insert(worker.id_);
        const json entry { { "service", service_ }, { "address", worker.server_.address() }, { "zone", "krosno" },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", ++worker.seq_ },
            { "born", worker.born_ }, { "machine", worker.machine_ }, { "labels", { "a", worker.rack_ } },
            { "capacity", { { "cpu", 64000 }, { "mem_mb", 131072 }, { "gpu", 0 } } }, { "clock_ms", worker.clock() } };
        store_.put("keyed.servers", worker.id_, entry.dump());
    }

    Response serveMachines(const Request& request)
    {
        std::lock_guard lock(mutex_);
        if (request.method != "GET")
            return { 409, json({ { "reason", "busy" } }).dump() };
        json machines = json::array();
        for (const auto& worker : workers_)
            machines.push_back({ { "machine", worker->machine_ }, { "pool", service_ },
                { "state", worker->isUp_ ? "up" : "down" }, { "zone", "krosno" }, { "labels", { "a", worker->rack_ } },
                { "capacity", { { "cpu", 64000 }, { "mem_mb", 131072 }, { "gpu", 0 } } }, { "id", worker->id_ } });
        return { 200, json({ { "machines", machines }, { "next_token", nullptr } }).dump() };
    }

    // Whether all members of a run of a gang are present with the same checkpoint. With the lock held.
    bool isGangComplete(const std::string& task, const Worker::Run& run, const TaskPlan& plan) const
    {
        const std::string step = task.substr(0, task.rfind('.'));
        std::set<std::string> present;
        for (const auto& worker : workers_) {
            for (const auto& [name, other] : worker->running_) {
                if (worker->isUp_ && name.substr(0, name.rfind('.')) == step && other.run == run.run && !other.stopsAt
                    && runs_[other.record].checkpoint == runs_[run.record].checkpoint)
                    present.insert(name);
            }
        }
        return present.size() >= plan.members;
    }

    Store& store_;
    Record& record_;
    std::string service_;
    Planner planner_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::atomic<bool> isStopping_ { false };
    std::vector<std::unique_ptr<Worker>> workers_;
    std::set<std::string> listed_;
    std::vector<RunEnd> runs_;
    Server machines_;
    std::thread ticker_;
};

inline Worker::Worker(Fleet& fleet, std::string id, std::string machine, std::string rack)
    : fleet_(fleet)
    , id_(std::move(id))
    , machine_(std::move(machine))
    , rack_(std::move(rack))
    , server_([this](const Request& request) { return serve(request); })
{
}

inline void Worker::start()
{
    server_.start(port_);
    port_ = server_.port();
    std::lock_guard lock(fleet_.mutex_);
    begunAt_ = Clock::now();
    born_ = std::max(wallMs(), born_ + 1);
    fence_ = 0;
    deadline_ = 0;
    nextEnd_ = 1;
    acknowledged_ = 0;
    running_.clear();
    highestOver_.clear();
    ended_.clear();
    seq_ = 0;
    isUp_ = true;
    // A later life listens a little before its first heartbeat.
    publishAt_ = begunAt_ + milliseconds(lives_++ == 0 ? 0 : 500);
    fleet_.record_.write("worker " + id_ + " is up, born " + std::to_string(born_));
}

inline void Worker::crash()
{
    fleet_.record_.write("worker " + id_ + " crashes");
    takeDown();
}

inline void Worker::takeDown()
{
    {
        std::lock_guard lock(fleet_.mutex_);
        isUp_ = false;
        begunAt_ = Clock::now();
        for (const auto& [task, run] : running_) {
            fleet_.runs_[run.record].how = "crash";
            fleet_.runs_[run.record].endedAt = fleet_.record_.now();
        }
        const auto lost = std::exchange(running_, {});
        for (const auto& [task, run] : lost) {
            if (fleet_.planner_(task).isGang)
                endOthersOfGang(task, run.run, "broken");
        }
        fleet_.ended_.notify_all();
    }
    server_.stop();
}

inline void Worker::setCut(bool isCut)
{
    std::lock_guard lock(fleet_.mutex_);
    isCut_ = isCut;
    begunCutAt_ = Clock::now();
    fleet_.record_.write("worker " + id_ + (isCut ? " is cut off" : " is reached again"));
    fleet_.ended_.notify_all();
}

inline bool Worker::runs(const std::string& task) const { return running_.count(task) > 0; }

inline std::int64_t Worker::clock() const
{
    return 100000 + std::chrono::duration_cast<milliseconds>(Clock::now() - begunAt_).count();
}

inline Response Worker::answer(int status, json body) const
{
    body["clock_ms"] = clock();
    body["born"] = born_;
    return { status, body.dump() };
}

inline void Worker::end(const std::string& task, const std::string& how, bool isFirstOfGang)
{
    const Run run = running_.at(task);
    running_.erase(task);
    highestOver_[task] = std::max(highestOver_[task], run.run);
    // A value for each 500 ms of work, and one at a stop.
    std::string saved = run.checkpoint;
    if (run.doneMs >= 500 || how == "stopped")
        saved = id_ + "-" + std::to_string(run.run) + "-" + std::to_string(run.doneMs);
    ended_.emplace_back(nextEnd_, json::array({ nextEnd_, task, run.run, how, how == "done" ? "" : saved }));
    ++nextEnd_;
    fleet_.runs_[run.record].how = how;
    fleet_.runs_[run.record].endedAt = fleet_.record_.now();
    const TaskPlan plan = fleet_.planner_(task);
    if (!plan.isQuiet)
        fleet_.record_.write("end " + task + " run " + std::to_string(run.run) + " on " + id_ + ": " + how);
    fleet_.ended_.notify_all();
    if (!plan.isGang || !isFirstOfGang || how == "alone")
        return;
    endOthersOfGang(task, run.run, how == "done" ? "done" : "broken");
}

// Members of a gang end together.
inline void Worker::endOthersOfGang(const std::string& task, std::uint64_t run, const std::string& how)
{
    const std::string step = task.substr(0, task.rfind('.'));
    for (auto& worker : fleet_.workers_) {
        std::vector<std::string> members;
        for (const auto& [name, other] : worker->running_) {
            if (name != task && name.substr(0, name.rfind('.')) == step && other.run == run)
                members.push_back(name);
        }
        for (const auto& name : members)
            worker->end(name, how, false);
    }
}

inline void Worker::advance()
{
    if (!isUp_)
        return;
    const auto now = Clock::now();
    std::vector<std::pair<std::string, std::string>> over;
    for (auto& [task, run] : running_) {
        const TaskPlan plan = fleet_.planner_(task);
        const auto passed = std::chrono::duration_cast<milliseconds>(now - run.advancedAt).count();
        if (passed <= 0)
            continue;
        run.advancedAt = now;
        if (run.stopsAt && now >= *run.stopsAt) {
            over.emplace_back(task, "stopped");
            continue;
        }
        if (clock() > deadline_) {
            over.emplace_back(task, "lapsed");
            continue;
        }
        if (plan.isGang && !fleet_.isGangComplete(task, run, plan)) {
            if (run.doneMs == 0 && now - run.startedAt > milliseconds(3000))
                over.emplace_back(task, "alone");
            continue;
        }
        run.doneMs += passed;
        if (plan.workMs >= 0 && run.doneMs >= run.leftMs)
            over.emplace_back(task, plan.fails ? "failed" : "done");
    }
    for (const auto& [task, how] : over) {
        if (running_.count(task))
            end(task, how);
    }
}

inline Response Worker::serve(const Request& request)
{
    const auto intended = request.headers.find("x-expect-instance");
    std::unique_lock lock(fleet_.mutex_);
    const bool wasCut = isCut_;
    fleet_.ended_.wait(lock, [this] { return fleet_.isStopping_ || !isUp_ || !isCut_; });
    if (!isUp_ || wasCut)
        return { 503, "", "application/json", true };
    if (intended != request.headers.end() && intended->second != id_)
        return answer(421, json::object());
    const json body = request.body.empty() ? json::object() : json::parse(request.body);
    const std::uint64_t token = body.value("fencing_token", std::uint64_t(0));
    if (token < fence_)
        return answer(409, { { "reason", "fence" } });
    fence_ = token;
    const std::string name = request.path.substr(request.path.rfind('/') + 1);
    if (name == "run-start")
        return serveStart(body);
    if (name == "run-stop")
        return serveStop(body);
    if (name == "hold")
        return serveHold(body, lock);
    return answer(200, json::object());
}

inline Response Worker::serveStart(const json& body)
{
    const std::string task = body.at("task");
    const std::uint64_t number = body.at("run");
    const std::int64_t deadline = body.at("deadline_ms");
    deadline_ = std::max(deadline_, std::min(deadline, clock() + 10000));
    if (const auto known = running_.find(task); known != running_.end() && known->second.run == number)
        return answer(200, json::object());
    if (highestOver_.count(task) && number <= highestOver_[task])
        return answer(409, { { "reason", "old" } });
    if (deadline <= clock())
        return answer(409, { { "reason", "late" } });
    Run run;
    run.run = number;
    run.checkpoint = body.value("checkpoint", std::string());
    const TaskPlan plan = fleet_.planner_(task);
    run.leftMs = plan.workMs;
    run.startedAt = run.advancedAt = Clock::now();
    run.record = fleet_.runs_.size();
    fleet_.runs_.push_back({ task, number, id_, fleet_.record_.now(), -1, "", run.checkpoint });
    running_[task] = run;
    if (plan.isQuiet)
        return answer(200, json::object());
    fleet_.record_.write("start " + task + " run " + std::to_string(number) + " on " + id_ + ", token "
        + std::to_string(fence_) + (run.checkpoint.empty() ? "" : ", checkpoint " + run.checkpoint));
    return answer(200, json::object());
}

inline Response Worker::serveStop(const json& body)
{
    const std::string task = body.at("task");
    const std::uint64_t number = body.at("run");
    highestOver_[task] = std::max(highestOver_[task], number);
    if (const auto known = running_.find(task);
        known != running_.end() && known->second.run <= number && !known->second.stopsAt)
        known->second.stopsAt = Clock::now() + milliseconds(50);
    return answer(200, json::object());
}

inline Response Worker::serveHold(const json& body, std::unique_lock<std::mutex>& lock)
{
    const std::uint64_t acknowledged = body.value("ack_offset", std::uint64_t(0));
    while (!ended_.empty() && ended_.front().first <= acknowledged)
        ended_.pop_front();
    if (body.contains("deadline_ms"))
        deadline_ = std::max(deadline_, std::min(body.at("deadline_ms").get<std::int64_t>(), clock() + 10000));
    const std::int64_t born = born_;
    const auto until = Clock::now() + milliseconds(std::min<std::int64_t>(body.value("wait_ms", 0), 2000));
    fleet_.ended_.wait_until(
        lock, until, [&] { return fleet_.isStopping_ || !isUp_ || isCut_ || born_ != born || !ended_.empty(); });
    const bool wasCut = isCut_;
    fleet_.ended_.wait(lock, [&] { return fleet_.isStopping_ || !isUp_ || !isCut_; });
    if (!isUp_ || wasCut || born_ != born)
        return { 503, "", "application/json", true };
    json running = json::array();
    for (const auto& [task, run] : running_)
        running.push_back({ task, run.run, run.checkpoint, 100, 1000 });
    json ended = json::array();
    for (const auto& [number, row] : ended_) {
        if (ended.size() < 500)
            ended.push_back(row);
    }
    return answer(200, { { "running", running }, { "ended", ended } });
}

// An entry of the system, as a process of its own.
class Entry {
public:
    Entry(std::string name, std::string command, std::string folder, json settings)
        : name_(std::move(name))
        , folder_(std::move(folder))
        , settings_(std::move(settings))
    {
        const auto ports = freePorts(3);
        front_ = ports[0];
        ready_ = ports[1];
        peer_ = ports[2];
        settings_["entry"] = name_;
        settings_["caller_address"] = "127.0.0.1:" + std::to_string(front_);
        settings_["health_address"] = "127.0.0.1:" + std::to_string(ready_);
        settings_["telemetry_address"] = "127.0.0.1:" + std::to_string(peer_);
        const std::string path = folder_ + "/" + name_ + ".json";
        std::ofstream(path) << settings_.dump(2) << "\n";
        std::istringstream words(command);
        for (std::string word; words >> word;)
            words_.push_back(word == "/etc/turmericsill/local.toml" ? path : word);
    }

    const std::string& name() const { return name_; }
    std::uint16_t front() const { return front_; }
    Process& process() { return process_; }
    void start() { process_.start(words_, folder_ + "/" + name_ + ".log"); }
    bool isReady() const
    {
        return call(ready_, "GET", "/turmericsill/readyz", "ready", "", milliseconds(500)).status == 200;
    }

    // Whether this entry answers its peers that it controls; the product's own interface, docs/design/platform.md.
    bool isController() const
    {
        const Answer answer = call(peer_, "GET", "/control", "peer", "", milliseconds(500));
        const json state = json::parse(answer.body, nullptr, false);
        return answer.status == 200 && state.is_object() && state.value("epoch", 0) > 0;
    }

private:
    std::string name_;
    std::string folder_;
    json settings_;
    std::vector<std::string> words_;
    std::uint16_t front_ = 0;
    std::uint16_t ready_ = 0;
    std::uint16_t peer_ = 0;
    Process process_;
};

} // namespace standin
