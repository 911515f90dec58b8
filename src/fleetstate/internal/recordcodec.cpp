#include "fleetstate/recordcodec.h"

#include "declarations/objectcodec.h"

#include <array>
#include <cstring>
#include <stdexcept>

namespace turmericsill::fleetstate {

namespace {

    using foundation::Errc;
    using foundation::failure;
    using foundation::Result;
    using nlohmann::json;

    constexpr std::array<const char*, std::variant_size_v<RecordBody>> kindNames { "config_change", "drain_request",
        "drain_cancel", "instance_transition", "pool_claim", "entry_join", "entry_admit", "entry_leave",
        "departure_resolved" };
    constexpr std::array<const char*, 3> lifecycleNames { "serving", "draining", "stopped" };
    constexpr std::array<const char*, 4> purposeNames { "none", "reboot", "move", "remove" };

    template <typename Enum, std::size_t Size>
    Enum enumFromName(const std::array<const char*, Size>& names, const std::string& name)
    {
        for (std::size_t index = 0; index < Size; ++index) {
            if (name == names[index])
                return static_cast<Enum>(index);
        }
        throw std::invalid_argument("unknown enum value name: " + name);
    }

    json toJson(const ConfigChange& body)
    {
        json changes = json::array();
        for (const auto& change : body.changes)
            changes.push_back(declarations::encodeChange(change));
        return { { "base_version", body.baseVersion }, { "operator", body.operatorName }, { "reason", body.reason },
            { "changes", std::move(changes) } };
    }

    json toJson(const DrainRequest& body)
    {
        return { { "instance", body.instance }, { "instance_version", body.instanceVersion },
            { "operator", body.operatorName }, { "reason", body.reason } };
    }

    json toJson(const DrainCancel& body)
    {
        return { { "instance", body.instance }, { "instance_version", body.instanceVersion },
            { "operator", body.operatorName } };
    }

    json toJson(const InstanceTransition& body)
    {
        return { { "instance", body.instance }, { "instance_version", body.instanceVersion }, { "pool", body.pool },
            { "epoch", body.epoch }, { "to", lifecycleName(body.targetLifecycle) } };
    }

    json toJson(const PoolClaim& body)
    {
        return { { "pool", body.pool }, { "holder", body.holder }, { "incarnation", body.incarnation },
            { "expected_epoch", body.expectedEpoch } };
    }

    json toJson(const EntryJoin& body)
    {
        return { { "entry", body.entry }, { "incarnation", body.incarnation }, { "data_centre", body.dataCentre },
            { "peer_address", body.peerAddress }, { "caller_address", body.callerAddress } };
    }

    json toJson(const EntryAdmit& body)
    {
        return { { "entry", body.entry }, { "incarnation", body.incarnation }, { "sponsor", body.sponsor } };
    }

    json toJson(const EntryLeave& body)
    {
        return { { "entry", body.entry }, { "incarnation", body.incarnation }, { "by", body.removedBy },
            { "planned", body.planned }, { "proven_gone", body.provenGone } };
    }

    json toJson(const DepartureResolved& body)
    {
        return { { "entry", body.entry }, { "incarnation", body.incarnation }, { "by", body.resolvedBy } };
    }

    ConfigChange decodeConfigChange(const json& value)
    {
        ConfigChange body;
        value.at("base_version").get_to(body.baseVersion);
        value.at("operator").get_to(body.operatorName);
        value.at("reason").get_to(body.reason);
        for (const auto& change : value.at("changes"))
            body.changes.push_back(declarations::decodeChange(change));
        return body;
    }

    DrainRequest decodeDrainRequest(const json& value)
    {
        return { value.at("instance"), value.at("instance_version"), value.at("operator"), value.at("reason") };
    }

    DrainCancel decodeDrainCancel(const json& value)
    {
        return { value.at("instance"), value.at("instance_version"), value.at("operator") };
    }

