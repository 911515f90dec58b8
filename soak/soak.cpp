#include "soak/soak.h"

#include "processtests/processstatus.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

namespace turmericsill::soak {

using foundation::milliseconds;
using foundation::Result;
using foundation::SteadyTime;
using httpclient::HttpResponse;
using nlohmann::json;
namespace http = boost::beast::http;

namespace {

    constexpr std::size_t connectionsPerEntry = 16;
    constexpr milliseconds callerTimeout { 3000 };
    constexpr milliseconds visibilityDelay { 3000 }; ///< Time from the start until all entries know accepted jobs.
    constexpr milliseconds faultAftermath { 3000 }; ///< Time after a fault in which it may still break connections.
    constexpr milliseconds shutdownGrace { 6000 }; ///< Time within which an entry that is told to stop exits.
    constexpr milliseconds requestReadTime { 200 }; ///< Time within which an entry without faults reads a request.
    constexpr milliseconds crowdInterval { 20 }; ///< Interval at which each client of the crowd may send.
    constexpr milliseconds memoryInterval { 100 };
    constexpr milliseconds queryInterval { 150 }; ///< Interval of status queries during the fault phase.
    constexpr std::uint64_t firstJobId = 0x50a0000000000000;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusUnauthorized = 401;
    constexpr unsigned statusGone = 410;
    constexpr unsigned statusTooManyRequests = 429;
    constexpr unsigned statusUnavailable = 503;
    constexpr int burstJobs = 20; ///< Jobs that the hot team submits at once; its rate is two a second.
    const std::string unknownKey = "unknown-key";

    /// Whether an answer tells that the job was surely not stored.
    bool isRefusal(unsigned status)
    {
        return status == statusUnauthorized || status == statusTooManyRequests || status == statusUnavailable;
    }

    std::string formatId(std::uint64_t id)
    {
        char text[17];
        std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(id));
        return text;
    }

} // namespace

Soak::Soak(boost::asio::io_context& context, SoakPlan plan)
    : context_(context)
    , plan_(std::move(plan))
    , random_(plan_.seed)
    , timers_(context)
    , platform_(context, plan_.platform, 4)
    , startedAt_(clock_.now())
    , recoveryDeadline_(startedAt_ + plan_.faultPhase)
{
    for (std::size_t i = 0; i < plan_.callerAddresses.size(); ++i) {
        Entry entry;
        entry.client
            = std::make_unique<httpclient::PooledHttpClient>(context, plan_.callerAddresses[i], connectionsPerEntry);
        entry.storeProxy = std::make_unique<FaultProxy>(context, plan_.proxyAddresses[i], plan_.platform);
        entries_.push_back(std::move(entry));
    }
}

bool Soak::run()
{
    if (plan_.crowdPerPort > 0) {
        crowd_ = std::make_unique<UntrustedCrowd>(plan_.crowdPorts, plan_.crowdPerPort, random_);
        pressEntries();
    }
    measureMemory();
    submitNextJob();
    queryRandomJob();
    injectFault();
    schedule(plan_.faultPhase, [this] { startRecovery(); });
    while (!isFinished_)
        context_.run_one();
    return violations_.empty();
}

void Soak::schedule(milliseconds delay, std::function<void()> action)
{
    timers_.schedule(clock_.now() + delay, std::move(action));
}

std::int64_t Soak::randomNumber(std::int64_t minimum, std::int64_t maximum)
{
    return std::uniform_int_distribution<std::int64_t>(minimum, maximum)(random_);
}

std::size_t Soak::randomEntry() { return static_cast<std::size_t>(randomNumber(0, std::int64_t(entries_.size()) - 1)); }

void Soak::callEntry(
    std::size_t entry, http::verb verb, std::uint64_t id, const std::string& body, httpclient::HttpCallback done)
{
    httpclient::HttpCall call;
    call.verb = verb;
    call.target = "/calls/" + formatId(id);
    call.body = body;
    call.contentType = "application/json";
    call.headers = { { "Host", "calls.example" }, { "X-Deadline-Ms", std::to_string(callerTimeout.count()) },
        { "X-Api-Key", jobs_[id].key } };
    call.timeout = callerTimeout;
    call.step = "soak.call";
    entries_[entry].client->send(std::move(call), std::move(done));
}

