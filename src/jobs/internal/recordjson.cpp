#include "jobs/internal/recordjson.h"

namespace turmericsill::jobs {

using nlohmann::json;

namespace {

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

} // namespace

json toJson(const Claimed& record)
{
    return json::array({ record.epoch, record.entry, record.incarnation, record.address, record.claimedAt.count() });
}

Claimed claimedFrom(const json& fields)
{
    return { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::string>(), fields.at(2).get<std::uint64_t>(),
        fields.at(3).get<std::string>(), milliseconds(fields.at(4).get<std::int64_t>()) };
}

json toJson(const Submitted& record)
{
    json steps = json::array();
    for (const auto& step : record.spec.steps)
        steps.push_back(toJson(step));
    const Schedule& schedule = record.spec.schedule;
    return json::array({ record.job, record.queue, record.pool, record.receivedAt.count(), record.spec.payload,
        std::move(steps), schedule.repeats, schedule.first.count(), schedule.interval.count() });
}

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

} // namespace turmericsill::jobs
