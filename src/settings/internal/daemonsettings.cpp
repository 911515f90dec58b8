#include "settings/daemonsettings.h"

#include "jsonsource/objectschema.h"
#include "settings/internal/fieldcopier.h"

namespace turmericsill::settings {

namespace {

    using jsonsource::FieldSchema;
    using jsonsource::FieldType;
    using jsonsource::ObjectSchema;

    constexpr double maximumIntervalMs = 600000;

    FieldSchema requiredField(const std::string& name, FieldType type) { return { name, type, true, 0, 0, {} }; }

    FieldSchema optionalInteger(const std::string& name, double minimum, double maximum)
    {
        return { name, FieldType::Integer, false, minimum, maximum, {} };
    }

    const ObjectSchema& schema()
    {
        static const ObjectSchema fields {
            requiredField("entry", FieldType::Name),
            requiredField("data_centre", FieldType::Name),
            requiredField("caller_address", FieldType::Address),
            requiredField("operator_address", FieldType::Address),
            requiredField("telemetry_address", FieldType::Address),
            requiredField("peer_address", FieldType::Address),
            requiredField("platform_address", FieldType::Address),
            { "log_stream", FieldType::Name, false, 0, 0, {} },
            { "stale_serving", FieldType::Choice, false, 0, 0, { "serve", "fence" } },
            optionalInteger("fence_after_ms", 1000, maximumIntervalMs),
            optionalInteger("heartbeat_interval_ms", 50, 10000),
            optionalInteger("suspect_after_ms", 200, maximumIntervalMs),
            optionalInteger("instance_list_lag_ms", 0, maximumIntervalMs),
            optionalInteger("append_interval_ms", 10, 10000),
            optionalInteger("snapshot_records", 10, 10000000),
            optionalInteger("default_timeout_ms", 1, maximumIntervalMs),
            optionalInteger("header_timeout_ms", 100, maximumIntervalMs),
            optionalInteger("idle_timeout_ms", 100, maximumIntervalMs),
            optionalInteger("shutdown_notice_ms", 0, maximumIntervalMs),
            optionalInteger("shutdown_grace_ms", 0, maximumIntervalMs),
            optionalInteger("maximum_connections", 1, 1000000),
            optionalInteger("maximum_body_bytes", 1, 1 << 28),
            optionalInteger("maximum_queued_requests", 1, 1000000),
            { "trace_file", FieldType::Text, false, 0, 0, {} },
        };
        return fields;
    }

    DaemonSettings fromJson(const nlohmann::json& object)
    {
        DaemonSettings result;
        FieldCopier copier(object);
        copier.copy("entry", result.entry);
        copier.copy("data_centre", result.dataCentre);
        copier.copy("caller_address", result.callerAddress);
        copier.copy("operator_address", result.operatorAddress);
        copier.copy("telemetry_address", result.telemetryAddress);
        copier.copy("peer_address", result.peerAddress);
        copier.copy("platform_address", result.platformAddress);
        copier.copy("log_stream", result.logStream);
        copier.copy("fence_after_ms", result.fenceAfter);
        copier.copy("heartbeat_interval_ms", result.heartbeatInterval);
        copier.copy("suspect_after_ms", result.suspectAfter);
        copier.copy("instance_list_lag_ms", result.instanceListLag);
        copier.copy("append_interval_ms", result.appendInterval);
        copier.copy("snapshot_records", result.snapshotRecords);
        copier.copy("default_timeout_ms", result.defaultTimeout);
        copier.copy("header_timeout_ms", result.headerTimeout);
        copier.copy("idle_timeout_ms", result.idleTimeout);
        copier.copy("shutdown_notice_ms", result.shutdownNotice);
        copier.copy("shutdown_grace_ms", result.shutdownGrace);
        copier.copy("maximum_connections", result.maximumConnections);
        copier.copy("maximum_body_bytes", result.maximumBodyBytes);
        copier.copy("maximum_queued_requests", result.maximumQueuedRequests);
        copier.copy("trace_file", result.traceFile);
        if (object.value("stale_serving", "serve") == "fence")
            result.staleServing = StaleServing::Fence;
        return result;
    }

    void checkConsistency(
        const DaemonSettings& settings, const jsonsource::Document& document, jsonsource::Faults& faults)
    {
        if (settings.suspectAfter < 2 * settings.heartbeatInterval)
            document.addFault(faults, "/suspect_after_ms", "expected at least twice heartbeat_interval_ms");
        if (settings.fenceAfter < settings.suspectAfter)
            document.addFault(faults, "/fence_after_ms", "expected at least suspect_after_ms");
    }

} // namespace

std::optional<DaemonSettings> parseDaemonSettings(
    const std::string& file, const std::string& text, jsonsource::Faults& faults)
{
    const std::size_t faultsBefore = faults.size();
    auto document = jsonsource::Document::parse(file, text, faults);
    if (!document)
        return std::nullopt;
    jsonsource::checkObject(*document, "", schema(), faults);
    if (faults.size() != faultsBefore)
        return std::nullopt;
    DaemonSettings result = fromJson(document->value());
    checkConsistency(result, *document, faults);
    if (faults.size() != faultsBefore)
        return std::nullopt;
    return result;
}

std::optional<DaemonSettings> loadDaemonSettings(const std::string& path, jsonsource::Faults& faults)
{
    auto text = jsonsource::readFile(path, faults);
    if (!text)
        return std::nullopt;
    return parseDaemonSettings(path, *text, faults);
}

} // namespace turmericsill::settings
