#include "settings/daemonsettings.h"

#include "jsonsource/objectschema.h"
#include "settings/internal/fieldcopier.h"
#include "settings/internal/memoryshare.h"

#include <algorithm>

namespace turmericsill::settings {

namespace {

    using jsonsource::FieldSchema;
    using jsonsource::FieldType;
    using jsonsource::ObjectSchema;

    constexpr double maximumIntervalMs = 600000;
    constexpr std::size_t requestMemoryWithoutLimit = 256 * megabyte;
    constexpr std::size_t responseMemoryWithoutLimit
        = 512 * megabyte; ///< Half of it takes the largest page of the log.
    constexpr std::size_t largestOperatorRequest = 64 * megabyte; ///< The declarations of a whole fleet.

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
            { "memory_limit_mb", FieldType::Integer, false, 64, 1 << 20, {} },
            { "request_memory_mb", FieldType::Integer, false, 16, 1 << 20, {} },
            { "response_memory_mb", FieldType::Integer, false, 16, 1 << 20, {} },
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
        copier.copy("memory_limit_mb", result.memoryLimitMb);
        copier.copy("request_memory_mb", result.requestMemoryMb);
        copier.copy("response_memory_mb", result.responseMemoryMb);
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
        if (settings.memoryLimitMb && settings.requestMemoryMb.value_or(0) > *settings.memoryLimitMb / 2)
            document.addFault(faults, "/request_memory_mb", "expected at most half of memory_limit_mb");
        if (settings.memoryLimitMb && settings.responseMemoryMb.value_or(0) > *settings.memoryLimitMb / 2)
            document.addFault(faults, "/response_memory_mb", "expected at most half of memory_limit_mb");
        if (settings.maximumBodyBytes > requestMemory(settings).callers / 2)
            document.addFault(faults, "/maximum_body_bytes", "expected at most three sixteenths of request_memory_mb");
    }

} // namespace

RequestMemory requestMemory(const DaemonSettings& settings)
{
    const std::size_t sum = memoryFor(settings.requestMemoryMb, settings.memoryLimitMb, requestMemoryWithoutLimit);
    return { sum * 3 / 8, sum / 2, sum / 8 };
}

std::size_t maximumOperatorRequestBytes(const DaemonSettings& settings)
{
    return std::min(largestOperatorRequest, requestMemory(settings).operators / 2);
}

ResponseMemory responseMemory(const DaemonSettings& settings)
{
    const std::size_t sum = memoryFor(settings.responseMemoryMb, settings.memoryLimitMb, responseMemoryWithoutLimit);
    return { sum / 2, sum / 4, sum / 8 };
}

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
