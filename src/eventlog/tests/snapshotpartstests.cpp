#include "eventlog/snapshotparts.h"
#include "jobs/snapshotcodec.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::eventlog;

namespace {

constexpr jobs::RecordLimits limits { 1000, 4000, 5 };
const std::string key = "000000000000c100";

jobs::Job wideJob(std::uint32_t taskCount)
{
    jobs::Job job;
    job.id = 0xc100;
    job.spec.steps.add({});
    job.spec.steps.edit(0).taskCount = taskCount;
    job.startOccurrence(0);
    return job;
}

std::vector<SnapshotEntry> dividedJob(const std::string& generation)
{
    return divideEntry({ key, jobs::encodeJob(wideJob(2000)) }, generation, limits);
}

} // namespace

// A job of many tasks was one record of the snapshot. The store refused it, no snapshot was stored, and entries that
// started after the log had dropped its first records knew no job.
TEST_CASE("snapshot parts: an entry of any size is stored in entries that the store accepts", "[eventlog]")
{
    const auto entries = dividedJob("5-1");
    CHECK(entries.size() > 10);
    CHECK(entries.back().key == key);
    for (const auto& entry : entries)
        CHECK(entry.key.size() + entry.value.size() <= limits.recordBytes);
    auto stored = entries;
    std::reverse(stored.begin(), stored.end());
    const JoinedSnapshot joined = joinEntries(stored);
    REQUIRE(joined.entries.size() == 1);
    CHECK(joined.entries.front().key == key);
    CHECK(joined.entries.front().value == jobs::encodeJob(wideJob(2000)));
    CHECK(joined.partKeys.size() == entries.size() - 1);
    CHECK(joined.incompleteEntries == 0);
}

TEST_CASE("snapshot parts: an entry that the store accepts is stored and read as it is", "[eventlog]")
{
    const SnapshotEntry small { key, jobs::encodeJob(wideJob(2)) };
    const auto entries = divideEntry(small, "5-1", limits);
    REQUIRE(entries.size() == 1);
    CHECK(entries.front().value == small.value);
    const JoinedSnapshot joined = joinEntries(entries);
    REQUIRE(joined.entries.size() == 1);
    CHECK(joined.entries.front().value == small.value);
    CHECK(joined.partKeys.empty());
}

// The parts of a snapshot that was not finished, or that a former controller wrote, stand beside the present ones.
TEST_CASE("snapshot parts: parts of other generations have no effect and are told", "[eventlog]")
{
    auto stored = dividedJob("5-1");
    for (const auto& part : dividedJob("6-1")) {
        if (part.key != key)
            stored.push_back({ part.key, "\xff unfinished" });
    }
    const JoinedSnapshot joined = joinEntries(stored);
    REQUIRE(joined.entries.size() == 1);
    CHECK(joined.entries.front().value == jobs::encodeJob(wideJob(2000)));
    CHECK(joined.partKeys.size() == stored.size() - 1);
}

TEST_CASE("snapshot parts: an entry with a missing part is left out and counted", "[eventlog]")
{
    auto stored = dividedJob("5-1");
    stored.erase(stored.begin() + 3);
    const JoinedSnapshot joined = joinEntries(stored);
    CHECK(joined.entries.empty());
    CHECK(joined.incompleteEntries == 1);
    const JoinedSnapshot damaged = joinEntries({ { key, "\xa1" } });
    CHECK(damaged.entries.empty());
    CHECK(damaged.incompleteEntries == 1);
}

// Versions without parts read each entry as a job. They must not take a part, or the entry that tells of it, for one.
TEST_CASE("snapshot parts: neither a part nor the entry that tells of parts decodes as a job or a header", "[eventlog]")
{
    for (const auto& entry : dividedJob("5-1")) {
        CHECK_FALSE(jobs::decodeJob(entry.value));
        CHECK_FALSE(jobs::decodeHeader(entry.value));
    }
}
