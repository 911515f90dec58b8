#include "jobs/snapshotcodec.h"

#include "foundation/cbor.h"
#include "jobs/internal/recordjson.h"

namespace turmericsill::jobs {

using foundation::Errc;
using foundation::failure;
using foundation::Result;
using nlohmann::json;

namespace {

    json toJson(const Task& task)
    {
        return json::array({ static_cast<unsigned>(task.phase), task.lastRun, task.failures, task.incarnation.instance,
            task.incarnation.startedAt, task.checkpoint });
    }

    Task taskFromJson(const json& value)
    {
        Task task;
        const auto phase = value.at(0).get<unsigned>();
        if (phase > static_cast<unsigned>(TaskPhase::Done))
            throw std::out_of_range("task phase number is out of range");
        task.phase = static_cast<TaskPhase>(phase);
        task.lastRun = value.at(1).get<std::uint32_t>();
        task.failures = value.at(2).get<std::uint32_t>();
        task.incarnation = { value.at(3).get<std::string>(), value.at(4).get<std::int64_t>() };
        task.checkpoint = value.at(5).get<std::string>();
        return task;
    }

    json toJson(const std::map<TaskId, CrashHistory>& histories)
    {
        json result = json::array();
        for (const auto& [task, history] : histories) {
            json crashes = json::array();
            for (const auto& crash : history.crashes)
                crashes.push_back(json::array({ crash.run, crash.incarnation.instance, crash.incarnation.startedAt,
                    crash.machine, crash.isConfirmed, crash.isSuspicion, crash.isSole, crash.isExplained }));
            result.push_back(json::array({ task.occurrence, task.step, task.index, std::move(crashes) }));
        }
        return result;
    }

    void restoreCrashHistory(Job& job, const json& value)
    {
        const TaskId task { job.id, value.at(0).get<std::uint32_t>(), value.at(1).get<std::uint32_t>(),
            value.at(2).get<std::uint32_t>() };
        CrashHistory& history = job.crashHistories[task];
        for (const auto& crash : value.at(3))
            history.crashes.push_back({ crash.at(0).get<std::uint32_t>(),
                { crash.at(1).get<std::string>(), crash.at(2).get<std::int64_t>() }, crash.at(3).get<std::string>(),
                crash.at(4).get<bool>(), crash.at(5).get<bool>(), crash.at(6).get<bool>(), crash.at(7).get<bool>() });
    }

    // Earlier versions read the tasks of completed occurrences as well.
    json completedSteps(const JobSpec& spec)
    {
        Task done;
        done.phase = TaskPhase::Done;
        json steps = json::array();
        for (const auto& step : spec.steps)
            steps.push_back(json::array_t(step.taskCount, toJson(done)));
        return steps;
    }

    json toJson(const Occurrence& occurrence, const JobSpec& spec)
    {
        if (occurrence.steps.empty())
            return completedSteps(spec);
        json steps = json::array();
        for (const auto& step : occurrence.steps) {
            json tasks = json::array();
            for (std::size_t index = 0; index < step.tasks.size(); ++index)
                tasks.push_back(toJson(step.tasks[index]));
            steps.push_back(std::move(tasks));
        }
        return steps;
    }

    /// Adds an occurrence to a job and counts its done and active tasks.
    void restoreOccurrence(Job& job, std::uint32_t number, const json& steps)
    {
        Occurrence& occurrence = job.startOccurrence(number);
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            StepState& step = occurrence.steps[i];
            for (std::size_t j = 0; j < step.tasks.size(); ++j) {
                Task task = taskFromJson(steps.at(i).at(j));
                step.done += task.phase == TaskPhase::Done;
                step.active += task.phase == TaskPhase::Active;
                job.failedRuns += task.failures;
                if (!task.isUntouched())
                    step.tasks[j] = std::move(task);
            }
            job.activeRuns += step.active;
        }
        const bool isDone = occurrence.isDone();
        job.completedOccurrences += isDone;
        if (isDone && job.isScheduled())
            occurrence.dropSteps();
    }

    /// Parses CBOR and passes it to `read`, turning exceptions of either into Errc::UnknownRecord.
    template <typename Read> auto decodeWith(std::string_view bytes, Read read) -> Result<decltype(read(json()))>
    {
        try {
            return read(foundation::parseCbor(bytes));
        } catch (const std::exception& error) {
            return failure(Errc::UnknownRecord, "jobs.snapshot", {}, error.what());
        }
    }

} // namespace

