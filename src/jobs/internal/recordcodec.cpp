#include "jobs/recordcodec.h"

#include <nlohmann/json.hpp>

namespace turmericsill::jobs {

namespace {

    using foundation::Errc;
    using foundation::failure;
    using foundation::Result;
    using nlohmann::json;

    json toJson(const TaskId& id) { return json::array({ id.job, id.occurrence, id.step, id.index }); }

    TaskId taskFrom(const json& value)
    {
        return { value.at(0).get<JobId>(), value.at(1).get<std::uint32_t>(), value.at(2).get<std::uint32_t>(),
            value.at(3).get<std::uint32_t>() };
    }

    enum StepFlag : unsigned {
        Checkpoints = 1,
        Gang = 2,
        OneRack = 4,
        Copies = 8,
        LongRunning = 16,
        Fills = 32,
        Budget = 64,
    };

    unsigned flagsOf(const StepSpec& step)
    {
        return (step.checkpoints ? Checkpoints : 0u) | (step.isGang ? Gang : 0u) | (step.prefersOneRack ? OneRack : 0u)
            | (step.allowsCopies ? Copies : 0u) | (step.isLongRunning ? LongRunning : 0u)
            | (step.fillsUnused ? Fills : 0u) | (step.hasDisruptionBudget ? Budget : 0u);
    }

    json toJson(const StepSpec& step)
    {
        return json::array({ step.count, step.perTask.milliCores, step.perTask.memoryMb, step.perTask.accelerators,
            step.estimate.count(), step.dependsOn, flagsOf(step), step.requiredLabel, step.dataRack,
            step.maximumPerInstance, step.image, step.latencyTarget.count(), step.disruptionBudget });
    }

    StepSpec stepFrom(const json& value)
    {
        StepSpec step;
        step.count = value.at(0).get<std::uint32_t>();
        step.perTask
            = { value.at(1).get<std::int64_t>(), value.at(2).get<std::int64_t>(), value.at(3).get<std::int64_t>() };
        step.estimate = milliseconds(value.at(4).get<std::int64_t>());
        step.dependsOn = value.at(5).get<std::vector<std::uint32_t>>();
        const auto flags = value.at(6).get<unsigned>();
        step.checkpoints = flags & Checkpoints;
        step.isGang = flags & Gang;
        step.prefersOneRack = flags & OneRack;
        step.allowsCopies = flags & Copies;
        step.isLongRunning = flags & LongRunning;
        step.fillsUnused = flags & Fills;
        step.hasDisruptionBudget = flags & Budget;
        step.requiredLabel = value.at(7).get<std::string>();
        step.dataRack = value.at(8).get<std::string>();
        step.maximumPerInstance = value.at(9).get<std::uint32_t>();
        step.image = value.at(10).get<std::string>();
        step.latencyTarget = milliseconds(value.at(11).get<std::int64_t>());
        step.disruptionBudget = value.at(12).get<std::uint32_t>();
        return step;
    }

    /// Fields of each kind of record, in order.
    struct FieldWriter {
        json operator()(const Claimed& record) const
        {
            return json::array(
                { record.epoch, record.entry, record.incarnation, record.address, record.claimedAt.count() });
        }
        json operator()(const Submitted& record) const
        {
            json steps = json::array();
            for (const auto& step : record.spec.steps)
                steps.push_back(toJson(step));
            const Schedule& schedule = record.spec.schedule;
            return json::array({ record.job, record.queue, record.pool, record.receivedAt.count(), record.spec.payload,
                std::move(steps), schedule.repeats, schedule.first.count(), schedule.interval.count() });
        }
        json operator()(const Cancelled& record) const { return json::array({ record.job }); }
        json operator()(const RunIntended& record) const
        {
            return json::array({ toJson(record.task), record.run, record.life.instance, record.life.born });
        }
        json operator()(const RunEnded& record) const
        {
            return json::array(
                { toJson(record.task), record.run, static_cast<unsigned>(record.how), record.checkpoint });
        }
        json operator()(const JobFailed& record) const { return json::array({ record.job }); }
        json operator()(const JobForgotten& record) const { return json::array({ record.job }); }
        json operator()(const UpkeepBegun& record) const { return json::array({ record.wave, record.machine }); }
    };

    Submitted submittedFrom(const json& fields)
    {
        Submitted record;
        record.job = fields.at(0).get<JobId>();
        record.queue = fields.at(1).get<std::string>();
        record.pool = fields.at(2).get<std::string>();
        record.receivedAt = milliseconds(fields.at(3).get<std::int64_t>());
        record.spec.payload = fields.at(4).get<std::string>();
        for (const auto& step : fields.at(5))
            record.spec.steps.push_back(stepFrom(step));
        record.spec.schedule.repeats = fields.at(6).get<std::uint32_t>();
        record.spec.schedule.first = milliseconds(fields.at(7).get<std::int64_t>());
        record.spec.schedule.interval = milliseconds(fields.at(8).get<std::int64_t>());
        return record;
    }

    RunEnd runEndFrom(const json& value)
    {
        const auto number = value.get<unsigned>();
        if (number > static_cast<unsigned>(RunEnd::InstanceGone))
            throw std::out_of_range("unknown end of a run");
        return static_cast<RunEnd>(number);
    }

    Record recordFrom(std::size_t kind, const json& fields)
    {
        switch (kind) {
        case 0:
            return Claimed { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::string>(),
                fields.at(2).get<std::uint64_t>(), fields.at(3).get<std::string>(),
                milliseconds(fields.at(4).get<std::int64_t>()) };
        case 1:
            return submittedFrom(fields);
        case 2:
            return Cancelled { fields.at(0).get<JobId>() };
        case 3:
            return RunIntended { taskFrom(fields.at(0)), fields.at(1).get<std::uint32_t>(),
                { fields.at(2).get<std::string>(), fields.at(3).get<std::int64_t>() } };
        case 4:
            return RunEnded { taskFrom(fields.at(0)), fields.at(1).get<std::uint32_t>(), runEndFrom(fields.at(2)),
                fields.at(3).get<std::string>() };
        case 5:
            return JobFailed { fields.at(0).get<JobId>() };
        case 6:
            return JobForgotten { fields.at(0).get<JobId>() };
        case 7:
            return UpkeepBegun { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::string>() };
        default:
            throw std::out_of_range("unknown kind of record");
        }
    }

} // namespace

std::string encode(const Record& record, std::uint64_t epoch)
{
    json fields = std::visit(FieldWriter(), record);
    std::string bytes;
    json::to_cbor(json::array({ record.index(), std::move(fields), epoch }), bytes);
    return bytes;
}

Result<LoggedRecord> decode(std::string_view bytes)
{
    try {
        const json value = json::from_cbor(bytes.begin(), bytes.end());
        return LoggedRecord { recordFrom(value.at(0).get<std::size_t>(), value.at(1)),
            value.at(2).get<std::uint64_t>() };
    } catch (const std::exception& error) {
        return failure(Errc::UnknownRecord, "jobs.decode", {}, error.what());
    }
}

} // namespace turmericsill::jobs
