#include "jobs/appendbuilder.h"

#include "jobs/recordcodec.h"

#include <algorithm>
#include <utility>

namespace turmericsill::jobs {

namespace {

    // Upper bounds of sizes in CBOR. They are cheaper than encoding a record to find out its size.
    constexpr std::size_t numberBytes = 9; ///< Also of the header of a text or an array.
    constexpr std::size_t envelopeBytes = 8 * numberBytes; ///< Type and epoch of a record, and the arrays around them.
    constexpr std::size_t taskBytes = 5 * numberBytes; ///< Four numbers and the array around them.
    constexpr std::size_t runBytes = taskBytes + 4 * numberBytes; ///< Task, run, kind and the number of runs of a step.
    constexpr std::size_t crashedRunBytes = taskBytes + 5 * numberBytes; ///< Task, run and three flags in an array.

    std::size_t boundOf(const std::string& text) { return numberBytes + text.size(); }

    std::size_t boundOf(const RunIntended& record)
    {
        return runBytes + boundOf(record.incarnation.instance) + numberBytes;
    }

    std::size_t boundOf(const RunEnded& record) { return runBytes + boundOf(record.checkpoint); }

    JobId jobOf(const std::variant<RunIntended, RunEnded>& record)
    {
        return std::visit([](const auto& run) { return run.task.job; }, record);
    }

    /// The runs from which it follows whether the starts of several jobs, of one or of none are suspected: one run for
    /// each of the first two such jobs.
    std::vector<CrashedRun> representativeSuspicions(const std::vector<CrashedRun>& runs)
    {
        std::vector<CrashedRun> result;
        for (const CrashedRun& run : runs) {
            if (run.isSuspicion && (result.empty() || result.front().task.job != run.task.job))
                result.push_back(run);
            if (result.size() == 2)
                break;
        }
        return result;
    }

} // namespace

bool AppendBuilder::add(const Record& record)
{
    bool isAdded = false;
    if (const auto* intended = std::get_if<RunIntended>(&record); intended && batchesRuns_)
        isAdded = addRun(*intended, boundOf(*intended));
    else if (const auto* ended = std::get_if<RunEnded>(&record); ended && batchesRuns_)
        isAdded = addRun(*ended, boundOf(*ended));
    else if (const auto* started = std::get_if<JobsStarted>(&record); started && batchesRuns_)
        isAdded = addStarted(*started);
    else
        isAdded = addSingle(record);
    recordCount_ += isAdded;
    return isAdded;
}

bool AppendBuilder::addRun(std::variant<RunIntended, RunEnded> run, std::size_t bound)
{
    const bool beginsBatch = batch_.records.empty() || batchBound_ + bound > limits_.recordBytes;
    const std::size_t added = beginsBatch ? limits_.framedSize(envelopeBytes + bound) : bound;
    if (!hasRoom(added))
        return false;
    if (beginsBatch) {
        closeBatch();
        batchBound_ = envelopeBytes;
    }
    batch_.records.push_back(std::move(run));
    batchBound_ += bound;
    bytes_ += added;
    return true;
}

bool AppendBuilder::addStarted(const JobsStarted& record)
{
    const std::size_t bound = record.jobs.size() * numberBytes;
    const bool beginsRecord = started_.jobs.empty() || startedBound_ + bound > limits_.recordBytes;
    const std::size_t added = beginsRecord ? limits_.framedSize(envelopeBytes + bound) : bound;
    if (!hasRoom(added))
        return false;
    if (beginsRecord) {
        closeStarted();
        startedBound_ = envelopeBytes;
    }
    started_.jobs.insert(started_.jobs.end(), record.jobs.begin(), record.jobs.end());
    startedBound_ += bound;
    bytes_ += added;
    return true;
}

bool AppendBuilder::addSingle(const Record& record)
{
    std::string payload = encodePayload(record);
    const std::size_t added = limits_.framedSize(payload.size());
    if (!hasRoom(added))
        return false;
    closeBatch();
    payloads_.push_back(std::move(payload));
    bytes_ += added;
    return true;
}

std::string AppendBuilder::encodePayload(const Record& record) const
{
    return compresses_ ? compressRecord(encode(record, epoch_)) : encode(record, epoch_);
}

// Runs of different jobs do not depend on each other, and runs of one step that follow each other share its id.
void AppendBuilder::closeBatch()
{
    if (batch_.records.empty())
        return;
    std::stable_sort(batch_.records.begin(), batch_.records.end(),
        [](const auto& one, const auto& other) { return jobOf(one) < jobOf(other); });
    payloads_.push_back(encodePayload(std::exchange(batch_, {})));
    bytes_ -= std::exchange(batchBound_, 0) - payloads_.back().size();
}

void AppendBuilder::closeStarted()
{
    if (!started_.jobs.empty())
        startedPayloads_.push_back(encodePayload(std::exchange(started_, {})));
}

std::vector<std::string> AppendBuilder::build()
{
    closeBatch();
    closeStarted();
    std::move(startedPayloads_.begin(), startedPayloads_.end(), std::back_inserter(payloads_));
    startedPayloads_.clear();
    recordCount_ = 0;
    bytes_ = 0;
    return std::exchange(payloads_, {});
}

bool fitsRecord(const RunEnded& record, const RecordLimits& limits)
{
    return envelopeBytes + boundOf(record) <= limits.recordBytes;
}

// Whether a suspicion is the only one depends on the other runs of the record, so each part repeats the runs that tell.
// A run that is recorded again has no effect.
std::vector<InstanceCrashed> divideToFit(const InstanceCrashed& record, const RecordLimits& limits)
{
    const std::size_t fixedBytes
        = envelopeBytes + boundOf(record.incarnation.instance) + numberBytes + boundOf(record.machine);
    const std::size_t runsThatFit = (std::max(limits.recordBytes, fixedBytes) - fixedBytes) / crashedRunBytes;
    if (record.runs.size() <= runsThatFit)
        return { record };
    const std::vector<CrashedRun> representatives = representativeSuspicions(record.runs);
    const std::size_t runsPerPart = std::max(runsThatFit, representatives.size() + 1) - representatives.size();
    std::vector<InstanceCrashed> parts;
    for (std::size_t first = 0; first < record.runs.size(); first += runsPerPart) {
        const std::size_t last = std::min(record.runs.size(), first + runsPerPart);
        InstanceCrashed part { record.incarnation, record.machine, representatives };
        part.runs.insert(part.runs.end(), record.runs.begin() + static_cast<std::ptrdiff_t>(first),
            record.runs.begin() + static_cast<std::ptrdiff_t>(last));
        parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace turmericsill::jobs
