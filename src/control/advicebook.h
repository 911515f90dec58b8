#pragma once

#include "fleet/iadvice.h"
#include "foundation/iclock.h"
#include "scheduling/types/poolview.h"
#include "telemetry/ieventsink.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::control {

/// Asks which instances may run a step, and keeps the answers while they are valid.
class AdviceBook {
public:
    /// `changed` is called when an answer came.
    AdviceBook(fleet::IAdvice& advice, const foundation::IClock& clock, telemetry::IEventSink& events,
        std::function<void()> changed);
    ~AdviceBook() { *alive_ = false; }

    AdviceBook(const AdviceBook&) = delete;
    AdviceBook& operator=(const AdviceBook&) = delete;

    /// Asks about a step and the first of these instances that were not asked about; one question at a time.
    void want(const scheduling::StepId& step, const std::vector<std::string>& instances);

    /// Tickets that are still valid, by step and instance.
    scheduling::TicketsOfSteps validTickets();

    /// An instance's life is over, and with it its tickets.
    void forgetInstance(const std::string& instance);

private:
    struct Ticket {
        std::string text;
        foundation::SteadyTime validUntil;
    };

    /// What is known about one step.
    struct StepAdvice {
        std::set<std::string> asked; ///< Instances that need not be asked about before `askAgainAt`.
        std::map<std::string, Ticket> tickets;
        foundation::SteadyTime askAgainAt {};
    };

    void onAnswer(const scheduling::StepId& step, const foundation::Result<fleet::AdviceAnswer>& answer);

    fleet::IAdvice& advice_;
    const foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    std::function<void()> changed_;
    std::map<scheduling::StepId, StepAdvice> steps_;
    foundation::SteadyTime retryAt_ {};
    bool isAsking_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
