#include "fleetlog/internal/remotefleetlog.h"

#include <utility>

namespace turmericsill::fleetlog {

namespace {

    constexpr std::size_t ringCapacity = 1024;

} // namespace

RemoteFleetLog::RemoteFleetLog(boost::asio::io_context& consumer, boost::asio::io_context& logContext, FleetLog& log)
    : log_(log)
    , submissions_(logContext, ringCapacity, [this](Submission submission) { onSubmission(std::move(submission)); })
    , completions_(consumer, ringCapacity, [this](Completion completion) {
        --outstanding_;
        completion.done(completion.outcome, completion.reason);
    })
{
}

void RemoteFleetLog::submit(fleetstate::RecordBody body, LogWriter::Callback done)
{
    submitWithId({}, std::move(body), std::move(done));
}

void RemoteFleetLog::submitWithId(const std::string& id, fleetstate::RecordBody body, LogWriter::Callback done)
{
    if (outstanding_ >= ringCapacity)
        return done(AppendOutcome::NotAppended, "too many records are under way");
    ++outstanding_;
    submissions_.push({ id, std::move(body), std::move(done) });
}

void RemoteFleetLog::onSubmission(Submission submission)
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
