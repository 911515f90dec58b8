// Plays one case: starts the stand-ins and the entries, plays the disruption unless TROUBLE=0, and judges by the rule.
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "platform.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>

using namespace standin;

namespace {

constexpr const char* host = "calls.example";

void pause(std::int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The whole system of a case.
struct System {
    Record& record;
    std::string folder;
    std::string command;
    bool hasTrouble = true;
    milliseconds keep { 300000 };
    Fleet::Planner planner = [](const std::string&) { return TaskPlan(); };
    std::size_t workerCount = 8;
    std::size_t entryCount = 3;
    std::unique_ptr<Store> store {};
    std::unique_ptr<Fleet> fleet {};
    std::vector<std::unique_ptr<Entry>> entries {};
    std::uint64_t version = 0;

    static json route(const std::string& name, const std::string& prefix, int attempts)
    {
        return { { "name", name }, { "host", host }, { "path_prefix", prefix }, { "kind", "unsafe" },
            { "timeout_ms", 3000 }, { "slo_ms", 600 }, { "priority", 0 }, { "service", "desk" },
            { "max_attempts", attempts }, { "stretch", 1.6 } };
    }

    void configure(const json& routes)
    {
        version += 3;
        const json config { { "version", version }, { "routes", routes },
            { "services",
                json::array({ { { "name", "desk" }, { "health_path", "/healthz" }, { "max_conns", 64 },
                    { "protocol", "h1" }, { "tls", false }, { "admission_check", false }, { "standby", false } } }) },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 } } } };
        store->put("keyed.op", "config", config.dump());
        std::string names;
        for (const auto& entry : routes)
            names += " " + entry.at("name").get<std::string>();
        record.write("operator: configuration " + std::to_string(version) + " with routes" + names);
    }

    void start(const json& routes)
    {
        store = std::make_unique<Store>(keep);
        fleet = std::make_unique<Fleet>(*store, record, "desk", workerCount, planner);
        configure(routes);
        for (std::size_t i = 0; i < entryCount; ++i) {
            const json settings { { "data_centre", "krosno" }, { "store_address", store->address() },
                { "machine_control_address", fleet->machineAddress() }, { "instance_control", "rpc" },
                { "processor_share", 0.25 }, { "processor_cores", 1 }, { "longest_lease_ms", 10000 },
                { "holder_interval_ms", 3000 }, { "log_retention_ms", keep.count() }, { "log_record_bytes", 262144 },
                { "log_append_bytes", 2097152 }, { "configuration_bound_ms", 2000 }, { "status_retention_ms", 120000 },
                { "shutdown_grace_ms", 6000 } };
            entries.push_back(
                std::make_unique<Entry>("edge-krosno-" + std::to_string(i + 1), command, folder, settings));
            entries.back()->start();
        }
        for (int i = 0; i < 200; ++i) {
            bool areReady = true;
            for (auto& entry : entries)
                areReady = areReady && entry->isReady();
            if (areReady && controller())
                return record.write("all entries are ready; " + controller()->name() + " controls");
            pause(100);
        }
        throw CannotRun("the entries were not ready within 20 s");
    }

    Entry* controller()
    {
        for (auto& entry : entries) {
            if (entry->process().isRunning() && entry->isController())
                return entry.get();
        }
        return nullptr;
    }

    // As a client does: asks another entry after no answer or a 5xx, until `within` has passed.
    Answer ask(const std::string& method, const std::string& path, const std::string& body, milliseconds within)
    {
        const auto until = Clock::now() + within;
        Answer answer;
        for (std::size_t i = 0;; ++i) {
            Entry& entry = *entries[i % entries.size()];
            answer = call(entry.front(), method, path, host, body, milliseconds(3000));
            record.write(method + " " + path + " at " + entry.name() + " -> " + std::to_string(answer.status) + " "
                + answer.body.substr(0, 100));
            if ((answer.status > 0 && answer.status < 500 && answer.status != 429) || Clock::now() >= until)
                return answer;
            pause(300);
        }
    }

    bool submit(const std::string& prefix, const std::string& id, const json& steps)
    {
        const json body { { "spec", "wake the crew " + id }, { "steps", steps } };
        return ask("POST", prefix + id, body.dump(), milliseconds(15000)).status == 200;
    }

    std::string state(const std::string& prefix, const std::string& id, milliseconds within = milliseconds(4000))
    {
        const Answer answer = ask("GET", prefix + id, "", within);
        const json body = json::parse(answer.body, nullptr, false);
        if (answer.status == 200 && body.is_object())
            return body.value("state", std::string());
        return answer.status == 0 ? "no answer" : std::to_string(answer.status);
    }

    // Waits until a task is at work somewhere, for at least `atLeast`.
    Worker* awaitWork(const std::string& task, milliseconds atLeast, milliseconds within)
    {
        const auto until = Clock::now() + within;
        while (Clock::now() < until) {
            if (Worker* worker = fleet->workerOf(task, atLeast))
                return worker;
            pause(20);
        }
        return nullptr;
    }
};

