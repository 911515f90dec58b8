#include "jobs/appendbuilder.h"
#include "jobs/jobtable.h"
#include "jobs/recordcodec.h"

#include <catch2/catch.hpp>
#include <random>

using namespace turmericsill::jobs;

namespace {

constexpr RecordLimits smallLimits { 4000, 10000, 4 };
constexpr JobId firstJob = 0x1000000000000001;
constexpr JobId jobCount = 8;
constexpr std::uint32_t taskCount = 40;

std::size_t sizeOfAppend(const std::vector<std::string>& payloads, const RecordLimits& limits)
{
    std::size_t bytes = 0;
    for (const auto& payload : payloads)
        bytes += limits.framedSize(payload.size());
    return bytes;
}

std::vector<Record> submissions()
{
    std::vector<Record> records;
    for (JobId id = firstJob; id < firstJob + jobCount; ++id) {
        JobSubmitted submitted { id, "calls", "desk", milliseconds(1), {} };
        submitted.spec.steps.add({});
        submitted.spec.steps.edit(submitted.spec.steps.size() - 1).taskCount = taskCount;
        records.emplace_back(submitted);
    }
    return records;
}

/// Runs of all tasks in rounds. Each run leaves a checkpoint of up to 1,500 bytes.
std::vector<Record> randomRuns(std::uint32_t rounds)
{
    std::mt19937_64 random(11);
    std::vector<Record> records;
    for (std::uint32_t run = 1; run <= rounds; ++run) {
        for (JobId job = firstJob; job < firstJob + jobCount; ++job) {
            for (std::uint32_t index = 0; index < taskCount; ++index)
                records.emplace_back(
                    RunIntended { { job, 0, 0, index }, run, { "i-" + std::to_string(random() % 90), 1768776700000 } });
            for (std::uint32_t index = 0; index < taskCount; ++index)
                records.emplace_back(RunEnded { { job, 0, 0, index }, run, RunOutcome::Stopped,
                    std::string(random() % 2 ? random() % 1500 : 0, 'c') });
            records.emplace_back(JobsStarted { { job } });
        }
    }
    return records;
}

/// Crash of an instance under tasks of one step; the first `suspicions` of them had just started.
InstanceCrashed crashUnder(std::uint32_t runs, std::uint32_t suspicions, JobId secondSuspect)
{
    InstanceCrashed record { { "i-1", 7 }, "m-1", {} };
    for (std::uint32_t index = 0; index < runs; ++index) {
        const JobId job = index + 1 == suspicions ? secondSuspect : firstJob;
        record.runs.push_back({ { job, 0, 0, index }, 1, true, index < suspicions, false });
    }
    return record;
}

/// The crash histories of all jobs after a crash that was recorded in these records.
std::vector<std::string> jobsAfter(const std::vector<InstanceCrashed>& crashes)
{
    JobTable table;
    for (const auto& record : submissions())
        table.apply(record);
    for (JobId job = firstJob; job < firstJob + jobCount; ++job) {
        for (std::uint32_t index = 0; index < taskCount; ++index)
            table.apply(RunIntended { { job, 0, 0, index }, 1, { "i-1", 7 } });
    }
    for (const auto& crash : crashes)
        table.apply(crash);
    std::vector<std::string> result;
    for (JobId job = firstJob; job < firstJob + jobCount; ++job)
        result.push_back(encodeJob(*table.find(job)));
    return result;
}

} // namespace

// The store refuses an append with a record that is too large, however often it is sent. Batches that are bounded by a
// number of runs exceed its limit with large checkpoints.
TEST_CASE("append builder: no record and no append is larger than the log accepts", "[jobs]")
{
    std::vector<Record> records = submissions();
    for (const bool batchesRuns : { true, false }) {
        for (const auto& run : randomRuns(3))
            records.push_back(run);
        JobTable expected;
        for (const auto& record : records)
            expected.apply(record);
        JobTable table;
        std::size_t next = 0;
        while (next < records.size()) {
            AppendBuilder builder(smallLimits, 3);
            builder.setBatchesRuns(batchesRuns).setCompresses(batchesRuns);
            while (next < records.size() && builder.add(records[next]))
                ++next;
            const auto payloads = builder.build();
            REQUIRE_FALSE(payloads.empty());
            CHECK(sizeOfAppend(payloads, smallLimits) <= smallLimits.appendBytes);
            for (const auto& payload : payloads) {
                CHECK(payload.size() <= smallLimits.recordBytes);
                const auto decoded = decode(payload);
                REQUIRE(decoded);
                table.apply(decoded->record);
            }
        }
        for (JobId id = firstJob; id < firstJob + jobCount; ++id)
            CHECK(encodeJob(*table.find(id)) == encodeJob(*expected.find(id)));
    }
}

TEST_CASE("append builder: a full append takes no further record, and its first record is always taken", "[jobs]")
{
    AppendBuilder builder(smallLimits, 3);
    const RunEnded large { { 1, 0, 0, 0 }, 1, RunOutcome::Stopped, std::string(20000, 'c') };
    CHECK(builder.add(large));
    CHECK_FALSE(builder.add(JobExpired { 1 }));
    CHECK(builder.recordCount() == 1);
    CHECK(builder.build().size() == 1);
    CHECK(builder.recordCount() == 0);
    CHECK(builder.add(JobExpired { 1 }));
}

TEST_CASE("append builder: confirmations of starts are divided over records that the log accepts", "[jobs]")
{
    constexpr RecordLimits limits { 4000, 100000, 4 };
    AppendBuilder builder(limits, 3);
    for (JobId id = firstJob; id < firstJob + 2000; ++id)
        REQUIRE(builder.add(JobsStarted { { id } }));
    std::size_t jobs = 0;
    for (const auto& payload : builder.build()) {
        CHECK(payload.size() <= limits.recordBytes);
        jobs += std::get<JobsStarted>(decode(payload)->record).jobs.size();
    }
    CHECK(jobs == 2000);
}

TEST_CASE("append builder: a run's end fits into a record unless its checkpoint is too large", "[jobs]")
{
    RunEnded record { { 1, 0, 0, 0 }, 1, RunOutcome::Stopped, std::string(3500, 'c') };
    CHECK(fitsRecord(record, smallLimits));
    CHECK(encode(RunBatch { { record } }, ~std::uint64_t(0)).size() <= smallLimits.recordBytes);
    record.checkpoint.assign(4000, 'c');
    CHECK_FALSE(fitsRecord(record, smallLimits));
}

// Whether a suspicion is the only one of its crash depends on all runs of the record.
TEST_CASE("append builder: a crash record that is divided has the same effect", "[jobs]")
{
    constexpr RecordLimits limits { 1000, 10000, 4 };
    for (const JobId secondSuspect : { firstJob, firstJob + 1 }) {
        const InstanceCrashed crash = crashUnder(taskCount, 30, secondSuspect);
        const auto parts = divideToFit(crash, limits);
        CHECK(parts.size() > 3);
        for (const auto& part : parts)
            CHECK(encode(part, ~std::uint64_t(0)).size() <= limits.recordBytes);
        CHECK(jobsAfter(parts) == jobsAfter({ crash }));
    }
    CHECK(divideToFit(crashUnder(3, 1, firstJob), limits).size() == 1);
}