void Soak::pressEntries()
{
    if (isRecovering_)
        return crowd_.reset();
    crowd_->step();
    schedule(crowdInterval, [this] { pressEntries(); });
}

void Soak::measureMemory()
{
    for (const auto& pidFile : plan_.pidFiles) {
        std::string pid;
        std::ifstream(pidFile) >> pid;
        peakResidentKb_ = std::max(peakResidentKb_, processtests::processStatusKb(pid, "VmHWM:"));
    }
    schedule(memoryInterval, [this] { measureMemory(); });
}

void Soak::submitNextJob()
{
    if (isRecovering_)
        return;
    submitNewJob(randomNumber(0, 9) == 0 ? unknownKey : "steady-key");
    const int hotJobs = randomNumber(0, 19) == 0 ? burstJobs : 0;
    for (int i = 0; i < hotJobs; ++i)
        submitNewJob("hot-key");
    if (randomNumber(0, 9) == 0)
        cancelRandomJob();
    schedule(milliseconds(randomNumber(10, 120)), [this] { submitNextJob(); });
}

void Soak::submitNewJob(const std::string& key)
{
    const std::uint64_t id = firstJobId + jobs_.size();
    jobs_[id].key = key;
    submitJob(id, randomEntry());
}

void Soak::submitJob(std::uint64_t id, std::size_t entry)
{
    json steps
        = json::array({ { { "count", randomNumber(1, 6) }, { "cpu", randomNumber(500, 4000) }, { "mem_mb", 100 } } });
    if (randomNumber(0, 1))
        steps.push_back(
            { { "count", randomNumber(1, 3) }, { "cpu", 1000 }, { "mem_mb", 100 }, { "depends_on", { 0 } } });
    const std::string body = json { { "spec", "soak" }, { "steps", steps } }.dump();
    callEntry(entry, http::verb::post, id, body,
        [this, id, entry, sentAt = clock_.now()](
            const Result<HttpResponse>& answer) { onSubmitted(id, entry, answer, sentAt); });
}

// A submission without an answer may have been stored. Only a job that was refused at every attempt must never run.
void Soak::onSubmitted(
    std::uint64_t id, std::size_t entry, const Result<HttpResponse>& answer, foundation::SteadyTime sentAt)
{
    SoakJob& job = jobs_[id];
    const bool isRefused = answer ? isRefusal(answer->status) : answer.error().code == foundation::Errc::Unavailable;
    if (answer && answer->status == statusOk && job.key == unknownKey)
        violations_.push_back("a job with an unknown key was accepted: " + formatId(id));
    if (answer && answer->status == statusOk)
        job.outcome = SubmissionOutcome::Accepted;
    else if (!isRefused && job.outcome == SubmissionOutcome::Refused)
        job.outcome = SubmissionOutcome::Unknown;
    const Entry& target = entries_[entry];
    const bool isInterrupted = !answer && answer.error().code == foundation::Errc::ProtocolViolation;
    const auto now = clock_.now();
    const bool isPlannedStop = now > target.faultedUntil && target.stopRequestedAt != SteadyTime {}
        && now - target.stopRequestedAt < shutdownGrace;
    // A connection may close while a request is in transit; a request that has waited longer was read.
    const bool isRead = now - sentAt > requestReadTime;
    if (isInterrupted && isPlannedStop && isRead)
        violations_.push_back("a stopping entry did not answer the submission of " + formatId(id));
    if (job.outcome == SubmissionOutcome::Accepted && randomNumber(0, 4) == 0)
        // A repeated submission must not run the job twice.
        schedule(milliseconds(randomNumber(0, 2000)), [this, id] { submitJob(id, randomEntry()); });
}

void Soak::cancelRandomJob()
{
    const std::uint64_t id = firstJobId + static_cast<std::uint64_t>(randomNumber(0, std::int64_t(jobs_.size()) - 1));
    if (jobs_[id].outcome != SubmissionOutcome::Accepted)
        return;
    jobs_[id].isCancelled = true;
    callEntry(randomEntry(), http::verb::delete_, id, {}, [](const Result<HttpResponse>&) {});
}

