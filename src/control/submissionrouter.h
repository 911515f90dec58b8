#pragma once

#include "control/controlduty.h"
#include "eventlog/isubmissionpath.h"

#include <string>
#include <vector>

namespace turmericsill::control {

/// Stores callers' records through the controller, whose appends carry them along; through the log itself while no
/// controller answers. The log takes one append at a time, so that with a slow store appends of every entry would
/// leave the controller a small share.
class SubmissionRouter : public eventlog::ISubmissionPath {
public:
    SubmissionRouter(ControlDuty& control, const ControllerContext& context, std::string entry);

    std::size_t concurrentCalls() const override;
    void store(std::vector<std::string> records, foundation::milliseconds timeout, StoreCallback done) override;

private:
    /// The entry that controls, if it is another one that has answered lately or was not tried.
    std::optional<foundation::Address> peerInControl() const;
    void append(std::vector<std::string> records, foundation::milliseconds timeout, StoreCallback done);
    void noteNoAnswer(std::uint64_t epoch, const foundation::Error& error);

    ControlDuty& control_;
    ControllerContext context_;
    std::string entry_;
    std::size_t forwardsUnderWay_ = 0;
    std::uint64_t avoidedEpoch_ = 0; ///< The controller of this epoch gave no answer,
    foundation::SteadyTime avoidedUntil_ {}; ///< and is not asked again before this.
};

} // namespace turmericsill::control