json step(int count, bool lasts)
{
    json result { { "count", count }, { "cpu", 3500 }, { "mem_mb", 6500 }, { "estimate_ms", 3000 } };
    if (lasts)
        result["long_running"] = true;
    return result;
}

int verdict(Record& record, bool isBroken, const std::string& text)
{
    record.write((isBroken ? "BROKEN: " : "held: ") + text);
    std::cout << (isBroken ? "broken: " : "held: ") << text << "\n";
    return isBroken ? 1 : 0;
}

// The worker under one task of a job that lasts crashes, is back after 1 s, and the next one under that task crashes,
// five times. The rule: no stop ends a task that is at work on a sound worker while `may_miss` others are away.
int playCrashes(System& system)
{
    const std::string prefix = "/calls/";
    const std::string job = "00000000000000a1";
    constexpr int tasks = 5;
    system.planner = [](const std::string&) { return TaskPlan { -1 }; };
    system.start(json::array({ System::route("calls", prefix, 2) }));
    json lasting = step(tasks, true);
    lasting["may_miss"] = 1;
    if (!system.submit(prefix, job, json::array({ lasting })))
        throw CannotRun("the job was not accepted");
    const auto name = [&](int index) { return job + ".0.0." + std::to_string(index); };
    for (int index = 0; index < tasks; ++index) {
        if (!system.awaitWork(name(index), milliseconds(100), milliseconds(5000)))
            throw CannotRun("a task was not started");
    }
    for (int i = 0; i < 5 && system.hasTrouble; ++i) {
        Worker* worker = system.awaitWork(name(0), milliseconds(1500), milliseconds(9000));
        if (!worker)
            break;
        worker->crash();
        pause(1000);
        worker->start();
    }
    pause(12000); // Over the longest lease.
    const std::string state = system.state(prefix, job);
    const std::vector<RunEnd> runs = system.fleet->runs();
    constexpr std::int64_t noticeMs = 4500;
    std::size_t stops = 0;
    std::size_t failedRuns = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        failedRuns += runs[i].how == "failed";
        if (runs[i].how != "stopped")
            continue;
        // Away: ended by such an order, or not at work for notice_ms.
        std::set<std::string> stopped;
        std::map<std::string, std::int64_t> lastAtWork;
        for (std::size_t j = 0; j < runs.size(); ++j) {
            const RunEnd& other = runs[j];
            if (other.task == runs[i].task || other.startedAt > runs[i].endedAt)
                continue;
            const bool hasEnded = other.endedAt >= 0 && std::pair(other.endedAt, j) < std::pair(runs[i].endedAt, i);
            if (hasEnded && other.how == "stopped")
                stopped.insert(other.task);
            auto& last = lastAtWork[other.task];
            last = std::max(last, hasEnded ? other.endedAt : runs[i].endedAt);
        }
        std::size_t away = stopped.size();
        for (const auto& [task, last] : lastAtWork)
            away += !stopped.count(task) && runs[i].endedAt - last >= noticeMs;
        stops += away >= 1;
    }
    std::size_t atWork = 0;
    for (int index = 0; index < tasks; ++index)
        atWork += system.fleet->workerOf(name(index), milliseconds(0)) != nullptr;
    return verdict(system.record, stops > 0,
        std::to_string(stops)
            + " tasks at work stopped while others were away, 1 may be, and nobody cancelled the job; 12 s "
            + "after the last crash it is " + state + " with " + std::to_string(atWork)
            + " of 5 tasks at work; runs that ended failed: " + std::to_string(failedRuns));
}