// Without its steps, an occurrence counts as done. Crash histories of a failed job tell what has caused the crashes
// under tasks of other jobs.
std::string encodeFinalJob(const Job& job)
{
    if (!job.crashHistories.empty())
        return encodeJob(job);
    Job final;
    final.id = job.id;
    final.team = job.team;
    if (!job.team.empty())
        final.queue = job.queue;
    if (job.state() == JobState::Completed)
        final.startOccurrence(0);
    final.hasStarted = job.hasStarted;
    final.isCancelled = job.isCancelled;
    final.hasFailed = job.hasFailed;
    return encodeJob(final);
}

std::string encodeJob(const Job& job)
{
    json occurrences = json::array();
    for (const auto& [number, occurrence] : job.occurrences)
        occurrences.push_back(json::array({ number, toJson(occurrence, job.spec) }));
    const JobSubmitted submitted { job.id, job.queue, job.pool, job.receivedAt, job.spec, job.maximumAttempts, job.team,
        job.exceedsTeamRate };
    json fields = json::array(
        { jobs::toJson(submitted), std::move(occurrences), job.hasStarted, job.isCancelled, job.hasFailed });
    if (!job.crashHistories.empty())
        fields.push_back(toJson(job.crashHistories));
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

Result<std::unique_ptr<Job>> decodeJob(std::string_view bytes)
{
    return decodeWith(bytes, [](const json& value) {
        const JobSubmitted submitted = jobSubmittedFromJson(value.at(0));
        auto job = std::make_unique<Job>();
        job->id = submitted.job;
        job->queue = submitted.queue;
        job->pool = submitted.pool;
        job->receivedAt = submitted.receivedAt;
        job->spec = submitted.spec;
        job->maximumAttempts = submitted.maximumAttempts;
        job->team = submitted.team;
        job->exceedsTeamRate = submitted.exceedsTeamRate;
        for (const auto& occurrence : value.at(1))
            restoreOccurrence(*job, occurrence.at(0).get<std::uint32_t>(), occurrence.at(1));
        job->hasStarted = value.at(2).get<bool>();
        job->isCancelled = value.at(3).get<bool>();
        job->hasFailed = value.at(4).get<bool>();
        constexpr std::size_t crashHistoryField = 5; // Absent in jobs without crashes and in those of earlier versions.
        if (value.size() > crashHistoryField) {
            for (const auto& history : value.at(crashHistoryField))
                restoreCrashHistory(*job, history);
        }
        return job;
    });
}

std::string encodeHeader(const SnapshotHeader& header)
{
    json claims = json::array();
    for (const auto& claim : header.claims)
        claims.push_back(jobs::toJson(claim));
    json maintenanceStarts = json::array();
    for (const auto& [wave, machine] : header.startedMaintenance)
        maintenanceStarts.push_back(json::array({ wave, machine }));
    json waves = json::array();
    for (const auto& [wave, seenAt] : header.waveFirstSeenTimes)
        waves.push_back(json::array({ wave, seenAt.count() }));
    json restarts = json::array();
    for (const auto& [instance, restart] : header.restarts)
        restarts.push_back(jobs::toJson(restart));
    std::string bytes;
    json::to_cbor(json::array({ header.offset, std::move(claims), std::move(maintenanceStarts),
                      header.unknownCancellations, std::move(waves), std::move(restarts) }),
        bytes);
    return bytes;
}

Result<SnapshotHeader> decodeHeader(std::string_view bytes)
{
    return decodeWith(bytes, [](const json& value) {
        SnapshotHeader header;
        header.offset = value.at(0).get<std::uint64_t>();
        for (const auto& claim : value.at(1))
            header.claims.push_back(controlClaimedFromJson(claim));
        for (const auto& started : value.at(2))
            header.startedMaintenance.emplace(started.at(0).get<std::uint64_t>(), started.at(1).get<std::string>());
        for (const auto& wave : value.at(4))
            header.waveFirstSeenTimes[wave.at(0).get<std::uint64_t>()] = milliseconds(wave.at(1).get<std::int64_t>());
        header.unknownCancellations = value.at(3).get<std::deque<JobId>>();
        constexpr std::size_t restartsField = 5; // Absent in snapshots of earlier versions.
        if (value.size() > restartsField) {
            for (const auto& fields : value.at(restartsField)) {
                InstanceRestarted restart = instanceRestartedFromJson(fields);
                header.restarts[restart.incarnation.instance] = std::move(restart);
            }
        }
        return header;
    });
}

} // namespace turmericsill::jobs
