#include "soak/soak.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

namespace turmericsill::soak {

using foundation::milliseconds;
using foundation::Result;
using foundation::SteadyTime;
using httpclient::HttpAnswer;
using nlohmann::json;
namespace http = boost::beast::http;

namespace {

    constexpr std::size_t connectionsPerEntry = 16;
    constexpr milliseconds callerDeadline { 3000 };
    constexpr milliseconds visibleTime { 3000 }; ///< After which an accepted job must be known everywhere.
    constexpr milliseconds afterFault { 3000 }; ///< In which connections may still break because of it.
    constexpr milliseconds grace { 6000 }; ///< In which an entry that is told to stop ends.
    constexpr milliseconds readTime { 200 }; ///< After which an entry that is not disturbed has read a request.
    constexpr milliseconds lookInterval { 150 };
    constexpr std::uint64_t firstJob = 0x50a0000000000000;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusGone = 410;
    constexpr unsigned statusUnavailable = 503;

    std::string idText(std::uint64_t id)
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
    , began_(clock_.now())
    , endsAt_(began_ + plan_.trouble)
{
    for (std::size_t i = 0; i < plan_.callerAddresses.size(); ++i) {
        Entry entry;
        entry.callers = std::make_unique<httpclient::HttpPeer>(context, plan_.callerAddresses[i], connectionsPerEntry);
        entry.store = std::make_unique<FaultProxy>(context, plan_.proxyAddresses[i], plan_.platform);
        entries_.push_back(std::move(entry));
    }
}

bool Soak::run()
{
    submitNext();
    lookAtOne();
    injectFault();
    later(plan_.trouble, [this] { calmDown(); });
    while (!isOver_)
        context_.run_one();
    return broken_.empty();
}

void Soak::later(milliseconds delay, std::function<void()> action)
{
    timers_.schedule(clock_.now() + delay, std::move(action));
}

std::int64_t Soak::number(std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
}

std::size_t Soak::anyEntry() { return static_cast<std::size_t>(number(0, std::int64_t(entries_.size()) - 1)); }

void Soak::call(
    std::size_t entry, http::verb verb, std::uint64_t id, const std::string& body, httpclient::HttpCallback done)
{
    httpclient::HttpCall call;
    call.verb = verb;
    call.target = "/calls/" + idText(id);
    call.body = body;
    call.contentType = "application/json";
    call.headers = { { "Host", "calls.example" }, { "X-Deadline-Ms", std::to_string(callerDeadline.count()) } };
    call.timeout = callerDeadline;
    call.step = "soak.call";
    entries_[entry].callers->send(std::move(call), std::move(done));
}

void Soak::submitNext()
{
    if (isCalm_)
        return;
    const std::uint64_t id = firstJob + jobs_.size();
    jobs_[id];
    submit(id, anyEntry());
    if (number(0, 9) == 0)
        cancelOne();
    later(milliseconds(number(10, 120)), [this] { submitNext(); });
}

void Soak::submit(std::uint64_t id, std::size_t entry)
{
    json steps = json::array({ { { "count", number(1, 6) }, { "cpu", number(500, 4000) }, { "mem_mb", 100 } } });
    if (number(0, 1))
        steps.push_back({ { "count", number(1, 3) }, { "cpu", 1000 }, { "mem_mb", 100 }, { "depends_on", { 0 } } });
    const std::string body = json { { "spec", "soak" }, { "steps", steps } }.dump();
    call(entry, http::verb::post, id, body, [this, id, entry, sentAt = clock_.now()](const Result<HttpAnswer>& answer) {
        onSubmitted(id, entry, answer, sentAt);
    });
}

// An attempt whose answer is lost leaves open what the entry did; only refusals by every attempt mean "never runs".
void Soak::onSubmitted(
    std::uint64_t id, std::size_t entry, const Result<HttpAnswer>& answer, foundation::SteadyTime sentAt)
{
    SoakJob& job = jobs_[id];
    const bool isRefused
        = answer ? answer->status == statusUnavailable : answer.error().code == foundation::Errc::Unavailable;
    if (answer && answer->status == statusOk)
        job.fate = Fate::Accepted;
    else if (!isRefused && job.fate == Fate::Refused)
        job.fate = Fate::Unknown;
    const Entry& sentTo = entries_[entry];
    const bool isCutOff = !answer && answer.error().code == foundation::Errc::ProtocolViolation;
    const auto now = clock_.now();
    const bool isPlannedStop
        = now > sentTo.disturbedUntil && sentTo.stoppingSince != SteadyTime {} && now - sentTo.stoppingSince < grace;
    // A connection may end just as a request is on its way; a request that waits was read.
    const bool wasRead = now - sentAt > readTime;
    if (isCutOff && isPlannedStop && wasRead)
        broken_.push_back("an entry that was told to stop cut off the submission of " + idText(id));
    if (job.fate == Fate::Accepted && number(0, 4) == 0)
        later(milliseconds(number(0, 2000)), [this, id] { submit(id, anyEntry()); }); // A repeated request.
}

void Soak::cancelOne()
{
    const std::uint64_t id = firstJob + static_cast<std::uint64_t>(number(0, std::int64_t(jobs_.size()) - 1));
    if (jobs_[id].fate != Fate::Accepted)
        return;
    jobs_[id].isCancelled = true;
    call(anyEntry(), http::verb::delete_, id, {}, [](const Result<HttpAnswer>&) {});
}

void Soak::lookAtOne()
{
    if (isOver_)
        return;
    if (!jobs_.empty())
        look(firstJob + static_cast<std::uint64_t>(number(0, std::int64_t(jobs_.size()) - 1)), anyEntry());
    later(isCalm_ ? milliseconds(5) : lookInterval, [this] { lookAtOne(); });
}

void Soak::look(std::uint64_t id, std::size_t entry)
{
    const bool wasAccepted = jobs_[id].fate == Fate::Accepted;
    const auto askedAt = clock_.now();
    call(entry, http::verb::get, id, {}, [this, id, wasAccepted, askedAt](const Result<HttpAnswer>& answer) {
        if (!answer)
            return;
        if (answer->status == statusGone && wasAccepted && askedAt > began_ + visibleTime)
            broken_.push_back("an accepted job is not known: " + idText(id));
        const json body = json::parse(answer->body, nullptr, false);
        const std::string state = body.is_object() ? body.value("state", std::string()) : std::string();
        if (!state.empty() && jobs_[id].fate == Fate::Refused)
            jobs_[id].fate = Fate::Unknown; // Its attempt may still be under way; checked again at the end.
        jobs_[id].isFinal |= state == "completed" || state == "failed" || state == "cancelled";
        if (state == "cancelled" && !jobs_[id].isCancelled)
            broken_.push_back("a job that nobody cancelled is shown as cancelled: " + idText(id));
    });
}

void Soak::disturb(std::size_t entry, milliseconds length)
{
    entries_[entry].disturbedUntil = std::max(entries_[entry].disturbedUntil, clock_.now() + length + afterFault);
}

void Soak::signalEntry(std::size_t entry, int signal)
{
    std::ifstream file(plan_.pidFiles[entry]);
    pid_t pid = 0;
    if (file >> pid && pid > 1)
        ::kill(pid, signal);
}

void Soak::pauseEntry(std::size_t entry, milliseconds length)
{
    if (std::exchange(entries_[entry].isPaused, true))
        return;
    disturb(entry, length);
    signalEntry(entry, SIGSTOP);
    later(length, [this, entry] {
        signalEntry(entry, SIGCONT);
        entries_[entry].isPaused = false;
    });
}

void Soak::faultLink(std::size_t entry, const LinkFault& fault, milliseconds length)
{
    disturb(entry, length);
    entries_[entry].store->setFault(fault);
    later(length, [this, entry] {
        entries_[entry].store->setFault({});
        entries_[entry].store->resetConnections(); // A silenced connection stays silent.
    });
}

void Soak::restartInstance()
{
    httpclient::HttpCall call;
    call.verb = http::verb::post;
    call.target = "/turmericsill/faults";
    call.body = json { { "restart_instance", "i-" + std::to_string(number(0, 7)) } }.dump();
    call.contentType = "application/json";
    platform_.send(std::move(call), [](const Result<HttpAnswer>&) {});
}

void Soak::injectFault()
{
    if (isCalm_)
        return;
    const std::size_t entry = anyEntry();
    const milliseconds length(number(200, 5000));
    static const std::vector<std::string> kinds { "kill", "stop", "pause", "reload", "delay", "silence-answers",
        "silence-requests", "silence", "refuse", "reset", "restart-instance" };
    const std::string& kind = kinds[static_cast<std::size_t>(number(0, std::int64_t(kinds.size()) - 1))];
    ++faults_[kind];
    if (kind == "kill") {
        disturb(entry, milliseconds(0));
        signalEntry(entry, SIGKILL);
    } else if (kind == "stop") {
        entries_[entry].stoppingSince = clock_.now();
        signalEntry(entry, SIGTERM);
    } else if (kind == "pause") {
        pauseEntry(entry, length);
    } else if (kind == "reload") {
        signalEntry(entry, SIGHUP);
    } else if (kind == "delay") {
        faultLink(entry, { milliseconds(number(20, 300)), false, false, false }, length);
    } else if (kind == "silence-answers") {
        faultLink(entry, { milliseconds(0), false, true, false }, length);
    } else if (kind == "silence-requests") {
        faultLink(entry, { milliseconds(0), true, false, false }, length);
    } else if (kind == "silence") {
        faultLink(entry, { milliseconds(0), true, true, false }, length);
    } else if (kind == "refuse") {
        faultLink(entry, { milliseconds(0), false, false, true }, length);
        entries_[entry].store->resetConnections();
    } else if (kind == "reset") {
        disturb(entry, milliseconds(0));
        entries_[entry].store->resetConnections();
    } else {
        restartInstance();
    }
    later(milliseconds(number(100, 1500)), [this] { injectFault(); });
}

void Soak::calmDown()
{
    isCalm_ = true;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        entries_[i].store->setFault({});
        entries_[i].store->resetConnections();
        signalEntry(i, SIGCONT);
    }
    endsAt_ = clock_.now() + plan_.calm;
    checkAll();
}

bool Soak::isFinished() const
{
    return std::all_of(jobs_.begin(), jobs_.end(),
        [](const auto& entry) { return entry.second.fate != Fate::Accepted || entry.second.isFinal; });
}

// Jobs are looked at until all that was accepted is final; what was refused is looked at last.
void Soak::checkAll()
{
    if (!isFinished() && clock_.now() < endsAt_)
        return later(milliseconds(200), [this] { checkAll(); });
    for (const auto& [id, job] : jobs_) {
        if (job.fate == Fate::Accepted && !job.isFinal)
            broken_.push_back("an accepted job was not finished: " + idText(id));
    }
    checkInstances();
}

void Soak::checkInstances()
{
    httpclient::HttpCall call;
    call.target = "/turmericsill/figures";
    platform_.send(std::move(call), [this](const Result<HttpAnswer>& answer) {
        const json figures = answer ? json::parse(answer->body, nullptr, false) : json();
        isOver_ = true;
        if (!figures.is_object())
            return broken_.push_back("the stand-in of the platform does not answer");
        for (const auto& line : figures.value("broken", std::vector<std::string>()))
            broken_.push_back(line);
        for (const auto& text : figures.value("stored", std::vector<std::string>())) {
            const auto job = jobs_.find(std::stoull(text, nullptr, 16));
            if (job != jobs_.end() && job->second.fate == Fate::Refused)
                broken_.push_back("a job that was refused is stored: " + text);
        }
    });
}

std::string Soak::figures() const
{
    const auto count = [this](Fate fate) {
        return std::count_if(jobs_.begin(), jobs_.end(), [fate](const auto& job) { return job.second.fate == fate; });
    };
    return json {
        { "seed", plan_.seed }, { "sent", jobs_.size() }, { "accepted", count(Fate::Accepted) },
        { "refused", count(Fate::Refused) }, { "unknown", count(Fate::Unknown) }, { "faults", faults_ },
        { "broken", broken_ }
    }.dump();
}

} // namespace turmericsill::soak
