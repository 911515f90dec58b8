#include "fleetlog/internal/crossthreadfleetlog.h"

#include <utility>

namespace turmericsill::fleetlog {

namespace {

    /// Maximum number of submissions without an outcome, and the capacity of the ring buffers.
    constexpr std::size_t maximumOutstanding = 1024;

} // namespace

CrossThreadFleetLog::CrossThreadFleetLog(
    boost::asio::io_context& consumer, boost::asio::io_context& logContext, FleetLog& log)
    : log_(log)
    , submissions_(
          logContext, maximumOutstanding, [this](Submission submission) { onSubmission(std::move(submission)); })
    , completions_(consumer, maximumOutstanding, [this](Completion completion) {
        --outstanding_;
        completion.done(completion.outcome, completion.reason);
    })
{
}

void CrossThreadFleetLog::submit(fleetstate::RecordBody body, LogWriter::Callback done)
{
    submitWithId({}, std::move(body), std::move(done));
}

void CrossThreadFleetLog::submitWithId(const std::string& id, fleetstate::RecordBody body, LogWriter::Callback done)
{
    if (outstanding_ >= maximumOutstanding)
        return done(AppendOutcome::NotAppended, "too many submitted records are unresolved");
    ++outstanding_;
    submissions_.push({ id, std::move(body), std::move(done) });
}

void CrossThreadFleetLog::onSubmission(Submission submission)
{
    auto complete = [this, done = std::move(submission.done)](AppendOutcome outcome, const std::string& reason) {
        completions_.push({ done, outcome, reason });
    };
    if (submission.id.empty())
        log_.submit(std::move(submission.body), std::move(complete));
    else
        log_.submitWithId(submission.id, std::move(submission.body), std::move(complete));
}

} // namespace turmericsill::fleetlog
