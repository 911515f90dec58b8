#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::fleet {

/// Instances that may run a step.
struct AdviceAnswer {
    std::map<std::string, std::string> tickets; ///< By instance; a start there carries the ticket.
    foundation::milliseconds validity { 0 }; ///< Of the tickets, from the answer on.
};

/// The service that decides which instances may run a step. It takes one call at a time from each entry.
class IAdvice {
public:
    using Callback = std::function<void(foundation::Result<AdviceAnswer>)>;

    virtual ~IAdvice() = default;

    /// Asks about a step, named JOB.OCCURRENCE.STEP, and at most 100 instances.
    virtual void ask(const std::string& step, const std::vector<std::string>& instances, Callback done) = 0;
};

} // namespace turmericsill::fleet
