#include "operators/operatorservice.h"

#include "declarations/differ.h"
#include "declarations/folderloader.h"
#include "declarations/objectcodec.h"
#include "fleetstate/recordcodec.h"
#include "foundation/hash.h"

#include <algorithm>
#include <utility>

namespace turmericsill::operators {

using declarations::ObjectChange;
using fleetlog::AppendOutcome;
using nlohmann::json;

namespace {

    constexpr std::size_t maximumTrackedChanges = 1000;
    constexpr std::size_t maximumChangeIdLength = 128;

    RpcAnswer succeed(const json& value) { return { true, value.dump(), 0, {} }; }

    RpcAnswer failWith(int code, std::string message) { return { false, {}, code, std::move(message) }; }

    const char* outcomeState(AppendOutcome outcome)
    {
        switch (outcome) {
        case AppendOutcome::Accepted:
            return "accepted";
        case AppendOutcome::Refused:
            return "refused";
        case AppendOutcome::NotAppended:
            return "not-appended";
        case AppendOutcome::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    const char* actionName(ObjectChange::Action action)
    {
        switch (action) {
        case ObjectChange::Action::Add:
            return "add";
        case ObjectChange::Action::Update:
            return "update";
        case ObjectChange::Action::Remove:
            return "remove";
        }
        return "";
    }

    json describe(const ObjectChange& change, const declarations::DeclarationSet& before)
    {
        const declarations::ObjectKey key { declarations::kindOf(change.object), declarations::nameOf(change.object) };
        json line { { "action", actionName(change.action) }, { "kind", declarations::listName(key.kind) },
            { "name", key.name } };
        if (change.action != ObjectChange::Action::Update)
            return line;
        const json old = declarations::encode(before.at(key));
        const json now = declarations::encode(change.object);
        for (const auto& field : now.items()) {
            if (old[field.key()] != field.value())
                line["fields"][field.key()] = { { "from", old[field.key()] }, { "to", field.value() } };
        }
        return line;
    }

    json describe(const fleetstate::ChangeSummary& summary)
    {
        return { { "change_id", summary.id }, { "kind", summary.kind }, { "author", summary.operatorName },
            { "subject", summary.subject }, { "entry", summary.writer }, { "offset", summary.offset },
            { "version", summary.version }, { "at_ms", summary.writtenAtMs },
            { "state", summary.accepted ? "accepted" : "refused" }, { "reason", summary.reason } };
    }

    /// Parses declarations from a request and validates them as strictly as declarations from files.
    std::optional<declarations::DeclarationSet> parseDeclarations(const std::string& text, std::string& faultTexts)
    {
        jsonsource::Faults faults;
        std::vector<jsonsource::Document> documents;
        if (auto document = jsonsource::Document::parse("declarations", text, faults))
            documents.push_back(std::move(*document));
        auto set = declarations::loadDocuments(documents, faults);
        for (const auto& fault : faults)
            faultTexts += fault.text() + "\n";
        return faults.empty() ? set : std::nullopt;
    }

} // namespace

OperatorService::OperatorService(std::string entry, fleetlog::IFleetLog& log)
    : entry_(std::move(entry))
    , log_(log)
{
}

RpcAnswer OperatorService::checkReady() const
{
    if (!sources_.log.state || !sources_.log.caughtUp)
        return failWith(RpcNotReady, "entry " + entry_ + " has not caught up with the log yet");
    if (!sources_.log.haltReason.empty())
        return failWith(RpcNotReady, "entry " + entry_ + " has stopped applying the log: " + sources_.log.haltReason);
    return { true, {}, 0, {} };
}

RpcAnswer OperatorService::status()
{
    if (RpcAnswer ready = checkReady(); !ready.succeeded)
        return ready;
    const auto& state = *sources_.log.state;
    const auto& counters = sources_.callers;
    json drains = json::array();
    for (const auto& drain : sources_.drains) {
        drains.push_back({ { "instance", drain.instance }, { "pool", drain.pool }, { "phase", drain.phase },
            { "waiting_for", drain.waitingFor }, { "age_ms", drain.age.count() }, { "overdue", drain.overdue } });
    }
    return succeed(
        { { "entry", entry_ }, { "ready", sources_.notReadyReasons.empty() }, { "not_ready", sources_.notReadyReasons },
            { "log_reachable", sources_.log.logReachable }, { "version", state.configVersion },
            { "offset", state.nextOffset }, { "digest", foundation::toHex(state.digest()) }, { "pools", poolStatus() },
            { "entries", entryStatus() }, { "drains", std::move(drains) },
            { "callers",
                { { "received", counters.received }, { "answered", counters.answered }, { "not_run", counters.notRun },
                    { "unknown", counters.unknown }, { "attempts", counters.attempts }, { "retries", counters.retries },
                    { "queued", counters.queued }, { "in_progress", counters.inProgress } } } });
}

json OperatorService::poolStatus() const
{
    json pools = json::array();
    for (const auto& [name, pool] : sources_.log.state->pools) {
        std::array<std::size_t, 3> byLifecycle {};
        json outOfService = json::array();
        for (const auto& [instanceName, instance] : pool->outOfService) {
            ++byLifecycle.at(static_cast<std::size_t>(instance->lifecycle));
            outOfService.push_back(
                { { "instance", instanceName }, { "lifecycle", fleetstate::lifecycleName(instance->lifecycle) },
                    { "purpose", fleetstate::purposeName(instance->purpose) } });
        }
        byLifecycle[0] = pool->instances.size() - pool->outOfService.size();
        pools.push_back({ { "name", name }, { "controller", pool->claim.holder }, { "epoch", pool->claim.epoch },
            { "serving", byLifecycle[0] }, { "draining", byLifecycle[1] }, { "stopped", byLifecycle[2] },
            { "minimum_healthy", pool->declared.minimumHealthy }, { "away", std::move(outOfService) } });
    }
    return pools;
}

json OperatorService::entryStatus() const
{
    json entries = json::array();
    for (const auto& [name, member] : sources_.log.state->roster) {
        entries.push_back(
            { { "name", name }, { "incarnation", member.incarnation }, { "data_centre", member.dataCentre },
                { "caller_address", member.callerAddress }, { "admitted", member.admitted } });
    }
    return entries;
}

RpcAnswer OperatorService::history(int limit)
{
    if (RpcAnswer ready = checkReady(); !ready.succeeded)
        return ready;
    const auto& history = sources_.log.state->history;
    json changes = json::array();
    for (auto summary = history.rbegin(); summary != history.rend() && static_cast<int>(changes.size()) < limit;
         ++summary)
        changes.push_back(describe(**summary));
    return succeed({ { "changes", std::move(changes) } });
}

const fleetstate::ChangeSummary* OperatorService::findInHistory(const std::string& changeId) const
{
    const auto& history = sources_.log.state->history;
    auto found
        = std::find_if(history.begin(), history.end(), [&](const auto& summary) { return summary->id == changeId; });
    return found == history.end() ? nullptr : found->get();
}

RpcAnswer OperatorService::change(const std::string& changeId)
{
    if (RpcAnswer ready = checkReady(); !ready.succeeded)
        return ready;
    if (const auto* summary = findInHistory(changeId))
        return succeed(describe(*summary));
    auto found = changes_.find(changeId);
    if (found == changes_.end())
        return failWith(RpcNotFound, "change \"" + changeId + "\" is unknown to entry " + entry_);
    return changeAnswer(changeId, found->second);
}

RpcAnswer OperatorService::changeAnswer(const std::string& changeId, const ChangeState& change) const
{
    return succeed({ { "change_id", changeId }, { "state", change.state }, { "reason", change.reason } });
}

RpcAnswer OperatorService::declarations()
{
    if (RpcAnswer ready = checkReady(); !ready.succeeded)
        return ready;
    const auto& state = *sources_.log.state;
    return succeed(
        { { "version", state.configVersion }, { "declarations", declarations::encodeSet(state.declarationSet()) } });
}

RpcAnswer OperatorService::plan(const std::string& declarationsJson)
{
    if (RpcAnswer ready = checkReady(); !ready.succeeded)
        return ready;
    std::string faults;
    auto wanted = parseDeclarations(declarationsJson, faults);
    if (!wanted)
        return failWith(RpcInvalidInput, faults);
    const auto current = sources_.log.state->declarationSet();
    json changes = json::array();
    for (const auto& change : declarations::diff(current, *wanted))
        changes.push_back(describe(change, current));
    return succeed({ { "version", sources_.log.state->configVersion }, { "changes", std::move(changes) } });
}

RpcAnswer OperatorService::apply(const std::string& declarationsJson, std::int64_t baseVersion,
    const std::string& changeId, const std::string& author, const std::string& reason)
{
    if (RpcAnswer ready = checkReady(); !ready.succeeded)
        return ready;
    std::string faults;
    auto wanted = parseDeclarations(declarationsJson, faults);
    if (!wanted)
        return failWith(RpcInvalidInput, faults);
    const auto& state = *sources_.log.state;
    if (findInHistory(changeId) || changes_.count(changeId) != 0)
        return change(changeId);
    if (baseVersion != static_cast<std::int64_t>(state.configVersion))
        return failWith(RpcConflict,
            "planned on version " + std::to_string(baseVersion) + ", but version " + std::to_string(state.configVersion)
                + " is in force on entry " + entry_ + "; plan again");
    fleetstate::ConfigChange body;
    body.baseVersion = state.configVersion;
    body.operatorName = author;
    body.reason = reason;
    body.changes = declarations::diff(state.declarationSet(), *wanted);
    if (body.changes.empty())
        return succeed({ { "change_id", changeId }, { "state", "accepted" }, { "reason", "nothing to change" } });
    return submit(changeId, std::move(body));
}

RpcAnswer OperatorService::drain(const std::string& instance, std::int64_t instanceVersion, const std::string& changeId,
    const std::string& author, const std::string& reason)
{
    if (RpcAnswer ready = checkReady(); !ready.succeeded)
        return ready;
    const auto found = sources_.log.state->findInstance(instance);
    if (!found)
        return failWith(RpcNotFound, "no instance \"" + instance + "\"");
    const std::uint64_t version = instanceVersion > 0 ? static_cast<std::uint64_t>(instanceVersion) : found->version;
    return submit(changeId, fleetstate::DrainRequest { instance, version, author, reason });
}

RpcAnswer OperatorService::undrain(
    const std::string& instance, std::int64_t instanceVersion, const std::string& changeId, const std::string& author)
{
    if (RpcAnswer ready = checkReady(); !ready.succeeded)
        return ready;
    const auto found = sources_.log.state->findInstance(instance);
    if (!found)
        return failWith(RpcNotFound, "no instance \"" + instance + "\"");
    const std::uint64_t version = instanceVersion > 0 ? static_cast<std::uint64_t>(instanceVersion) : found->version;
    return submit(changeId, fleetstate::DrainCancel { instance, version, author });
}

RpcAnswer OperatorService::submit(const std::string& changeId, fleetstate::RecordBody body)
{
    if (changeId.empty() || changeId.size() > maximumChangeIdLength)
        return failWith(RpcInvalidInput, "change_id: expected 1 to 128 characters");
    if (findInHistory(changeId) || changes_.count(changeId) != 0)
        return change(changeId);
    changes_[changeId] = { "pending", {} };
    changeIdsByAge_.push_back(changeId);
    if (changeIdsByAge_.size() > maximumTrackedChanges) {
        changes_.erase(changeIdsByAge_.front());
        changeIdsByAge_.pop_front();
    }
    log_.submitWithId(changeId, std::move(body), [this, changeId](AppendOutcome outcome, const std::string& reason) {
        auto found = changes_.find(changeId);
        if (found != changes_.end())
            found->second = { outcomeState(outcome), reason };
    });
    return changeAnswer(changeId, changes_[changeId]);
}

} // namespace turmericsill::operators
