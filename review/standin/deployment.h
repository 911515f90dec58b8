// A small deployment: the platform's stand-in, entries of the project as separate processes, and their callers.
#pragma once

#include "platform.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

namespace standin {

/// Thrown when a case cannot be run, as opposed to one in which a rule was broken.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Entry {
    std::string name;
    std::uint16_t callerPort = net::freePort();
    std::uint16_t healthPort = net::freePort();
    std::uint16_t telemetryPort = net::freePort();
    std::atomic<bool> isCut { false }; ///< Whether its path to the platform is cut.
    std::unique_ptr<net::Proxy> store;
    std::unique_ptr<net::Proxy> cloud;
    std::string settings;
    std::string log;
    pid_t pid = 0;
};

class Deployment {
public:
    Deployment(
        Record& record, Platform& platform, std::string command, std::string folder, int entries, std::int64_t keepMs)
        : record_(record)
        , platform_(platform)
        , command_(std::move(command))
    {
        for (int i = 0; i < entries; ++i) {
            auto entry = std::make_unique<Entry>();
            entry->name = "edge-here-" + std::to_string(i + 1);
            entry->store = std::make_unique<net::Proxy>(platform.storePort(), entry->isCut);
            entry->cloud = std::make_unique<net::Proxy>(platform.cloudPort(), entry->isCut);
            entry->settings = folder + "/" + entry->name + ".json";
            entry->log = folder + "/" + entry->name + ".log";
            const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
            // The fields that deploy/settings.json.template renders.
            const json settings { { "entry", entry->name }, { "data_centre", "here" },
                { "caller_address", address(entry->callerPort) }, { "health_address", address(entry->healthPort) },
                { "telemetry_address", address(entry->telemetryPort) },
                { "store_address", address(entry->store->port()) },
                { "machine_control_address", address(entry->cloud->port()) }, { "instance_control", "rpc" },
                { "advice_address", address(platform.advicePort()) }, { "processor_share", 0.25 },
                { "processor_cores", 1 }, { "longest_lease_ms", 10000 }, { "holder_interval_ms", 3000 },
                { "log_retention_ms", keepMs }, { "status_retention_ms", 120000 }, { "shutdown_grace_ms", 6000 } };
            std::ofstream(entry->settings) << settings.dump(2) << "\n";
            entries_.push_back(std::move(entry));
        }
        for (auto& entry : entries_)
            start(*entry);
    }

    /// Ends every entry that runs.
    void endAll()
    {
        for (auto& entry : entries_) {
            if (entry->pid > 0) {
                ::kill(entry->pid, SIGKILL);
                ::waitpid(entry->pid, nullptr, 0);
            }
        }
    }

    std::size_t size() const { return entries_.size(); }
    Entry& entry(std::size_t index) { return *entries_.at(index); }

    void start(Entry& entry)
    {
        std::vector<std::string> words;
        for (std::size_t at = 0; at < command_.size();) {
            const auto end = std::min(command_.find(' ', at), command_.size());
            if (end > at)
                words.push_back(command_.substr(at, end - at));
            at = end + 1;
        }
        words.insert(words.end(), { "--settings", entry.settings });
        std::vector<char*> arguments;
        for (auto& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        entry.pid = ::fork();
        if (entry.pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(entry.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        record_.line(entry.name + " started");
    }

    /// Sends a signal, waits for the end of the process and starts it again, as the platform does.
    void restart(Entry& entry, int signal, Ms grace)
    {
        record_.line(entry.name + " gets " + (signal == SIGTERM ? "SIGTERM" : "SIGKILL"));
        ::kill(entry.pid, signal);
        const auto until = Clock::now() + grace;
        while (::waitpid(entry.pid, nullptr, WNOHANG) == 0) {
            if (Clock::now() > until)
                ::kill(entry.pid, SIGKILL);
            std::this_thread::sleep_for(Ms(10));
        }
        record_.line(entry.name + " has ended");
        std::this_thread::sleep_for(Ms(300));
        start(entry);
    }

    bool isReady(Entry& entry)
    {
        return net::call(entry.healthPort, "GET", "/turmericsill/readyz", "ready", "", Ms(500)).status == 200;
    }

    bool waitUntilReady(Entry& entry, Ms timeout)
    {
        const auto until = Clock::now() + timeout;
        while (!isReady(entry)) {
            if (Clock::now() > until)
                return false;
            std::this_thread::sleep_for(Ms(50));
        }
        return true;
    }

    void waitUntilAllReady()
    {
        for (auto& entry : entries_) {
            if (!waitUntilReady(*entry, Ms(15000)))
                throw CannotRun(entry->name + " does not become ready");
        }
        if (!controller())
            throw CannotRun("no entry controls");
        record_.line("all entries are ready");
    }

    /// The entry that says that it controls; null if there is none.
    Entry* controller()
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            for (auto& entry : entries_) {
                const Response state = net::call(entry->telemetryPort, "GET", "/control", "control", "", Ms(300));
                const json body = json::parse(state.body, nullptr, false);
                if (state.status == 200 && body.is_object() && body.value("epoch", 0) > 0)
                    return entry.get();
            }
            std::this_thread::sleep_for(Ms(50));
        }
        return nullptr;
    }

    /// Sends a request through the balancer: to the ready entries in turn, to all if none is ready. After 429 or 503 it
    /// is sent again a second later, after 502, 504 or no answer at once, as often as `tries` says.
    Response request(const std::string& method, const std::string& target, const std::string& body, int tries = 5,
        bool isLogged = true)
    {
        Response last;
        for (int attempt = 0; attempt < tries; ++attempt) {
            Entry& entry = balance();
            last = net::call(entry.callerPort, method, target, "calls.example", body, Ms(3000));
            if (isLogged)
                record_.line("client: " + method + " " + target + " at " + entry.name + " -> "
                    + (last.status == 0 ? std::string("no answer") : std::to_string(last.status)) + " "
                    + last.body.substr(0, 80));
            const bool isFinal = last.status != 0 && last.status != 429 && last.status != 502 && last.status != 503
                && last.status != 504;
            if (isFinal)
                break;
            std::this_thread::sleep_for(Ms(last.status == 503 || last.status == 429 ? 1000 : 50));
        }
        return last;
    }

    bool submit(const std::string& prefix, const std::string& id, const json& job)
    {
        return request("POST", prefix + id, job.dump()).status / 100 == 2;
    }

    /// State of a job; empty if it has no answer or isn't known.
    std::string state(const std::string& prefix, const std::string& id, bool isLogged = true)
    {
        const Response answer = request("GET", prefix + id, "", 1, isLogged);
        const json body = json::parse(answer.body, nullptr, false);
        return answer.status == 200 && body.is_object() ? body.value("state", std::string()) : std::string();
    }

private:
    Entry& balance()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            Entry& entry = *entries_[next_++ % entries_.size()];
            if (isReady(entry))
                return entry;
        }
        return *entries_[next_++ % entries_.size()];
    }

    Record& record_;
    Platform& platform_;
    std::string command_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::atomic<std::size_t> next_ { 0 };
};

inline std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016x", 0xabc000 + number);
    return text;
}

} // namespace standin
