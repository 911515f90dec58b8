#include "ctl/commandrunner.h"

#include "ctl/httprpctransport.h"
#include "declarations/folderloader.h"
#include "declarations/objectcodec.h"

#include <iomanip>
#include <ostream>
#include <thread>

namespace turmericsill::ctl {

using foundation::milliseconds;
using nlohmann::json;
using operators::IOperatorCalls;
using operators::RpcAnswer;

namespace {

    constexpr milliseconds pollInterval { 50 };

} // namespace

CommandRunner::CommandRunner(const CommandLine& command, std::ostream& out, std::ostream& error)
    : command_(command)
    , out_(out)
    , error_(error)
{
}

ExitCode CommandRunner::run()
{
    const std::string& verb = command_.verb;
    if (verb == "check")
        return check();
    if (verb == "plan")
        return plan();
    if (verb == "apply")
        return apply();
    if (verb == "drain")
        return drain();
    if (verb == "undrain")
        return undrain();
    if (verb == "status")
        return show(
            [](IOperatorCalls& calls) { return calls.status(); }, [this](const json& value) { printStatus(value); });
    if (verb == "history")
        return show([this](IOperatorCalls& calls) { return calls.history(command_.limit); },
            [this](const json& value) { printHistory(value); });
    if (verb == "declarations")
        return show([](IOperatorCalls& calls) { return calls.declarations(); },
            [this](const json& value) { out_ << value.dump(2) << "\n"; });
    return show([this](IOperatorCalls& calls) { return calls.change(command_.arguments.at(0)); },
        [this](const json& value) {
            printHistory({ { "changes", json::array({ value }) } });
        });
}

RpcAnswer CommandRunner::callAnyEntry(const Call& call)
{
    RpcAnswer answer;
    for (const auto& entry : command_.entries) {
        HttpRpcTransport transport(entry, command_.timeout);
        operators::OperatorRpcClient client(transport);
        answer = call(client);
        const bool unreachable = answer.code == operators::rpcTransportFailed;
        mayHaveReachedEntry_ |= unreachable && transport.mayHaveReachedEntry();
        // An entry that is not ready has not acted on the call, so it is safe to try the next one.
        if (!unreachable && answer.code != operators::RpcNotReady)
            return answer;
    }
    return answer;
}

ExitCode CommandRunner::reportFailure(const RpcAnswer& answer)
{
    error_ << answer.message << "\n";
    if (answer.code != operators::rpcTransportFailed && answer.code != operators::RpcNotReady)
        return ExitRefused;
    return mayHaveReachedEntry_ ? ExitUnknown : ExitNoEntry;
}

ExitCode CommandRunner::show(const Call& call, const std::function<void(const json&)>& print)
{
    const RpcAnswer answer = callAnyEntry(call);
    if (!answer.succeeded) {
        // Read-only calls have no effect, so their outcome is never unknown.
        mayHaveReachedEntry_ = false;
        return reportFailure(answer);
    }
    if (command_.json)
        out_ << answer.json << "\n";
    else
        print(json::parse(answer.json));
    return ExitDone;
}

bool CommandRunner::loadDeclarations(std::string& text)
{
    jsonsource::Faults faults;
    auto set = declarations::loadFolder(command_.arguments.at(0), faults);
    for (const auto& fault : faults)
        error_ << fault.text() << "\n";
    if (set)
        text = declarations::encodeSet(*set).dump();
    return set.has_value();
}

ExitCode CommandRunner::check()
{
    std::string text;
    if (!loadDeclarations(text))
        return ExitRefused;
    out_ << command_.arguments.at(0) << ": no faults\n";
    return ExitDone;
}

ExitCode CommandRunner::plan()
{
    std::string text;
    if (!loadDeclarations(text))
        return ExitRefused;
    return show(
        [&](IOperatorCalls& calls) { return calls.plan(text); }, [this](const json& value) { printPlan(value); });
}

ExitCode CommandRunner::apply()
{
    std::string text;
    if (!loadDeclarations(text))
        return ExitRefused;
    if (command_.baseVersion < 0) {
        const RpcAnswer planned = callAnyEntry([&](IOperatorCalls& calls) { return calls.plan(text); });
        if (!planned.succeeded) {
            mayHaveReachedEntry_ = false;
            return reportFailure(planned);
        }
        const json value = json::parse(planned.json);
        command_.baseVersion = value.at("version").get<std::int64_t>();
        if (!command_.json)
            printPlan(value);
    }
    return publish([&](IOperatorCalls& calls) {
        return calls.apply(text, command_.baseVersion, command_.changeId, command_.author, command_.reason);
    });
}

ExitCode CommandRunner::drain()
{
    const std::string instance = command_.arguments.at(0);
    const std::int64_t version = std::max<std::int64_t>(command_.baseVersion, 0);
    const ExitCode published = publish([&](IOperatorCalls& calls) {
        return calls.drain(instance, version, command_.changeId, command_.author, command_.reason);
    });
    if (published != ExitDone || !command_.wait)
        return published;
    return waitUntilServing(instance);
}

ExitCode CommandRunner::undrain()
{
    const std::int64_t version = std::max<std::int64_t>(command_.baseVersion, 0);
    return publish([&](IOperatorCalls& calls) {
        return calls.undrain(command_.arguments.at(0), version, command_.changeId, command_.author);
    });
}

ExitCode CommandRunner::waitUntilServing(const std::string& instance)
{
    while (true) {
        const RpcAnswer answer = callAnyEntry([](IOperatorCalls& calls) { return calls.status(); });
        if (!answer.succeeded)
            return reportFailure(answer);
        const json status = json::parse(answer.json);
        // An entry that lags behind in the log may not know of the drain yet.
        bool isOutOfService = status.at("offset").get<std::uint64_t>() <= changeOffset_;
        for (const auto& pool : status.at("pools")) {
            for (const auto& item : pool.at("away"))
                isOutOfService |= item.at("instance") == instance;
        }
        if (!isOutOfService) {
            out_ << instance << " serves again\n";
            return ExitDone;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

ExitCode CommandRunner::publish(const Call& call)
{
    RpcAnswer answer = callAnyEntry(call);
    if (answer.succeeded)
        return awaitOutcome(answer);
    const ExitCode code = reportFailure(answer);
    if (code == ExitUnknown)
        error_ << "the outcome is unknown; ask with: turmericctl change " << command_.changeId << "\n";
    return code;
}

// A change stays pending until the entry has read it back from the log.
ExitCode CommandRunner::awaitOutcome(const RpcAnswer& first)
{
    json change = json::parse(first.json);
    const auto deadline = std::chrono::steady_clock::now() + command_.timeout;
    while (change.at("state") == "pending" && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        const RpcAnswer answer
            = callAnyEntry([this](IOperatorCalls& calls) { return calls.change(command_.changeId); });
        if (answer.succeeded)
            change = json::parse(answer.json);
    }
    return reportOutcome(change);
}

ExitCode CommandRunner::reportOutcome(const json& change)
{
    const std::string state = change.at("state");
    changeOffset_ = change.value("offset", std::uint64_t { 0 });
    if (command_.json)
        out_ << change.dump() << "\n";
    if (state == "accepted") {
        if (!command_.json)
            out_ << "accepted: change " << command_.changeId << "\n";
        return ExitDone;
    }
    const std::string reason = change.value("reason", "");
    if (state == "refused" || state == "not-appended") {
        error_ << "not accepted: " << reason << "\n";
        return ExitRefused;
    }
    error_ << "the outcome is unknown: " << reason << "; ask with: turmericctl change " << command_.changeId << "\n";
    return ExitUnknown;
}

void CommandRunner::printStatus(const json& status)
{
    const auto count = [](const json& value, const char* field) { return value.at(field).get<std::uint64_t>(); };
    out_ << "entry " << status.at("entry").get<std::string>() << ", version " << count(status, "version") << ", log "
         << (status.at("log_reachable").get<bool>() ? "reachable" : "not reachable") << ", "
         << (status.at("ready").get<bool>() ? "ready" : "not ready: " + status.at("not_ready").get<std::string>())
         << "\n\n";
    out_ << std::left << std::setw(24) << "POOL" << std::setw(16) << "CONTROLLER" << std::right << std::setw(9)
         << "SERVING" << std::setw(10) << "DRAINING" << std::setw(9) << "STOPPED"
         << "\n";
    for (const auto& pool : status.at("pools")) {
        out_ << std::left << std::setw(24) << pool.at("name").get<std::string>() << std::setw(16)
             << pool.at("controller").get<std::string>() << std::right << std::setw(9) << count(pool, "serving")
             << std::setw(10) << count(pool, "draining") << std::setw(9) << count(pool, "stopped") << "\n";
        for (const auto& item : pool.at("away"))
            out_ << "  " << item.at("instance").get<std::string>() << " " << item.at("lifecycle").get<std::string>()
                 << " for " << item.at("purpose").get<std::string>() << "\n";
    }
    for (const auto& drain : status.at("drains")) {
        const std::string waits = drain.at("waiting_for");
        if (!waits.empty())
            out_ << drain.at("instance").get<std::string>() << " waits for " << waits << "\n";
    }
    out_ << "\n"
         << std::left << std::setw(24) << "ENTRY" << std::setw(16) << "DATA CENTRE" << std::setw(22) << "CALLERS AT"
         << "ADMITTED\n";
    for (const auto& entry : status.at("entries"))
        out_ << std::setw(24) << entry.at("name").get<std::string>() << std::setw(16)
             << entry.at("data_centre").get<std::string>() << std::setw(22)
             << entry.at("caller_address").get<std::string>() << (entry.at("admitted").get<bool>() ? "yes" : "no")
             << "\n";
}

void CommandRunner::printHistory(const json& history)
{
    for (const auto& change : history.at("changes")) {
        out_ << change.at("change_id").get<std::string>() << "  " << change.value("kind", "") << "  "
             << change.value("author", "") << "  " << change.value("subject", "") << "  "
             << change.at("state").get<std::string>();
        if (const std::string reason = change.value("reason", ""); !reason.empty())
            out_ << ": " << reason;
        out_ << "\n";
    }
}

void CommandRunner::printPlan(const json& plan)
{
    out_ << "against version " << plan.at("version") << ":\n";
    if (plan.at("changes").empty())
        out_ << "  nothing to change\n";
    for (const auto& change : plan.at("changes")) {
        out_ << "  " << change.at("action").get<std::string>() << " " << change.at("kind").get<std::string>() << " "
             << change.at("name").get<std::string>() << "\n";
        if (!change.contains("fields"))
            continue;
        for (const auto& field : change.at("fields").items())
            out_ << "    " << field.key() << ": " << field.value().at("from").dump() << " -> "
                 << field.value().at("to").dump() << "\n";
    }
}

} // namespace turmericsill::ctl
