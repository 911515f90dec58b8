#pragma once

#include "fleet/iadviceservice.h"
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

/// Asks the advice service which instances may run a step, and caches the tickets it returns until they expire.
/// A start order for such a step must carry the ticket of its instance.
class AdviceCache {
public:
    /// `onUpdate` is called after each successful answer.
    AdviceCache(fleet::IAdviceService& advice, const foundation::IClock& clock, telemetry::IEventSink& events,
        std::function<void()> onUpdate);
    ~AdviceCache() { *alive_ = false; }

    AdviceCache(const AdviceCache&) = delete;
    AdviceCache& operator=(const AdviceCache&) = delete;

    /// Asks about a step and the first of `instances` that were not queried yet. Does nothing while another request is
    /// pending.
    void requestTickets(const scheduling::StepId& step, const std::vector<std::string>& instances);

    /// Returns the tickets that have not expired.
    scheduling::StepTickets validTickets();

    /// Drops the tickets of an instance that has restarted, because they are valid for one incarnation only.
    void forgetInstance(const std::string& instance);

private:
    struct Ticket {
        std::string text;
        foundation::SteadyTime validUntil;
    };

    /// Cached advice on one step.
    struct StepAdvice {
        std::set<std::string> queriedInstances; ///< Instances not to be queried again before `refreshAt`.
        std::map<std::string, Ticket> tickets;
        foundation::SteadyTime refreshAt {};
    };

    void onAnswer(const scheduling::StepId& step, const foundation::Result<fleet::AdviceAnswer>& answer);

    fleet::IAdviceService& service_;
    const foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    std::function<void()> onUpdate_;
    std::map<scheduling::StepId, StepAdvice> steps_;
    foundation::SteadyTime nextRequestAt_ {};
    bool isRequestPending_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control