// The entry that controls is killed every 3 s or so, and started again after 0.5 s, while all others run on. The rule:
// in calm, no task that lasts has nothing running for 3 s, from 6 s after its last run, while there is room for it.
int playControllers(System& system)
{
    const std::string prefix = "/calls/";
    const std::string lasting = "00000000000000a1";
    const std::string late = "00000000000000c3";
    constexpr std::int64_t idleBound = 6000 + 3000;
    system.keep = milliseconds(20000);
    system.planner = [=](const std::string& task) { return TaskPlan { task.compare(0, 16, lasting) == 0 ? -1 : 500 }; };
    system.start(json::array({ System::route("calls", prefix, 4) }));
    if (!system.submit(prefix, lasting, json::array({ step(2, true) })))
        throw CannotRun("a job was not accepted");
    int accepted = 0;
    const auto submitNext = [&] {
        char id[17];
        std::snprintf(id, sizeof(id), "%016x", 0x1000 + accepted);
        const json body { { "spec", "wake the crew" }, { "steps", json::array({ step(1, false) }) } };
        const Answer answer = call(system.entries[accepted % system.entries.size()]->front(), "POST", prefix + id, host,
            body.dump(), milliseconds(500));
        system.record.write(std::string("POST ") + prefix + id + " -> " + std::to_string(answer.status));
        accepted += answer.status == 200;
    };
    pause(6000);
    const auto until = Clock::now() + milliseconds(28000);
    int kills = 0;
    while (Clock::now() < until) {
        Entry* controller = system.controller();
        if (controller && system.hasTrouble) {
            pause(2000);
            system.record.write("kill " + controller->name() + ", which controls");
            controller->process().kill();
            ++kills;
            pause(500);
            controller->start();
        }
        for (int i = 0; i < 4; ++i) {
            submitNext();
            pause(150);
        }
    }
    system.record.write("kills: " + std::to_string(kills) + "; the oldest record of the log has the offset "
        + std::to_string(system.store->firstOffset("turmericsill.jobs")));
    pause(15000); // recovery_s is 12, and all is calm from here on.
    const std::string state = system.state(prefix, lasting, milliseconds(9000));
    const bool isAccepted = system.submit(prefix, late, json::array({ step(1, false) }));
    pause(14000); // finish_s
    const std::string lateState = system.state(prefix, late, milliseconds(9000));
    std::int64_t longestIdle = 0;
    for (int index = 0; index < 2; ++index) {
        std::int64_t lastEnd = 0;
        for (const auto& run : system.fleet->runsOf(lasting + ".0.0." + std::to_string(index)))
            lastEnd = std::max(lastEnd, run.endedAt < 0 ? system.record.now() : run.endedAt);
        longestIdle = std::max(longestIdle, system.record.now() - lastEnd);
    }
    int ready = 0;
    for (auto& entry : system.entries)
        ready += entry->isReady();
    const Entry* controller = system.controller();
    return verdict(system.record, longestIdle > idleBound,
        std::to_string(kills) + " kills; 30 s after the last a task that lasts has had nothing running for "
            + std::to_string(longestIdle) + " ms, its job is " + state + ", a new job is "
            + (isAccepted ? "accepted" : "refused") + " and 14 s later " + lateState + "; entries ready: "
            + std::to_string(ready) + " of 3, controller: " + (controller ? controller->name() : std::string("none")));
}

// The operator removes the route of a job whose task fails each time. The rule: no start after `max_attempts` failures.
int playRemovedRoute(System& system)
{
    const std::string prefix = "/calls/";
    const std::string job = "00000000000000a1";
    constexpr int attempts = 2;
    system.planner = [](const std::string&) { return TaskPlan { 3000, true }; };
    system.start(json::array({ System::route("calls", prefix, attempts), System::route("other", "/other/", 4) }));
    if (!system.submit(prefix, job, json::array({ step(1, false) })))
        throw CannotRun("the job was not accepted");
    if (!system.awaitWork(job + ".0.0.0", milliseconds(0), milliseconds(5000)))
        throw CannotRun("the task was not started");
    if (system.hasTrouble)
        system.configure(json::array({ System::route("other", "/other/", 4) }));
    pause(25000);
    std::size_t failed = 0;
    std::size_t startsAfter = 0;
    for (const auto& run : system.fleet->runsOf(job + ".0.0.0")) {
        startsAfter += failed >= attempts;
        failed += run.how == "failed";
    }
    return verdict(system.record, startsAfter > 0,
        std::to_string(failed)
            + " runs ended failed, max_attempts is 2, starts after that: " + std::to_string(startsAfter));
}

// The worker of one member of a gang with checkpoints crashes once. The rule: no run ends `alone` afterwards.
int playGang(System& system)
{
    const std::string prefix = "/calls/";
    const std::string job = "00000000000000a1";
    system.planner = [](const std::string&) { return TaskPlan { 6000, false, true, 4 }; };
    system.start(json::array({ System::route("calls", prefix, 4) }));
    json gang = step(4, false);
    gang["gang"] = true;
    gang["checkpointing"] = true;
    gang["cpu"] = 30000; // Two members have room on a worker.
    if (!system.submit(prefix, job, json::array({ gang })))
        throw CannotRun("the job was not accepted");
    Worker* worker = system.awaitWork(job + ".0.0.2", milliseconds(2000), milliseconds(9000));
    if (!worker)
        throw CannotRun("the gang was not started");
    if (system.hasTrouble) {
        worker->crash();
        pause(1000);
        worker->start();
    }
    pause(25000);
    std::size_t alone = 0;
    std::map<std::uint64_t, std::set<std::string>> checkpoints; // Of the members of a run.
    for (const auto& run : system.fleet->runs()) {
        alone += run.how == "alone";
        checkpoints[run.run].insert(run.checkpoint);
    }
    std::size_t mixedRuns = 0;
    for (const auto& [run, values] : checkpoints)
        mixedRuns += values.size() > 1;
    return verdict(system.record, alone > 0,
        std::to_string(alone) + " runs ended alone; in " + std::to_string(mixedRuns) + " of "
            + std::to_string(checkpoints.size()) + " starts the members were given different checkpoints; the job is "
            + system.state(prefix, job));
}

