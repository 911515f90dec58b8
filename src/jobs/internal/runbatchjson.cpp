#include "jobs/internal/runbatchjson.h"

#include <map>
#include <stdexcept>
#include <utility>

namespace turmericsill::jobs {

using nlohmann::json;

namespace {

    /// Kind of a run in a batch: an outcome, an outcome that is followed by a checkpoint, or an instance.
    constexpr unsigned outcomeCount = static_cast<unsigned>(RunOutcome::InstanceGone) + 1;
    constexpr unsigned firstOutcomeWithCheckpoint = outcomeCount;
    constexpr unsigned firstInstance = 2 * outcomeCount;

    /// Writes the runs of a batch. Runs of one step that follow each other share its id.
    class BatchWriter {
    public:
        void operator()(const RunIntended& record)
        {
            writeRun(record.task, record.run, firstInstance + numberOf(record.incarnation));
        }

        void operator()(const RunEnded& record)
        {
            const auto outcome = static_cast<unsigned>(record.outcome);
            if (record.checkpoint.empty())
                return writeRun(record.task, record.run, outcome);
            writeRun(record.task, record.run, firstOutcomeWithCheckpoint + outcome);
            runs_.push_back(record.checkpoint);
        }

        json finish()
        {
            if (countPosition_ > 0)
                runs_[countPosition_] = count_;
            return json::array({ std::move(instances_), std::move(runs_) });
        }

    private:
        unsigned numberOf(const InstanceIncarnation& incarnation)
        {
            const auto key = std::pair(incarnation.instance, incarnation.startedAt);
            const auto [found, isNew] = numbers_.emplace(key, static_cast<unsigned>(numbers_.size()));
            if (isNew) {
                instances_.push_back(incarnation.instance);
                instances_.push_back(incarnation.startedAt - std::exchange(lastStartedAt_, incarnation.startedAt));
            }
            return found->second;
        }

        void writeRun(const TaskId& task, std::uint32_t run, unsigned kind)
        {
            const bool isSameStep = countPosition_ > 0 && task.job == step_.job && task.occurrence == step_.occurrence
                && task.step == step_.step;
            if (!isSameStep)
                beginStep(task);
            ++count_;
            runs_.push_back(task.index);
            runs_.push_back(run);
            runs_.push_back(kind);
        }

        void beginStep(const TaskId& task)
        {
            if (countPosition_ > 0)
                runs_[countPosition_] = count_;
            step_ = task;
            for (const std::uint64_t part : { task.job, std::uint64_t(task.occurrence), std::uint64_t(task.step) })
                runs_.push_back(part);
            countPosition_ = runs_.size();
            count_ = 0;
            runs_.push_back(count_);
        }

        json instances_ = json::array();
        json runs_ = json::array();
        std::map<std::pair<std::string, std::int64_t>, unsigned> numbers_; ///< Positions in `instances_`.
        std::int64_t lastStartedAt_ = 0;
        TaskId step_;
        std::size_t countPosition_ = 0; ///< Where the number of runs of the step stands; 0 before the first step.
        std::uint32_t count_ = 0;
    };

    std::vector<InstanceIncarnation> instancesFromJson(const json& values)
    {
        std::vector<InstanceIncarnation> instances;
        std::int64_t startedAt = 0;
        for (std::size_t i = 0; i < values.size(); i += 2) {
            startedAt += values.at(i + 1).get<std::int64_t>();
            instances.push_back({ values.at(i).get<std::string>(), startedAt });
        }
        return instances;
    }

} // namespace

RunOutcome runOutcomeFromNumber(unsigned number)
{
    if (number >= outcomeCount)
        throw std::out_of_range("run end number is out of range");
    return static_cast<RunOutcome>(number);
}

json toJson(const RunBatch& batch)
{
    BatchWriter writer;
    for (const auto& record : batch.records)
        std::visit(writer, record);
    return writer.finish();
}

RunBatch runBatchFromJson(const json& fields)
{
    const auto instances = instancesFromJson(fields.at(0));
    const json& values = fields.at(1);
    RunBatch batch;
    std::size_t next = 0;
    const auto take = [&]() -> const json& { return values.at(next++); };
    while (next < values.size()) {
        TaskId task;
        task.job = take().get<JobId>();
        task.occurrence = take().get<std::uint32_t>();
        task.step = take().get<std::uint32_t>();
        for (auto left = take().get<std::uint32_t>(); left > 0; --left) {
            task.index = take().get<std::uint32_t>();
            const auto run = take().get<std::uint32_t>();
            const auto kind = take().get<unsigned>();
            if (kind >= firstInstance)
                batch.records.emplace_back(RunIntended { task, run, instances.at(kind - firstInstance) });
            else if (kind >= firstOutcomeWithCheckpoint)
                batch.records.emplace_back(RunEnded {
                    task, run, runOutcomeFromNumber(kind - firstOutcomeWithCheckpoint), take().get<std::string>() });
            else
                batch.records.emplace_back(RunEnded { task, run, runOutcomeFromNumber(kind), {} });
        }
    }
    return batch;
}

} // namespace turmericsill::jobs
