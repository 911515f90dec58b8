#pragma once

#include "control/controllerelection.h"
#include "eventlog/isubmissionpath.h"

#include <string>
#include <vector>

namespace turmericsill::control {

/// Stores callers' records through the controller, which adds them to its own appends, or directly in the log while no
/// controller answers. The log accepts one append at a time, so that with a slow store the appends of all entries would
/// leave little capacity to the controller.
class SubmissionRouter : public eventlog::ISubmissionPath {
public:
    SubmissionRouter(ControllerElection& control, const ControllerContext& context, std::string entry);

    std::size_t maximumConcurrentCalls() const override;
    jobs::RecordLimits recordLimits() const override { return context_.log.recordLimits(); }
    void store(std::vector<std::string> records, foundation::milliseconds timeout, StoreCallback done) override;

private:
    /// Address of the controller, if another entry is the controller and is not being avoided.
    std::optional<foundation::Address> peerInControl() const;
    void append(std::vector<std::string> records, foundation::milliseconds timeout, StoreCallback done);
    void avoidController(std::uint64_t epoch, const foundation::Error& error);

    ControllerElection& control_;
    ControllerContext context_;
    std::string entry_;
    std::size_t forwardsInFlight_ = 0;
    std::uint64_t avoidedEpoch_ = 0; ///< Epoch of a controller that did not answer.
    foundation::SteadyTime avoidedUntil_ {}; ///< Time until which that controller is not called.
};

} // namespace turmericsill::control
