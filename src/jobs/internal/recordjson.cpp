#include "jobs/internal/recordjson.h"

namespace turmericsill::jobs {

using nlohmann::json;

namespace {

    /// Bits of the stored flags field of a step.
    enum StepFlag : unsigned {
        ResumesFromCheckpoint = 1,
        IsGang = 2,
        PrefersOneRack = 4,
        AllowsSpeculation = 8,
        IsLongRunning = 16,
        IsBestEffort = 32,
        HasDisruptionBudget = 64,
    };

    unsigned encodeFlags(const StepSpec& step)
    {
        return (step.resumesFromCheckpoint ? ResumesFromCheckpoint : 0u) | (step.isGang ? IsGang : 0u)
            | (step.prefersOneRack ? PrefersOneRack : 0u) | (step.allowsSpeculation ? AllowsSpeculation : 0u)
            | (step.isLongRunning ? IsLongRunning : 0u) | (step.isBestEffort ? IsBestEffort : 0u)
            | (step.hasDisruptionBudget ? HasDisruptionBudget : 0u);
    }

    json toJson(const StepSpec& step)
    {
        return json::array({ step.taskCount, step.resourcesPerTask.milliCores, step.resourcesPerTask.memoryMb,
            step.resourcesPerTask.accelerators, step.estimatedDuration.count(), step.dependsOn, encodeFlags(step),
            step.requiredLabel, step.dataRack, step.maximumPerInstance, step.image, step.latencyTarget.count(),
            step.disruptionBudget });
    }

    StepSpec stepFromJson(const json& value)
    {
        StepSpec step;
        step.taskCount = value.at(0).get<std::uint32_t>();
        step.resourcesPerTask
            = { value.at(1).get<std::int64_t>(), value.at(2).get<std::int64_t>(), value.at(3).get<std::int64_t>() };
        step.estimatedDuration = milliseconds(value.at(4).get<std::int64_t>());
        step.dependsOn = value.at(5).get<std::vector<std::uint32_t>>();
        const auto flags = value.at(6).get<unsigned>();
        step.resumesFromCheckpoint = flags & ResumesFromCheckpoint;
        step.isGang = flags & IsGang;
        step.prefersOneRack = flags & PrefersOneRack;
        step.allowsSpeculation = flags & AllowsSpeculation;
        step.isLongRunning = flags & IsLongRunning;
        step.isBestEffort = flags & IsBestEffort;
        step.hasDisruptionBudget = flags & HasDisruptionBudget;
        step.requiredLabel = value.at(7).get<std::string>();
        step.dataRack = value.at(8).get<std::string>();
        step.maximumPerInstance = value.at(9).get<std::uint32_t>();
        step.image = value.at(10).get<std::string>();
        step.latencyTarget = milliseconds(value.at(11).get<std::int64_t>());
        step.disruptionBudget = value.at(12).get<std::uint32_t>();
        return step;
    }

} // namespace

json toJson(const ControlClaimed& record)
{
    json fields
        = json::array({ record.epoch, record.entry, record.incarnation, record.address, record.claimedAt.count() });
    if (record.witnesses)
        fields.push_back(toJson(*record.witnesses));
    return fields;
}

ControlClaimed controlClaimedFromJson(const json& fields)
{
    constexpr std::size_t witnessesField = 5;
    ControlClaimed record { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::string>(),
        fields.at(2).get<std::uint64_t>(), fields.at(3).get<std::string>(),
        milliseconds(fields.at(4).get<std::int64_t>()) };
    if (fields.size() > witnessesField)
        record.witnesses = witnessesFromJson(fields.at(witnessesField));
    return record;
}

json toJson(const std::vector<ControlWitness>& witnesses)
{
    json value = json::array();
    for (const auto& witness : witnesses)
        value.push_back(json::array({ witness.entry, witness.address }));
    return value;
}

std::vector<ControlWitness> witnessesFromJson(const json& value)
{
    std::vector<ControlWitness> witnesses;
    for (const auto& witness : value)
        witnesses.push_back({ witness.at(0).get<std::string>(), witness.at(1).get<std::string>() });
    return witnesses;
}

json toJson(const InstanceRestarted& record)
{
    return json::array({ record.incarnation.instance, record.incarnation.startedAt, record.leasesLeft.count() });
}

InstanceRestarted instanceRestartedFromJson(const json& fields)
{
    return { { fields.at(0).get<std::string>(), fields.at(1).get<std::int64_t>() },
        milliseconds(fields.at(2).get<std::int64_t>()) };
}

json toJson(const JobSubmitted& record)
{
    json steps = json::array();
    for (const auto& step : record.spec.steps)
        steps.push_back(toJson(step));
    const Schedule& schedule = record.spec.schedule;
    json fields = json::array(
        { record.job, record.queue, record.pool, record.receivedAt.count(), record.spec.payload, std::move(steps),
            schedule.occurrences, schedule.firstDueAt.count(), schedule.interval.count(), record.maximumAttempts });
    if (!record.team.empty()) {
        fields.push_back(record.team);
        fields.push_back(record.exceedsTeamRate);
    }
    return fields;
}

JobSubmitted jobSubmittedFromJson(const json& fields)
{
    JobSubmitted record;
    record.job = fields.at(0).get<JobId>();
    record.queue = fields.at(1).get<std::string>();
    record.pool = fields.at(2).get<std::string>();
    record.receivedAt = milliseconds(fields.at(3).get<std::int64_t>());
    record.spec.payload = fields.at(4).get<std::string>();
    for (const auto& step : fields.at(5))
        record.spec.steps.add(stepFromJson(step));
    record.spec.schedule.occurrences = fields.at(6).get<std::uint32_t>();
    record.spec.schedule.firstDueAt = milliseconds(fields.at(7).get<std::int64_t>());
    record.spec.schedule.interval = milliseconds(fields.at(8).get<std::int64_t>());
    constexpr std::size_t maximumAttemptsField = 9; // Absent in records of earlier versions.
    if (fields.size() > maximumAttemptsField)
        record.maximumAttempts = fields.at(maximumAttemptsField).get<std::uint32_t>();
    constexpr std::size_t teamField = 10; // Absent in records of earlier versions and of callers without a team.
    if (fields.size() > teamField + 1) {
        record.team = fields.at(teamField).get<std::string>();
        record.exceedsTeamRate = fields.at(teamField + 1).get<bool>();
    }
    return record;
}

} // namespace turmericsill::jobs
