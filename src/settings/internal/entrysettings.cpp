#include "settings/entrysettings.h"

#include "jsonsource/objectschema.h"
#include "settings/internal/fieldcopier.h"
#include "settings/internal/memoryshare.h"

#include <algorithm>
#include <cmath>

namespace turmericsill::settings {

namespace {

    using jsonsource::FieldSchema;
    using jsonsource::FieldType;
    using jsonsource::ObjectSchema;

    constexpr double maximumIntervalMs = 600000;
    constexpr double minimumLogBytes = 8192; ///< Takes a job with the longest text that the platform allows.
    constexpr double maximumLogBytes = 1 << 30;
    constexpr std::size_t requestMemoryWithoutLimit = 64 * megabyte;
    /// All entries hold the same jobs, so it does not follow from the memory of a larger machine.
    constexpr std::size_t largestDefaultJobMemory = 40 * megabyte;
    constexpr std::size_t responseMemoryWithoutLimit = 256 * megabyte; ///< Enough for a page of the largest log read.
    /// Of 4,100 descriptors 1,100 are left for files, instances, other entries and the store.
    constexpr std::size_t callerConnectionsOf = 3000;
    constexpr std::size_t descriptorsFor = 4100;

    const std::string compressedRunRecords = "compressed";
    const std::string batchedRunRecords = "batched";
    const std::string singleRunRecords = "single";

    FieldSchema requiredField(const std::string& name, FieldType type) { return { name, type, true, 0, 0, {} }; }

    FieldSchema optionalInterval(const std::string& name, double minimum)
    {
        return { name, FieldType::Integer, false, minimum, maximumIntervalMs, {} };
    }

    const ObjectSchema& schema()
    {
        static const ObjectSchema fields {
            requiredField("entry", FieldType::Name),
            requiredField("data_centre", FieldType::Name),
            requiredField("caller_address", FieldType::Address),
            requiredField("health_address", FieldType::Address),
            requiredField("telemetry_address", FieldType::Address),
            requiredField("store_address", FieldType::Address),
            requiredField("machine_control_address", FieldType::Address),
            // Instances that fetch their orders with heartbeats instead of receiving calls are not supported.
            { "instance_control", FieldType::Choice, false, 0, 0, { "rpc" } },
            { "advice_address", FieldType::Address, false, 0, 0, {} },
            { "processor_share", FieldType::Number, false, 0.001, 1, {} },
            { "processor_cores", FieldType::Integer, false, 1, 1024, {} },
            optionalInterval("longest_lease_ms", 1000),
            optionalInterval("holder_interval_ms", 0),
            optionalInterval("log_retention_ms", 1000),
            { "log_record_bytes", FieldType::Integer, false, minimumLogBytes, maximumLogBytes, {} },
            { "log_append_bytes", FieldType::Integer, false, minimumLogBytes, maximumLogBytes, {} },
            optionalInterval("status_retention_ms", 1000),
            optionalInterval("shutdown_grace_ms", 500),
            optionalInterval("configuration_bound_ms", 100),
            optionalInterval("key_revocation_bound_ms", 500),
            { "team_burst_jobs", FieldType::Integer, false, 0, 1000000, {} },
            { "remote_slowdown", FieldType::Number, false, 1, 1000, {} },
            { "memory_limit_mb", FieldType::Integer, false, 32, 1 << 20, {} },
            { "descriptor_limit", FieldType::Integer, false, 256, 1 << 24, {} },
            { "request_memory_mb", FieldType::Integer, false, 4, 1 << 20, {} },
            { "response_memory_mb", FieldType::Integer, false, 8, 1 << 20, {} },
            { "job_memory_mb", FieldType::Integer, false, 4, 1 << 20, {} },
            { "caller_connections", FieldType::Integer, false, 16, 1 << 24, {} },
            { "request_body_bytes", FieldType::Integer, false, 1024, maximumLogBytes, {} },
            { "run_records", FieldType::Choice, false, 0, 0,
                { compressedRunRecords, batchedRunRecords, singleRunRecords } },
        };
        return fields;
    }

