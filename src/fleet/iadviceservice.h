#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::fleet {

/// Answer of the advice service: the instances that may run a step.
struct AdviceAnswer {
    std::map<std::string, std::string> tickets; ///< Ticket by instance; start orders there must carry it.
    foundation::milliseconds validity { 0 }; ///< How long the tickets are valid after the answer arrived.
};

/// Client of the advice service, which decides which instances may run a step. The service takes one call at a time
/// from each entry.
class IAdviceService {
public:
    using Callback = std::function<void(foundation::Result<AdviceAnswer>)>;

    virtual ~IAdviceService() = default;

    /// Asks which of at most 100 instances may run a step; `step` has the form JOB.OCCURRENCE.STEP.
    virtual void ask(const std::string& step, const std::vector<std::string>& instances, Callback done) = 0;
};

} // namespace turmericsill::fleet