// A worker crashes and is back after 0.5 s; the entry that controls is replaced; then the worker is cut off and runs
// on. The rule: no task runs twice at the same time on workers that are up.
int playRestartedWorker(System& system)
{
    const std::string prefix = "/calls/";
    const std::string job = "00000000000000a1";
    const std::string other = "00000000000000b2";
    system.planner = [](const std::string&) { return TaskPlan { -1 }; };
    system.start(json::array({ System::route("calls", prefix, 4) }));
    json whole = step(7, true); // A task fills a worker.
    whole["cpu"] = 60000;
    json single = step(1, true);
    single["cpu"] = 60000;
    if (!system.submit(prefix, job, json::array({ whole })) || !system.submit(prefix, other, json::array({ single })))
        throw CannotRun("a job was not accepted");
    const std::string task = job + ".0.0.3";
    if (!system.awaitWork(task, milliseconds(0), milliseconds(5000))
        || !system.awaitWork(other + ".0.0.0", milliseconds(0), milliseconds(5000)))
        throw CannotRun("a task was not started");
    pause(10000); // The worker has been up for a while.
    Worker* worker = system.awaitWork(task, milliseconds(0), milliseconds(1000));
    if (system.hasTrouble) {
        worker->crash();
        pause(500);
        worker->start();
        if (system.awaitWork(task, milliseconds(300), milliseconds(3000)) != worker)
            throw CannotRun("the task did not return to its worker");
    }
    system.ask("DELETE", prefix + other, "", milliseconds(3000)); // Makes room on another worker.
    if (system.hasTrouble) {
        Entry* controller = system.controller();
        if (!controller)
            throw CannotRun("no entry controls");
        system.record.write("kill " + controller->name() + ", which controls");
        controller->process().kill();
        pause(500);
        controller->start();
        pause(2000);
        const Entry* next = system.controller();
        system.record.write("controller: " + (next ? next->name() : std::string("none")));
        worker->setCut(true);
        pause(5500);
        worker->setCut(false);
    }
    pause(6000);
    std::int64_t longestOverlap = 0;
    std::string which;
    const auto runs = system.fleet->runs();
    const auto endOf = [&](const RunEnd& run) { return run.endedAt < 0 ? system.record.now() : run.endedAt; };
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size(); ++j) {
            const auto overlap
                = std::min(endOf(runs[i]), endOf(runs[j])) - std::max(runs[i].startedAt, runs[j].startedAt);
            if (runs[i].task != runs[j].task || overlap <= longestOverlap)
                continue;
            longestOverlap = overlap;
            which = "run " + std::to_string(runs[i].run) + " on " + runs[i].worker + " and run "
                + std::to_string(runs[j].run) + " on " + runs[j].worker + " of " + runs[i].task;
        }
    }
    return verdict(system.record, longestOverlap > 0,
        longestOverlap > 0 ? which + " were at work together for " + std::to_string(longestOverlap) + " ms"
                           : "no task ran twice at the same time");
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 4) {
        std::cerr << "usage: standin CASE RECORD COMMAND\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = arguments[1];
    Record record(arguments[2]);
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        return 2;
    const char* trouble = std::getenv("TROUBLE");
    int status = 2;
    try {
        System system { record, folder, arguments[3], !(trouble && std::string(trouble) == "0") };
        const std::map<std::string, int (*)(System&)> cases { { "crashes", playCrashes },
            { "controllers", playControllers }, { "removed-route", playRemovedRoute }, { "gang", playGang },
            { "restarted-worker", playRestartedWorker } };
        status = cases.at(name)(system);
        for (auto& entry : system.entries)
            entry->process().kill();
    } catch (const std::exception& error) {
        record.write(std::string("could not run: ") + error.what());
        std::cerr << "could not run: " << error.what() << "\n";
    }
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(folder);
    else
        std::cout << folder << "\n";
    return status;
}
