// Runs one case of the review: scenario NAME COMMAND FOLDER RECORD, with TROUBLE=0 without its disruption.
// Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#include "deployment.h"

using namespace standin;

namespace {

/// Serving threads use the deployment until the process ends, so it is not destroyed.
Deployment* runningDeployment = nullptr;

Deployment& deploy(
    Record& record, Platform& platform, const std::string& command, const std::string& folder, std::int64_t keepMs)
{
    runningDeployment = new Deployment(record, platform, command, folder, 3, keepMs);
    return *runningDeployment;
}

bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

void sleepFor(int milliseconds) { std::this_thread::sleep_for(Ms(milliseconds)); }

json queue(const std::string& name, const std::string& prefix, const std::string& service)
{
    return { { "name", name }, { "host", "calls.example" }, { "path_prefix", prefix }, { "kind", "unsafe" },
        { "timeout_ms", 3000 }, { "slo_ms", 600 }, { "priority", 0 }, { "service", service }, { "max_attempts", 4 },
        { "stretch", 1.6 } };
}

json configuration(const std::vector<json>& queues, const std::vector<std::string>& services)
{
    json result { { "version", 1 }, { "routes", queues }, { "services", json::array() },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
    for (const auto& service : services)
        result["services"].push_back({ { "name", service }, { "admission_check", false }, { "standby", false } });
    return result;
}

std::string machineName(int number)
{
    char text[16];
    std::snprintf(text, sizeof(text), "m-%05x", 0xa0 + number);
    return text;
}

/// Demand goes from pool to pool; the path of the controller to the platform is cut while the next rise begins.
int staleMachineOrder(Record& record, const std::string& command, const std::string& folder)
{
    Platform& platform = *new Platform(record, {});
    platform.declare("config",
        configuration(
            { queue("a", "/calls-a/", "desk-a"), queue("b", "/calls-b/", "desk-b") }, { "desk-a", "desk-b" }));
    for (int i = 0; i < 14; ++i)
        platform.addMachine(machineName(i), i < 12 ? "desk-a" : "desk-b", { "a", "r1-" + std::to_string(i / 4) });
    Deployment& deployment = deploy(record, platform, command, folder, 300000);
    deployment.waitUntilAllReady();
    sleepFor(5000); // A new controller orders nothing for three seconds.
    std::atomic<int> jobs { 0 };
    const json job { { "spec", "call the crew" },
        { "steps",
            json::array({ { { "count", 8 }, { "cpu", 16000 }, { "mem_mb", 512 }, { "estimate_ms", 1000 } } }) } };
    // For some seconds a queue asks for more than its pool holds; several clients share the work.
    const auto press = [&](const std::string& prefix, int milliseconds) {
        std::vector<std::thread> clients;
        for (int client = 0; client < 2; ++client) {
            clients.emplace_back([&, prefix, milliseconds] {
                const auto until = Clock::now() + Ms(milliseconds);
                while (Clock::now() < until) {
                    const std::string id = jobId(++jobs);
                    platform.defineStep(id + ".0", { false, 1000, 16000 });
                    deployment.submit(prefix, id, job);
                    sleepFor(250);
                }
            });
        }
        for (auto& client : clients)
            client.join();
    };
    record.line("demand rises in desk-b");
    press("/calls-b/", 1500);
    sleepFor(3000);
    record.line("demand rises in desk-a");
    press("/calls-a/", 1500);
    sleepFor(4000);
    Entry* controller = deployment.controller();
    if (!controller)
        throw CannotRun("no entry controls");
    std::thread cut;
    if (hasTrouble()) {
        controller->isCut = true;
        record.line("the path of " + controller->name + " to the platform is cut for 7 s");
        cut = std::thread([&record, controller] {
            sleepFor(7000);
            controller->isCut = false;
            record.line("the cut of " + controller->name + " has healed");
        });
    }
    sleepFor(300);
    record.line("demand rises in desk-b");
    press("/calls-b/", 8000);
    if (cut.joinable())
        cut.join();
    sleepFor(6000);
    const auto stale = platform.staleOrders();
    for (const auto& order : stale)
        record.line("ONE broken: " + order);
    return stale.empty() ? 0 : 1;
}

/// A step of many tasks, then a rolling restart of the entries.
int wideStep(Record& record, const std::string& command, const std::string& folder)
{
    Bounds bounds;
    bounds.keepMs = 20000;
    Platform& platform = *new Platform(record, bounds);
    platform.declare("config", configuration({ queue("calls", "/calls/", "desk") }, { "desk" }));
    for (int i = 0; i < 10; ++i)
        platform.addMachine(machineName(i), "desk", { "a", "r1-" + std::to_string(i / 4) });
    Deployment& deployment = deploy(record, platform, command, folder, bounds.keepMs);
    deployment.waitUntilAllReady();
    std::vector<std::string> accepted;
    const auto submit = [&](const std::string& id, const json& steps, const Task& task) {
        platform.defineStep(id + ".0", task);
        if (deployment.submit("/calls/", id, { { "spec", "call the crew" }, { "steps", steps } }))
            accepted.push_back(id);
    };
    int number = 0;
    submit(jobId(++number),
        json::array({ { { "count", 2 }, { "cpu", 2000 }, { "mem_mb", 512 }, { "long_running", true } } }),
        { true, 0, 2000 });
    const char* wide = std::getenv("WIDE");
    const int tasks = wide ? std::atoi(wide) : 12000;
    const std::string wideJob = jobId(++number);
    submit(wideJob, json::array({ { { "count", tasks }, { "cpu", 100 }, { "mem_mb", 16 }, { "estimate_ms", 300 } } }),
        { false, 300, 100 });
    const auto begun = Clock::now();
    while (Clock::now() < begun + Ms(40000)) {
        submit(jobId(++number),
            json::array({ { { "count", 4 }, { "cpu", 1000 }, { "mem_mb", 256 }, { "estimate_ms", 500 } } }),
            { false, 500, 1000 });
        sleepFor(400);
    }
    record.line("state of the job of " + std::to_string(tasks) + " tasks: " + deployment.state("/calls/", wideJob));
    if (hasTrouble()) {
        for (std::size_t i = 0; i < deployment.size(); ++i) {
            Entry& entry = deployment.entry(i);
            deployment.restart(entry, SIGTERM, Ms(6000));
            const bool isReady = deployment.waitUntilReady(entry, Ms(4000));
            record.line(entry.name + (isReady ? " is ready again" : " is not ready 4 s after its start"));
        }
    }
    // The jobs are asked for during finish_s.
    std::set<std::string> unknown(accepted.begin(), accepted.end());
    const auto until = Clock::now() + Ms(14000);
    while (!unknown.empty() && Clock::now() < until) {
        for (auto id = unknown.begin(); id != unknown.end() && Clock::now() < until;) {
            if (deployment.state("/calls/", *id, unknown.size() == accepted.size()).empty())
                ++id;
            else
                id = unknown.erase(id);
        }
        sleepFor(200);
    }
    record.line("accepted " + std::to_string(accepted.size())
        + ", not known or without an answer for 14 s: " + std::to_string(unknown.size())
        + ", appends refused by the store: " + std::to_string(platform.refusedAppends()));
    for (const auto& id : unknown)
        record.line("LOST broken: " + id);
    return unknown.empty() ? 0 : 1;
}

/// The second occurrence of a scheduled job starts before the first, then the controller is killed.
int skippedOccurrence(Record& record, const std::string& command, const std::string& folder)
{
    constexpr std::int64_t adviceCpu = 8000;
    Platform& platform = *new Platform(record, {});
    json timed = queue("timed", "/timed/", "desk");
    timed["advice"] = { { "decide_ms", 20 }, { "each_ms", 0 }, { "valid_ms", 10000 } };
    platform.declare("config", configuration({ queue("calls", "/calls/", "desk"), timed }, { "desk" }));
    platform.setAdviceCpu(adviceCpu);
    platform.setAdvice({ "kind-a", "kind-b" });
    const std::vector<std::string> kinds { "kind-a", "kind-b", "kind-c", "kind-c" };
    for (int i = 0; i < 4; ++i)
        platform.addMachine(machineName(i), "desk", { kinds[i], "r1-0" });
    Deployment& deployment = deploy(record, platform, command, folder, 300000);
    deployment.waitUntilAllReady();
    sleepFor(2000);
    // A job that lasts fills the worker that the first occurrence may run on.
    const std::string filler = jobId(1);
    platform.defineStep(filler + ".0", { true, 0, 60000 });
    json steps = json::array({ { { "count", 1 }, { "cpu", 60000 }, { "mem_mb", 512 }, { "long_running", true },
        { "required_label", "kind-a" } } });
    if (!deployment.submit("/calls/", filler, { { "spec", "watch" }, { "steps", steps } }))
        throw CannotRun("the job that lasts was not accepted");
    sleepFor(1000);
    if (platform.starts(filler) == 0)
        throw CannotRun("the job that lasts has not begun");
    const std::string scheduled = jobId(2);
    platform.defineStep(scheduled + ".0", { false, 500, adviceCpu });
    steps = json::array({ { { "count", 1 }, { "cpu", adviceCpu }, { "mem_mb", 512 }, { "estimate_ms", 500 } } });
    if (!deployment.submit("/timed/", scheduled,
            { { "spec", "roster" }, { "steps", steps }, { "repeats", 3 }, { "first_ms", net::unixMs() + 1000 },
                { "interval_ms", 1000 } }))
        throw CannotRun("the scheduled job was not accepted");
    sleepFor(6000);
    if (platform.starts(scheduled + ".0.") != 0 || platform.starts(scheduled + ".1.") == 0
        || platform.starts(scheduled + ".2.") == 0)
        throw CannotRun("the occurrences did not start as intended");
    if (hasTrouble()) {
        Entry* controller = deployment.controller();
        if (!controller)
            throw CannotRun("no entry controls");
        deployment.restart(*controller, SIGKILL, Ms(0));
        if (!deployment.waitUntilReady(*controller, Ms(10000)))
            throw CannotRun("the entry that was killed is not ready again");
    }
    sleepFor(5000);
    if (deployment.request("DELETE", "/calls/" + filler, "").status / 100 != 2)
        throw CannotRun("the job that lasts could not be cancelled");
    // The worker is free from here on; the first occurrence has been due for over ten seconds.
    std::string state;
    const auto until = Clock::now() + Ms(14000);
    while (state != "completed" && Clock::now() < until) {
        sleepFor(1000);
        state = deployment.state("/timed/", scheduled);
        record.line("free on the first worker: " + std::to_string(platform.freeCpu(machineName(0)))
            + ", starts of occurrences 0 to 2: " + std::to_string(platform.starts(scheduled + ".0.")) + " "
            + std::to_string(platform.starts(scheduled + ".1.")) + " "
            + std::to_string(platform.starts(scheduled + ".2.")));
    }
    const bool isBroken = platform.starts(scheduled + ".0.") == 0;
    if (isBroken)
        record.line("LOST broken: occurrence 0 of " + scheduled
            + " has not started 14 s after its worker became free; state " + state);
    return isBroken ? 1 : 0;
}

/// A job of many checkpointing tasks is cancelled.
int largeBatch(Record& record, const std::string& command, const std::string& folder)
{
    Platform& platform = *new Platform(record, {});
    platform.declare("config", configuration({ queue("calls", "/calls/", "desk") }, { "desk" }));
    for (int i = 0; i < 10; ++i)
        platform.addMachine(machineName(i), "desk", { "a", "r1-" + std::to_string(i / 4) });
    Deployment& deployment = deploy(record, platform, command, folder, 300000);
    deployment.waitUntilAllReady();
    int number = 0;
    const auto submit = [&](const json& steps, const std::vector<Task>& tasks) {
        const std::string id = jobId(++number);
        for (std::size_t step = 0; step < tasks.size(); ++step)
            platform.defineStep(id + "." + std::to_string(step), tasks[step]);
        return deployment.submit("/calls/", id, { { "spec", "call the crew" }, { "steps", steps } }) ? id
                                                                                                     : std::string();
    };
    const char* bytes = std::getenv("CHECKPOINT_BYTES");
    const std::size_t checkpointBytes = bytes ? std::strtoull(bytes, nullptr, 10) : 1000;
    const char* wideTasks = std::getenv("TASKS");
    const int tasks = wideTasks ? std::atoi(wideTasks) : 2000;
    const std::string wide = submit(json::array({ { { "count", tasks }, { "cpu", 300 }, { "mem_mb", 32 },
                                        { "estimate_ms", 60000 }, { "checkpointing", true } } }),
        { { false, 60000, 300, checkpointBytes } });
    sleepFor(6000);
    if (wide.empty() || platform.starts(wide) < tasks)
        throw CannotRun("the tasks of the wide job have not begun: " + std::to_string(platform.starts(wide)));
    // Jobs of two steps, the first of which is at work during the cancellation.
    std::vector<std::string> accepted;
    for (int i = 0; i < 3; ++i) {
        const json steps = json::array({ { { "count", 2 }, { "cpu", 1000 }, { "mem_mb", 256 },
                                             { "estimate_ms", 1500 } },
            { { "count", 2 }, { "cpu", 1000 }, { "mem_mb", 256 }, { "estimate_ms", 1500 }, { "depends_on", { 0 } } } });
        const std::string id = submit(steps, { { false, 1500, 1000 }, { false, 1500, 1000 } });
        if (!id.empty())
            accepted.push_back(id);
    }
    if (accepted.size() != 3)
        throw CannotRun("the jobs of two steps were not accepted");
    if (hasTrouble() && deployment.request("DELETE", "/calls/" + wide, "").status / 100 != 2)
        throw CannotRun("the wide job could not be cancelled");
    sleepFor(15000);
    const std::string later
        = submit(json::array({ { { "count", 2 }, { "cpu", 1000 }, { "mem_mb", 256 }, { "estimate_ms", 500 } } }),
            { { false, 500, 1000 } });
    record.line(std::string("a job that is handed in 15 s later is ") + (later.empty() ? "not accepted" : "accepted"));
    std::set<std::string> open(accepted.begin(), accepted.end());
    const auto until = Clock::now() + Ms(14000);
    while (!open.empty() && Clock::now() < until) {
        for (auto id = open.begin(); id != open.end();)
            id = deployment.state("/calls/", *id) == "completed" ? open.erase(id) : std::next(id);
        sleepFor(1000);
    }
    for (const auto& id : open)
        record.line("LOST broken: " + id
            + " has had nothing running for over 14 s, though its second step is due: starts of it "
            + std::to_string(platform.starts(id + ".0.1.")));
    if (!later.empty())
        record.line("starts of the job that was handed in 15 s later: " + std::to_string(platform.starts(later)));
    record.line("appends refused by the store: " + std::to_string(platform.refusedAppends()));
    return open.empty() ? 0 : 1;
}

/// The worker of one member of a gang crashes.
int unevenGang(Record& record, const std::string& command, const std::string& folder)
{
    Platform& platform = *new Platform(record, {});
    platform.declare("config", configuration({ queue("calls", "/calls/", "desk") }, { "desk" }));
    for (int i = 0; i < 8; ++i)
        platform.addMachine(machineName(i), "desk", { "a", "r1-" + std::to_string(i / 4) });
    Deployment& deployment = deploy(record, platform, command, folder, 300000);
    deployment.waitUntilAllReady();
    const std::string job = jobId(1);
    platform.defineStep(job + ".0", { false, 12000, 40000, 16, 3 });
    const json steps = json::array({ { { "count", 3 }, { "cpu", 40000 }, { "mem_mb", 512 }, { "estimate_ms", 12000 },
        { "checkpointing", true }, { "gang", true } } });
    if (!deployment.submit("/calls/", job, { { "spec", "settle the season" }, { "steps", steps } }))
        throw CannotRun("the job was not accepted");
    sleepFor(7000);
    if (platform.starts(job) != 3)
        throw CannotRun("the gang has not begun");
    if (hasTrouble() && !platform.crashWorkerOf(job + ".0.0.1", Ms(4000)))
        throw CannotRun("no member to crash");
    std::string state;
    const auto until = Clock::now() + Ms(50000);
    while (state != "completed" && Clock::now() < until) {
        sleepFor(1000);
        state = deployment.state("/calls/", job, false);
    }
    record.line("state of the job: " + state);
    const auto uneven = platform.unevenGangs();
    for (const auto& gang : uneven)
        record.line("UNASKED broken: the members of " + gang + " were told to start from different checkpoints");
    return uneven.empty() ? 0 : 1;
}

/// A worker crashes and starts again under its id as another kind.
int changedKind(Record& record, const std::string& command, const std::string& folder)
{
    Platform& platform = *new Platform(record, {});
    platform.declare("config", configuration({ queue("calls", "/calls/", "desk") }, { "desk" }));
    for (int i = 0; i < 8; ++i)
        platform.addMachine(machineName(i), "desk", { i < 1 ? "kind-a" : "kind-b", "r1-" + std::to_string(i / 4) });
    Deployment& deployment = deploy(record, platform, command, folder, 300000);
    deployment.waitUntilAllReady();
    sleepFor(1000);
    const char* lag = std::getenv("REGISTERS_AFTER_MS");
    for (int i = 0; i < 40; ++i) {
        if (i == 10 && hasTrouble())
            platform.crashMachine(machineName(0), Ms(3000), { "kind-b", "r1-0" }, Ms(lag ? std::atoi(lag) : 800));
        const std::string id = jobId(i + 1);
        Task task { false, 500, 1000 };
        task.requiredLabel = "kind-a";
        platform.defineStep(id + ".0", task);
        const json steps = json::array({ { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 256 }, { "estimate_ms", 500 },
            { "required_label", "kind-a" } } });
        deployment.submit("/calls/", id, { { "spec", "call the crew" }, { "steps", steps } });
        sleepFor(250);
    }
    const auto misplaced = platform.misplacedStarts();
    for (const auto& start : misplaced)
        record.line("ROUTE broken: " + start + " without kind-a");
    return misplaced.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 5)
        return 2;
    Record record(argv[4]);
    int result = 2;
    try {
        const std::string name = argv[1];
        result = name == "stale-machine-order" ? staleMachineOrder(record, argv[2], argv[3])
            : name == "wide-step"              ? wideStep(record, argv[2], argv[3])
            : name == "skipped-occurrence"     ? skippedOccurrence(record, argv[2], argv[3])
            : name == "large-batch"            ? largeBatch(record, argv[2], argv[3])
            : name == "changed-kind"           ? changedKind(record, argv[2], argv[3])
            : name == "uneven-gang"            ? unevenGang(record, argv[2], argv[3])
                                               : 2;
    } catch (const std::exception& error) {
        record.line(std::string("could not run: ") + error.what());
    }
    if (runningDeployment)
        runningDeployment->endAll();
    record.line("exit code " + std::to_string(result));
    ::_exit(result);
}