    InstanceTransition decodeInstanceTransition(const json& value)
    {
        return { value.at("instance"), value.at("instance_version"), value.at("pool"), value.at("epoch"),
            lifecycleFromName(value.at("to")) };
    }

    PoolClaim decodePoolClaim(const json& value)
    {
        return { value.at("pool"), value.at("holder"), value.at("incarnation"), value.at("expected_epoch") };
    }

    EntryJoin decodeEntryJoin(const json& value)
    {
        return { value.at("entry"), value.at("incarnation"), value.at("data_centre"), value.at("peer_address"),
            value.at("caller_address") };
    }

    EntryAdmit decodeEntryAdmit(const json& value)
    {
        return { value.at("entry"), value.at("incarnation"), value.at("sponsor") };
    }

    EntryLeave decodeEntryLeave(const json& value)
    {
        return { value.at("entry"), value.at("incarnation"), value.at("by"), value.at("planned"),
            value.at("proven_gone") };
    }

    DepartureResolved decodeDepartureResolved(const json& value)
    {
        return { value.at("entry"), value.at("incarnation"), value.at("by") };
    }

    Result<RecordBody> decodeBody(const std::string& kind, const json& value)
    {
        if (kind == "config_change")
            return decodeConfigChange(value);
        if (kind == "drain_request")
            return decodeDrainRequest(value);
        if (kind == "drain_cancel")
            return decodeDrainCancel(value);
        if (kind == "instance_transition")
            return decodeInstanceTransition(value);
        if (kind == "pool_claim")
            return decodePoolClaim(value);
        if (kind == "entry_join")
            return decodeEntryJoin(value);
        if (kind == "entry_admit")
            return decodeEntryAdmit(value);
        if (kind == "entry_leave")
            return decodeEntryLeave(value);
        if (kind == "departure_resolved")
            return decodeDepartureResolved(value);
        return failure(Errc::UnknownRecord, "record.decode", {}, "unknown record kind " + kind);
    }

    Result<Record> decodeEnvelope(const json& value)
    {
        const auto schema = value.at("v").get<std::uint64_t>();
        if (schema > recordSchemaVersion)
            return failure(Errc::UnknownRecord, "record.decode", {},
                "unsupported record schema version " + std::to_string(schema));
        auto body = decodeBody(value.at("kind").get<std::string>(), value.at("body"));
        if (!body)
            return tl::unexpected(body.error());
        Record record;
        value.at("id").get_to(record.id);
        value.at("writer").get_to(record.writer);
        record.writtenAt = foundation::WallTime(foundation::milliseconds(value.at("at_ms").get<std::int64_t>()));
        record.body = std::move(*body);
        return record;
    }

} // namespace

const char* kindName(const RecordBody& body) { return kindNames.at(body.index()); }

const char* lifecycleName(Lifecycle lifecycle) { return lifecycleNames.at(static_cast<std::size_t>(lifecycle)); }

const char* purposeName(DrainPurpose purpose) { return purposeNames.at(static_cast<std::size_t>(purpose)); }

Lifecycle lifecycleFromName(const std::string& name) { return enumFromName<Lifecycle>(lifecycleNames, name); }

DrainPurpose purposeFromName(const std::string& name) { return enumFromName<DrainPurpose>(purposeNames, name); }

std::string encodeRecord(const Record& record)
{
    const auto atMs = std::chrono::duration_cast<foundation::milliseconds>(record.writtenAt.time_since_epoch()).count();
    json value { { "v", recordSchemaVersion }, { "id", record.id }, { "writer", record.writer }, { "at_ms", atMs },
        { "kind", kindName(record.body) },
        { "body", std::visit([](const auto& body) { return toJson(body); }, record.body) } };
    return value.dump();
}

Result<Record> decodeRecord(std::string_view payload)
{
    try {
        return decodeEnvelope(json::parse(payload));
    } catch (const std::exception& error) {
        return failure(Errc::ProtocolViolation, "record.decode", {}, error.what());
    }
}

} // namespace turmericsill::fleetstate