void Soak::queryRandomJob()
{
    if (isFinished_)
        return;
    if (!jobs_.empty())
        queryStatus(
            firstJobId + static_cast<std::uint64_t>(randomNumber(0, std::int64_t(jobs_.size()) - 1)), randomEntry());
    schedule(isRecovering_ ? milliseconds(5) : queryInterval, [this] { queryRandomJob(); });
}

void Soak::queryStatus(std::uint64_t id, std::size_t entry)
{
    const bool wasAccepted = jobs_[id].outcome == SubmissionOutcome::Accepted;
    const auto askedAt = clock_.now();
    callEntry(entry, http::verb::get, id, {}, [this, id, wasAccepted, askedAt](const Result<HttpResponse>& answer) {
        if (!answer)
            return;
        if (answer->status == statusGone && wasAccepted && askedAt > startedAt_ + visibilityDelay)
            violations_.push_back("an accepted job is unknown: " + formatId(id));
        const json body = json::parse(answer->body, nullptr, false);
        const std::string state = body.is_object() ? body.value("state", std::string()) : std::string();
        if (!state.empty() && jobs_[id].outcome == SubmissionOutcome::Refused)
            // An attempt may still be in progress; the job is checked again at the end.
            jobs_[id].outcome = SubmissionOutcome::Unknown;
        jobs_[id].isFinal |= state == "completed" || state == "failed" || state == "cancelled";
        if (state == "cancelled" && !jobs_[id].isCancelled)
            violations_.push_back("a job has the state cancelled without a cancellation: " + formatId(id));
    });
}

void Soak::markFaulted(std::size_t entry, milliseconds duration)
{
    entries_[entry].faultedUntil = std::max(entries_[entry].faultedUntil, clock_.now() + duration + faultAftermath);
}

void Soak::signalEntry(std::size_t entry, int signal)
{
    std::ifstream file(plan_.pidFiles[entry]);
    pid_t pid = 0;
    if (file >> pid && pid > 1)
        ::kill(pid, signal);
}

void Soak::pauseEntry(std::size_t entry, milliseconds duration)
{
    if (std::exchange(entries_[entry].isPaused, true))
        return;
    markFaulted(entry, duration);
    signalEntry(entry, SIGSTOP);
    schedule(duration, [this, entry] {
        signalEntry(entry, SIGCONT);
        entries_[entry].isPaused = false;
    });
}

void Soak::injectConnectionFault(std::size_t entry, const ConnectionFault& fault, milliseconds duration)
{
    markFaulted(entry, duration);
    entries_[entry].storeProxy->setFault(fault);
    schedule(duration, [this, entry] {
        entries_[entry].storeProxy->setFault({});
        entries_[entry].storeProxy->resetConnections(); // Connections that dropped bytes are not usable any more.
    });
}

void Soak::restartInstance()
{
    httpclient::HttpCall call;
    call.verb = http::verb::post;
    call.target = "/turmericsill/faults";
    call.body = json { { "restart_instance", "i-" + std::to_string(randomNumber(0, 7)) } }.dump();
    call.contentType = "application/json";
    platform_.send(std::move(call), [](const Result<HttpResponse>&) {});
}

