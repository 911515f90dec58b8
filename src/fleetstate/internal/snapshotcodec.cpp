#include "fleetstate/internal/snapshotcodec.h"

#include "declarations/objectcodec.h"
#include "fleetstate/internal/stateeditor.h"
#include "fleetstate/recordcodec.h"
#include "foundation/cbor.h"

namespace turmericsill::fleetstate::snapshotcodec {

namespace {

    using declarations::ObjectKind;
    using foundation::Errc;
    using foundation::failure;
    using foundation::Result;
    using nlohmann::json;

    json encodeInstance(const InstanceState& instance)
    {
        return { { "declared", declarations::encode(instance.declared) },
            { "lifecycle", lifecycleName(instance.lifecycle) }, { "purpose", purposeName(instance.purpose) },
            { "version", instance.version } };
    }

    InstanceState decodeInstance(const json& value)
    {
        InstanceState instance;
        instance.declared
            = std::get<declarations::Instance>(declarations::decode(ObjectKind::Instance, value.at("declared")));
        instance.lifecycle = lifecycleFromName(value.at("lifecycle"));
        instance.purpose = purposeFromName(value.at("purpose"));
        value.at("version").get_to(instance.version);
        return instance;
    }

    json encodePool(const PoolState& pool)
    {
        json instances = json::array();
        for (const auto& [name, instance] : pool.instances)
            instances.push_back(encodeInstance(*instance));
        return { { "declared", declarations::encode(pool.declared) }, { "holder", pool.claim.holder },
            { "incarnation", pool.claim.incarnation }, { "epoch", pool.claim.epoch },
            { "instances", std::move(instances) } };
    }

    void decodePool(const json& value, FleetState& state)
    {
        StateEditor editor(state);
        auto declared = std::get<declarations::Pool>(declarations::decode(ObjectKind::Pool, value.at("declared")));
        editor.addPool(declared);
        editor.mutablePool(declared.name).claim = { value.at("holder"), value.at("incarnation"), value.at("epoch") };
        for (const auto& instance : value.at("instances"))
            editor.putInstance(declared.name, decodeInstance(instance));
    }

    json encodeMember(const EntryMember& member)
    {
        return { { "entry", member.entry }, { "incarnation", member.incarnation }, { "data_centre", member.dataCentre },
            { "peer_address", member.peerAddress }, { "caller_address", member.callerAddress },
            { "admitted", member.admitted }, { "joined_at", member.joinOffset } };
    }

    EntryMember decodeMember(const json& value)
    {
        return { value.at("entry"), value.at("incarnation"), value.at("data_centre"), value.at("peer_address"),
            value.at("caller_address"), value.at("admitted"), value.at("joined_at") };
    }

    json encodeSummary(const ChangeSummary& summary)
    {
        return { { "id", summary.id }, { "kind", summary.kind }, { "writer", summary.writer },
            { "operator", summary.operatorName }, { "subject", summary.subject }, { "offset", summary.offset },
            { "version", summary.version }, { "at_ms", summary.writtenAtMs }, { "accepted", summary.accepted },
            { "reason", summary.reason } };
    }

    ChangeSummaryPtr decodeSummary(const json& value)
    {
        boost::intrusive_ptr<ChangeSummary> summary = new ChangeSummary();
        value.at("id").get_to(summary->id);
        value.at("kind").get_to(summary->kind);
        value.at("writer").get_to(summary->writer);
        value.at("operator").get_to(summary->operatorName);
        value.at("subject").get_to(summary->subject);
        value.at("offset").get_to(summary->offset);
        value.at("version").get_to(summary->version);
        value.at("at_ms").get_to(summary->writtenAtMs);
        value.at("accepted").get_to(summary->accepted);
        value.at("reason").get_to(summary->reason);
        return summary;
    }

    json encodeTables(const FleetState& state)
    {
        json tables = json::object();
        for (std::size_t index = 0; index < state.tables.size(); ++index) {
            if (!state.tables[index])
                continue;
            json objects = json::array();
            for (const auto& [name, declaredObject] : state.tables[index]->objects)
                objects.push_back(declarations::encode(declaredObject->object));
            tables[std::to_string(index)] = std::move(objects);
        }
        return tables;
    }

    DecodedSnapshot decodeState(const json& value)
    {
        DecodedSnapshot decoded;
        decoded.state = new FleetState();
        FleetState& state = *decoded.state;
        value.at("next_offset").get_to(state.nextOffset);
        value.at("config_version").get_to(state.configVersion);
        value.at("roster_version").get_to(state.rosterVersion);
        value.at("admissions").get_to(state.admissions);
        for (const auto& pool : value.at("pools"))
            decodePool(pool, state);
        StateEditor editor(state);
        for (const auto& table : value.at("tables").items()) {
            const auto kind = static_cast<ObjectKind>(std::stoul(table.key()));
            for (const auto& object : table.value())
                editor.putObject(declarations::decode(kind, object));
        }
        for (const auto& item : value.at("roster")) {
            EntryMember member = decodeMember(item);
            state.roster.emplace(member.entry, member);
        }
        for (const auto& item : value.at("departures"))
            state.departures.push_back({ item.at("entry"), item.at("incarnation") });
        for (const auto& item : value.at("history"))
            state.history.push_back(decodeSummary(item));
        value.at("recent_ids").get_to(decoded.recentIdHashes);
        return decoded;
    }

} // namespace

std::string encode(const FleetState& state, const std::vector<std::uint64_t>& recentIdHashes)
{
    json pools = json::array();
    for (const auto& [name, pool] : state.pools)
        pools.push_back(encodePool(*pool));
    json roster = json::array();
    for (const auto& [name, member] : state.roster)
        roster.push_back(encodeMember(member));
    json departures = json::array();
    for (const auto& departure : state.departures)
        departures.push_back({ { "entry", departure.entry }, { "incarnation", departure.incarnation } });
    json history = json::array();
    for (const auto& summary : state.history)
        history.push_back(encodeSummary(*summary));
    json value { { "v", recordSchemaVersion }, { "next_offset", state.nextOffset },
        { "config_version", state.configVersion }, { "roster_version", state.rosterVersion },
        { "admissions", state.admissions }, { "pools", std::move(pools) }, { "tables", encodeTables(state) },
        { "roster", std::move(roster) }, { "departures", std::move(departures) }, { "history", std::move(history) },
        { "recent_ids", recentIdHashes } };
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

Result<DecodedSnapshot> decode(std::string_view snapshot)
{
    try {
        const json value = foundation::parseCbor(snapshot);
        if (value.at("v").get<std::uint64_t>() > recordSchemaVersion)
            return failure(
                Errc::UnknownRecord, "snapshot.decode", {}, "snapshot was written by a newer version of the program");
        return decodeState(value);
    } catch (const std::exception& error) {
        return failure(Errc::ProtocolViolation, "snapshot.decode", {}, error.what());
    }
}

} // namespace turmericsill::fleetstate::snapshotcodec
