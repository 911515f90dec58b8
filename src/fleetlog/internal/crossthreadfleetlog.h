#pragma once

#include "fleetlog/fleetlog.h"
#include "foundation/channel.h"

namespace turmericsill::fleetlog {

/// Client of a FleetLog that runs on another thread: passes submissions to it and outcomes back through two bounded
/// ring buffers.
class CrossThreadFleetLog : public IFleetLog {
public:
    CrossThreadFleetLog(boost::asio::io_context& consumer, boost::asio::io_context& logContext, FleetLog& log);

    void submit(fleetstate::RecordBody body, LogWriter::Callback done) override;
    void submitWithId(const std::string& id, fleetstate::RecordBody body, LogWriter::Callback done) override;

private:
    struct Submission {
        std::string id; ///< Id chosen by the author; empty to generate one.
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

    /// Number of submissions without an outcome; limited so that neither ring buffer can overflow.
    std::size_t outstanding_ = 0;
    foundation::Channel<Submission> submissions_;
    foundation::Channel<Completion> completions_;
};

} // namespace turmericsill::fleetlog