void Soak::injectFault()
{
    if (isRecovering_)
        return;
    const std::size_t entry = randomEntry();
    const milliseconds duration(randomNumber(200, 5000));
    static const std::vector<std::string> kinds { "kill", "stop", "pause", "reload", "delay", "silence-answers",
        "silence-requests", "silence", "refuse", "reset", "restart-instance" };
    const std::string& kind = kinds[static_cast<std::size_t>(randomNumber(0, std::int64_t(kinds.size()) - 1))];
    ++faultCounts_[kind];
    if (kind == "kill") {
        markFaulted(entry, milliseconds(0));
        signalEntry(entry, SIGKILL);
    } else if (kind == "stop") {
        entries_[entry].stopRequestedAt = clock_.now();
        signalEntry(entry, SIGTERM);
    } else if (kind == "pause") {
        pauseEntry(entry, duration);
    } else if (kind == "reload") {
        signalEntry(entry, SIGHUP);
    } else if (kind == "delay") {
        injectConnectionFault(entry, { milliseconds(randomNumber(20, 300)), false, false, false }, duration);
    } else if (kind == "silence-answers") {
        injectConnectionFault(entry, { milliseconds(0), false, true, false }, duration);
    } else if (kind == "silence-requests") {
        injectConnectionFault(entry, { milliseconds(0), true, false, false }, duration);
    } else if (kind == "silence") {
        injectConnectionFault(entry, { milliseconds(0), true, true, false }, duration);
    } else if (kind == "refuse") {
        injectConnectionFault(entry, { milliseconds(0), false, false, true }, duration);
        entries_[entry].storeProxy->resetConnections();
    } else if (kind == "reset") {
        markFaulted(entry, milliseconds(0));
        entries_[entry].storeProxy->resetConnections();
    } else {
        restartInstance();
    }
    schedule(milliseconds(randomNumber(100, 1500)), [this] { injectFault(); });
}

void Soak::startRecovery()
{
    isRecovering_ = true;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        entries_[i].storeProxy->setFault({});
        entries_[i].storeProxy->resetConnections();
        signalEntry(i, SIGCONT);
    }
    recoveryDeadline_ = clock_.now() + plan_.recoveryPhase;
    checkAcceptedJobs();
}

bool Soak::isEveryAcceptedJobFinal() const
{
    return std::all_of(jobs_.begin(), jobs_.end(),
        [](const auto& entry) { return entry.second.outcome != SubmissionOutcome::Accepted || entry.second.isFinal; });
}

// Waits until all accepted jobs are final or the time limit has passed. Refused jobs are checked last, against the jobs
// that the platform stand-in has stored.
void Soak::checkAcceptedJobs()
{
    if (!isEveryAcceptedJobFinal() && clock_.now() < recoveryDeadline_)
        return schedule(milliseconds(200), [this] { checkAcceptedJobs(); });
    for (const auto& [id, job] : jobs_) {
        if (job.outcome == SubmissionOutcome::Accepted && !job.isFinal)
            violations_.push_back("an accepted job was not finished: " + formatId(id));
    }
    if (plan_.memoryLimitKb > 0 && peakResidentKb_ > plan_.memoryLimitKb)
        violations_.push_back("an entry has taken " + std::to_string(peakResidentKb_) + " kB");
    checkPlatformFigures();
}

void Soak::checkPlatformFigures()
{
    httpclient::HttpCall call;
    call.target = "/turmericsill/figures";
    platform_.send(std::move(call), [this](const Result<HttpResponse>& answer) {
        const json figures = answer ? json::parse(answer->body, nullptr, false) : json();
        isFinished_ = true;
        if (!figures.is_object())
            return violations_.push_back("the platform stand-in does not answer");
        for (const auto& line : figures.value("broken", std::vector<std::string>()))
            violations_.push_back(line);
        for (const auto& text : figures.value("stored", std::vector<std::string>())) {
            const auto job = jobs_.find(std::stoull(text, nullptr, 16));
            if (job != jobs_.end() && job->second.outcome == SubmissionOutcome::Refused)
                violations_.push_back("a refused job is stored: " + text);
        }
        if (countJobs(SubmissionOutcome::Accepted) == 0)
            violations_.push_back("no submission was accepted");
    });
}

std::ptrdiff_t Soak::countJobs(SubmissionOutcome outcome) const
{
    return std::count_if(
        jobs_.begin(), jobs_.end(), [outcome](const auto& job) { return job.second.outcome == outcome; });
}

std::string Soak::summary() const
{
    return json {
        { "seed", plan_.seed }, { "sent", jobs_.size() }, { "accepted", countJobs(SubmissionOutcome::Accepted) },
        { "refused", countJobs(SubmissionOutcome::Refused) }, { "unknown", countJobs(SubmissionOutcome::Unknown) },
        { "faults", faultCounts_ }, { "crowd", plan_.crowdPorts.size() * plan_.crowdPerPort },
        { "peak_resident_kb", peakResidentKb_ }, { "broken", violations_ }
    }.dump();
}

} // namespace turmericsill::soak
