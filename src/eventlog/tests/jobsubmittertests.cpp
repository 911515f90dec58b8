#include "eventlog/jobsubmitter.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "jobs/recordcodec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <utility>

using namespace turmericsill;
using namespace turmericsill::eventlog;
using foundation::Errc;
using foundation::milliseconds;
using jobs::JobId;

namespace {

/// A path that answers at once and rejects each call that holds a record of certain sizes.
class RejectingPath : public ISubmissionPath {
public:
    std::size_t maximumConcurrentCalls() const override { return 1; }
    jobs::RecordLimits recordLimits() const override { return { 2000, 8000, 4 }; }

    void store(std::vector<std::string> records, milliseconds, StoreCallback done) override
    {
        calls.push_back(records);
        if (isHeld)
            return held.push_back(std::move(done));
        done(answerTo(records));
    }

    void answerHeld()
    {
        isHeld = false;
        const auto callbacks = std::exchange(held, {});
        for (std::size_t i = 0; i < callbacks.size(); ++i)
            callbacks[i](answerTo(calls[calls.size() - callbacks.size() + i]));
    }

    /// Fails the calls that are held, as if their answers were lost.
    void loseHeld()
    {
        for (const auto& done : std::exchange(held, {}))
            done(foundation::failure(Errc::Timeout, "control.forward"));
    }

    foundation::Result<StoreReceipt> answerTo(const std::vector<std::string>& records) const
    {
        for (const auto& record : records) {
            if (rejectedSizes.count(record.size()))
                return foundation::failure(Errc::Rejected, "log.append");
        }
        StoreReceipt receipt;
        for (std::size_t index = 0; index < records.size(); ++index) {
            if (overloadedSizes.count(records[index].size()))
                receipt.rejected.push_back({ index, milliseconds(2500) });
        }
        return receipt;
    }

    std::set<std::size_t> rejectedSizes;
    std::set<std::size_t> overloadedSizes; ///< Sizes of the records that an overloaded controller rejects.
    std::vector<std::vector<std::string>> calls;
    std::vector<StoreCallback> held;
    bool isHeld = false;
};

struct SubmitterFixture {
    void submit(JobId id, std::size_t payloadBytes)
    {
        jobs::JobSubmitted record { id, "calls", "desk", milliseconds(1), {} };
        record.spec.payload.assign(payloadBytes, 'p');
        submitter.submit(
            record, clock.now() + milliseconds(3000), [] { return false; },
            [this, id](const AppendResult& result) {
                outcomes[id] = result.outcome;
                delays[id] = result.retryAfter;
            });
    }

    static std::size_t sizeOf(JobId id, std::size_t payloadBytes)
    {
        jobs::JobSubmitted record { id, "calls", "desk", milliseconds(1), {} };
        record.spec.payload.assign(payloadBytes, 'p');
        return jobs::encode(record, 0).size();
    }

    /// Submits a job that an overloaded controller rejects; the answer to the first attempt is lost.
    void loseAnswerToRejected(JobId id, std::size_t payloadBytes)
    {
        path.overloadedSizes.insert(sizeOf(id, payloadBytes));
        path.isHeld = true;
        submit(id, payloadBytes);
        path.loseHeld();
        path.isHeld = false;
    }

    RejectingPath path;
    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    JobSubmitter submitter { path, clock, timers };
    std::map<JobId, AppendOutcome> outcomes;
    std::map<JobId, milliseconds> delays;
};

} // namespace

// A batch that the log rejects was sent again as a whole until the deadline of its callers.
TEST_CASE("submitter: a record that the log rejects does not hold up the records beside it", "[eventlog]")
{
    SubmitterFixture fixture;
    fixture.path.isHeld = true;
    fixture.submit(1, 10);
    for (const JobId id : { 2, 3, 4 })
        fixture.submit(id, id == 3 ? 700 : 100);
    fixture.path.rejectedSizes.insert(SubmitterFixture::sizeOf(3, 700));
    fixture.path.answerHeld();
    CHECK(fixture.outcomes.at(1) == AppendOutcome::Stored);
    CHECK(fixture.outcomes.at(2) == AppendOutcome::Stored);
    CHECK(fixture.outcomes.at(3) == AppendOutcome::Rejected);
    CHECK(fixture.outcomes.at(4) == AppendOutcome::Stored);
    CHECK(fixture.path.calls.size() == 5);
}

TEST_CASE("submitter: a record that is larger than the log accepts is rejected at once and not sent", "[eventlog]")
{
    SubmitterFixture fixture;
    fixture.submit(1, 3000);
    CHECK(fixture.outcomes.at(1) == AppendOutcome::Rejected);
    CHECK(fixture.path.calls.empty());
}

TEST_CASE("submitter: no batch is larger than an append of the log", "[eventlog]")
{
    SubmitterFixture fixture;
    fixture.path.isHeld = true;
    for (JobId id = 1; id <= 30; ++id)
        fixture.submit(id, 900);
    fixture.path.answerHeld();
    CHECK(fixture.outcomes.size() == 30);
    const jobs::RecordLimits limits = fixture.path.recordLimits();
    for (const auto& records : fixture.path.calls) {
        std::size_t bytes = 0;
        for (const auto& record : records)
            bytes += limits.framedSize(record.size());
        CHECK(bytes <= limits.appendBytes);
    }
}

// The caller of a rejected record must learn of it and of the delay, and the callers of the others of their records.
TEST_CASE("submitter: a record that is rejected in overload does not affect the records beside it", "[eventlog]")
{
    SubmitterFixture fixture;
    fixture.path.overloadedSizes.insert(SubmitterFixture::sizeOf(3, 700));
    fixture.path.isHeld = true;
    fixture.submit(1, 10);
    for (const JobId id : { 2, 3, 4 })
        fixture.submit(id, id == 3 ? 700 : 100);
    fixture.path.answerHeld();
    CHECK(fixture.outcomes.at(2) == AppendOutcome::Stored);
    CHECK(fixture.outcomes.at(3) == AppendOutcome::Overloaded);
    CHECK(fixture.delays.at(3) == milliseconds(2500));
    CHECK(fixture.outcomes.at(4) == AppendOutcome::Stored);
    CHECK(fixture.path.calls.size() == 2);
}

// The first attempt may have been stored although its answer was lost. A rejection of the second one would tell the
// caller that the job does not exist while it runs.
TEST_CASE("submitter: a rejected record that may be stored is sent again", "[eventlog]")
{
    SubmitterFixture fixture;
    fixture.loseAnswerToRejected(1, 10);
    for (int i = 0; i < 3; ++i) {
        fixture.clock.time += milliseconds(40);
        fixture.timers.runDue(fixture.clock.now());
    }
    CHECK(fixture.path.calls.size() == 4);
    CHECK(fixture.outcomes.empty());
    fixture.path.overloadedSizes.clear();
    fixture.clock.time += milliseconds(40);
    fixture.timers.runDue(fixture.clock.now());
    CHECK(fixture.outcomes.at(1) == AppendOutcome::Stored);
}

TEST_CASE("submitter: a rejected record that may be stored has an unknown outcome at its deadline", "[eventlog]")
{
    SubmitterFixture fixture;
    fixture.loseAnswerToRejected(1, 10);
    for (int i = 0; i < 80; ++i) {
        fixture.clock.time += milliseconds(40);
        fixture.timers.runDue(fixture.clock.now());
    }
    CHECK(fixture.outcomes.at(1) == AppendOutcome::Unknown);
}
