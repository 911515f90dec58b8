#pragma once

#include "fleetlog/fleetlog.h"
#include "foundation/channel.h"

namespace turmericsill::fleetlog {

/// Carries submissions of one duty to the log duty and their outcomes back, over two bounded rings.
class RemoteFleetLog : public IFleetLog {
public:
    RemoteFleetLog(boost::asio::io_context& consumer, boost::asio::io_context& logContext, FleetLog& log);

    void submit(fleetstate::RecordBody body, LogWriter::Callback done) override;
    void submitWithId(const std::string& id, fleetstate::RecordBody body, LogWriter::Callback done) override;

private:
    struct Submission {
        std::string id; ///< Empty for a fresh one.
        fleetstate::RecordBody body;
        LogWriter::Callback done;
    };

    struct Completion {
        LogWriter::Callback done;
        AppendOutcome outcome = AppendOutcome::Unknown;
        std::string reason;
    };

    void onSubmission(Submission submission);

    FleetLog& log_;
    std::size_t outstanding_ = 0; ///< Bounds both rings.
    foundation::Channel<Submission> submissions_;
    foundation::Channel<Completion> completions_;
};

} // namespace turmericsill::fleetlog