    EntrySettings fromJson(const nlohmann::json& object)
    {
        EntrySettings result;
        const FieldCopier copier(object);
        copier.copy("entry", result.entry);
        copier.copy("data_centre", result.dataCentre);
        copier.copy("caller_address", result.callerAddress);
        copier.copy("health_address", result.healthAddress);
        copier.copy("telemetry_address", result.telemetryAddress);
        copier.copy("store_address", result.storeAddress);
        copier.copy("machine_control_address", result.machineControlAddress);
        copier.copy("advice_address", result.adviceAddress);
        copier.copy("processor_share", result.processorShare);
        copier.copy("processor_cores", result.processorCores);
        copier.copy("longest_lease_ms", result.maximumLease);
        copier.copy("holder_interval_ms", result.holderInterval);
        copier.copy("log_retention_ms", result.logRetention);
        copier.copy("log_record_bytes", result.logRecordBytes);
        copier.copy("log_append_bytes", result.logAppendBytes);
        copier.copy("status_retention_ms", result.statusRetention);
        copier.copy("shutdown_grace_ms", result.shutdownGrace);
        copier.copy("configuration_bound_ms", result.configurationBound);
        copier.copy("key_revocation_bound_ms", result.keyRevocationBound);
        copier.copy("team_burst_jobs", result.teamBurstJobs);
        copier.copy("remote_slowdown", result.remoteSlowdown);
        copier.copy("memory_limit_mb", result.memoryLimitMb);
        copier.copy("descriptor_limit", result.descriptorLimit);
        copier.copy("request_memory_mb", result.requestMemoryMb);
        copier.copy("response_memory_mb", result.responseMemoryMb);
        copier.copy("job_memory_mb", result.jobMemoryMb);
        copier.copy("caller_connections", result.callerConnections);
        copier.copy("request_body_bytes", result.requestBodyBytes);
        const auto form = object.value("run_records", compressedRunRecords);
        result.batchesRunRecords = form != singleRunRecords;
        result.compressesRecords = form == compressedRunRecords;
        return result;
    }

    void checkLimits(const jsonsource::Document& document, const EntrySettings& settings, jsonsource::Faults& faults)
    {
        if (settings.memoryLimitMb && requestMemoryBytes(settings) > *settings.memoryLimitMb * megabyte / 2)
            document.addFault(faults, "/request_memory_mb", "expected at most half of memory_limit_mb");
        if (settings.memoryLimitMb && responseMemoryBytes(settings) > *settings.memoryLimitMb * megabyte / 2)
            document.addFault(faults, "/response_memory_mb", "expected at most half of memory_limit_mb");
        if (settings.memoryLimitMb && jobMemoryBytes(settings) > *settings.memoryLimitMb * megabyte / 2)
            document.addFault(faults, "/job_memory_mb", "expected at most half of memory_limit_mb");
        if (settings.descriptorLimit && maximumCallerConnections(settings) >= *settings.descriptorLimit)
            document.addFault(faults, "/caller_connections", "expected less than descriptor_limit");
        if (requestMemoryBytes(settings) < 2 * settings.requestBodyBytes)
            document.addFault(faults, "/request_body_bytes", "expected at most half of request_memory_mb");
    }

} // namespace

std::size_t requestMemoryBytes(const EntrySettings& settings)
{
    return memoryFor(settings.requestMemoryMb, settings.memoryLimitMb, requestMemoryWithoutLimit);
}

std::size_t responseMemoryBytes(const EntrySettings& settings)
{
    return memoryFor(settings.responseMemoryMb, settings.memoryLimitMb, responseMemoryWithoutLimit);
}

std::size_t jobMemoryBytes(const EntrySettings& settings)
{
    const std::size_t share = memoryFor(settings.jobMemoryMb, settings.memoryLimitMb, largestDefaultJobMemory);
    return settings.jobMemoryMb ? share : std::min(share, largestDefaultJobMemory);
}

std::size_t maximumCallerConnections(const EntrySettings& settings)
{
    if (settings.callerConnections)
        return *settings.callerConnections;
    return settings.descriptorLimit ? *settings.descriptorLimit * callerConnectionsOf / descriptorsFor
                                    : callerConnectionsOf;
}

std::uint32_t processorMillicores(const EntrySettings& settings)
{
    constexpr double millicoresPerCore = 1000;
    return static_cast<std::uint32_t>(
        std::lround(settings.processorShare * static_cast<double>(settings.processorCores) * millicoresPerCore));
}

std::optional<EntrySettings> parseEntrySettings(
    const std::string& file, const std::string& text, jsonsource::Faults& faults)
{
    const std::size_t faultsBefore = faults.size();
    auto document = jsonsource::Document::parse(file, text, faults);
    if (!document)
        return std::nullopt;
    jsonsource::checkObject(*document, "", schema(), faults);
    if (faults.size() != faultsBefore)
        return std::nullopt;
    EntrySettings settings = fromJson(document->value());
    checkLimits(*document, settings, faults);
    if (faults.size() != faultsBefore)
        return std::nullopt;
    return settings;
}

std::optional<EntrySettings> loadEntrySettings(const std::string& path, jsonsource::Faults& faults)
{
    auto text = jsonsource::readFile(path, faults);
    if (!text)
        return std::nullopt;
    return parseEntrySettings(path, *text, faults);
}

} // namespace turmericsill::settings
