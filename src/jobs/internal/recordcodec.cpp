#include "jobs/recordcodec.h"

#include "foundation/cbor.h"
#include "jobs/internal/compression.h"
#include "jobs/internal/recordjson.h"
#include "jobs/internal/runbatchjson.h"

namespace turmericsill::jobs {

namespace {

    using foundation::Errc;
    using foundation::failure;
    using foundation::Result;
    using nlohmann::json;

    constexpr std::size_t maximumRecordValues = 1000000; ///< Other entries hand over records that they have encoded.

    json toJson(const TaskId& id) { return json::array({ id.job, id.occurrence, id.step, id.index }); }

    TaskId taskFromJson(const json& value)
    {
        return { value.at(0).get<JobId>(), value.at(1).get<std::uint32_t>(), value.at(2).get<std::uint32_t>(),
            value.at(3).get<std::uint32_t>() };
    }

    /// Encodes the fields of each record type as a JSON array, in their stored order.
    struct FieldEncoder {
        json operator()(const ControlClaimed& record) const { return toJson(record); }
        json operator()(const JobSubmitted& record) const { return toJson(record); }
        json operator()(const JobCancelled& record) const { return json::array({ record.job }); }
        json operator()(const RunIntended& record) const
        {
            return json::array(
                { toJson(record.task), record.run, record.incarnation.instance, record.incarnation.startedAt });
        }
        json operator()(const RunEnded& record) const
        {
            return json::array(
                { toJson(record.task), record.run, static_cast<unsigned>(record.outcome), record.checkpoint });
        }
        json operator()(const JobFailed& record) const { return json::array({ record.job }); }
        json operator()(const JobExpired& record) const { return json::array({ record.job }); }
        json operator()(const MaintenanceStarted& record) const { return json::array({ record.wave, record.machine }); }
        json operator()(const WaveFirstSeen& record) const
        {
            return json::array({ record.wave, record.seenAt.count() });
        }
        json operator()(const RunBatch& record) const { return toJson(record); }
        json operator()(const JobsStarted& record) const { return json::array({ record.jobs }); }
        json operator()(const WitnessesChanged& record) const
        {
            return json::array({ record.epoch, toJson(record.witnesses) });
        }
        json operator()(const InstanceRestarted& record) const { return toJson(record); }
        json operator()(const InstanceCrashed& record) const
        {
            json runs = json::array();
            for (const CrashedRun& run : record.runs)
                runs.push_back(
                    json::array({ toJson(run.task), run.run, run.isConfirmed, run.isSuspicion, run.hasEndured }));
            return json::array(
                { record.incarnation.instance, record.incarnation.startedAt, record.machine, std::move(runs) });
        }
    };

    InstanceCrashed instanceCrashedFromJson(const json& fields)
    {
        InstanceCrashed record { { fields.at(0).get<std::string>(), fields.at(1).get<std::int64_t>() },
            fields.at(2).get<std::string>(), {} };
        for (const json& run : fields.at(3))
            record.runs.push_back({ taskFromJson(run.at(0)), run.at(1).get<std::uint32_t>(), run.at(2).get<bool>(),
                run.at(3).get<bool>(), run.at(4).get<bool>() });
        return record;
    }

    RunOutcome runOutcomeFromJson(const json& value) { return runOutcomeFromNumber(value.get<unsigned>()); }

    /// Decodes a record from the index of its type in Record and its fields.
    Record recordFromJson(std::size_t typeIndex, const json& fields)
    {
        switch (typeIndex) {
        case 0:
            return controlClaimedFromJson(fields);
        case 1:
            return jobSubmittedFromJson(fields);
        case 2:
            return JobCancelled { fields.at(0).get<JobId>() };
        case 3:
            return RunIntended { taskFromJson(fields.at(0)), fields.at(1).get<std::uint32_t>(),
                { fields.at(2).get<std::string>(), fields.at(3).get<std::int64_t>() } };
        case 4:
            return RunEnded { taskFromJson(fields.at(0)), fields.at(1).get<std::uint32_t>(),
                runOutcomeFromJson(fields.at(2)), fields.at(3).get<std::string>() };
        case 5:
            return JobFailed { fields.at(0).get<JobId>() };
        case 6:
            return JobExpired { fields.at(0).get<JobId>() };
        case 7:
            return MaintenanceStarted { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::string>() };
        case 8:
            return WaveFirstSeen { fields.at(0).get<std::uint64_t>(), milliseconds(fields.at(1).get<std::int64_t>()) };
        case 9:
            return runBatchFromJson(fields);
        case 10:
            return JobsStarted { fields.at(0).get<std::vector<JobId>>() };
        case 11:
            return instanceCrashedFromJson(fields);
        case 12:
            return WitnessesChanged { fields.at(0).get<std::uint64_t>(), witnessesFromJson(fields.at(1)) };
        case 13:
            return instanceRestartedFromJson(fields);
        default:
            throw std::out_of_range("record type number is out of range");
        }
    }

} // namespace

std::string encode(const Record& record, std::uint64_t epoch)
{
    json fields = std::visit(FieldEncoder(), record);
    std::string bytes;
    json::to_cbor(json::array({ record.index(), std::move(fields), epoch }), bytes);
    return bytes;
}

std::string compressRecord(std::string encodedRecord)
{
    constexpr std::size_t minimumBytes = 128;
    if (encodedRecord.size() < minimumBytes)
        return encodedRecord;
    auto frame = compress(encodedRecord);
    return frame ? std::move(*frame) : std::move(encodedRecord);
}

Result<LoggedRecord> decode(std::string_view bytes)
{
    if (isCompressed(bytes)) {
        const auto record = decompress(bytes);
        if (!record)
            return tl::unexpected(record.error());
        if (isCompressed(*record))
            return failure(Errc::UnknownRecord, "jobs.decode", {}, "compressed twice");
        return decode(*record);
    }
    try {
        const json value = foundation::parseCbor(bytes, maximumRecordValues);
        return LoggedRecord { recordFromJson(value.at(0).get<std::size_t>(), value.at(1)),
            value.at(2).get<std::uint64_t>() };
    } catch (const std::exception& error) {
        return failure(Errc::UnknownRecord, "jobs.decode", {}, error.what());
    }
}

} // namespace turmericsill::jobs
