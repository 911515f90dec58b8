#include "control/advicecache.h"

namespace turmericsill::control {

using fleet::AdviceAnswer;
using foundation::milliseconds;
using foundation::Result;
using scheduling::StepId;

namespace {

    /// The platform's objective for a step allows for one call of this size.
    constexpr std::size_t instancesPerRequest = 30;
    /// Time to log the intent and send the start order with the ticket.
    constexpr milliseconds ticketExpiryMargin { 300 };
    constexpr milliseconds retryDelay { 200 }; ///< Delay after a failed request.
    constexpr std::size_t maximumCachedSteps = 5000;

    std::string stepName(const StepId& step)
    {
        return jobs::toText(step.job) + '.' + std::to_string(step.occurrence) + '.' + std::to_string(step.step);
    }

} // namespace

AdviceCache::AdviceCache(fleet::IAdviceService& advice, const foundation::IClock& clock, telemetry::IEventSink& events,
    std::function<void()> onUpdate)
    : service_(advice)
    , clock_(clock)
    , events_(events)
    , onUpdate_(std::move(onUpdate))
{
}

void AdviceCache::requestTickets(const StepId& step, const std::vector<std::string>& instances)
{
    const auto now = clock_.now();
    if (isRequestPending_ || now < nextRequestAt_)
        return;
    if (steps_.size() > maximumCachedSteps)
        steps_.clear();
    StepAdvice& stepAdvice = steps_[step];
    if (now >= stepAdvice.refreshAt)
        stepAdvice.queriedInstances.clear();
    std::vector<std::string> batch;
    for (const auto& instance : instances) {
        if (batch.size() < instancesPerRequest && stepAdvice.queriedInstances.insert(instance).second)
            batch.push_back(instance);
    }
    if (batch.empty())
        return;
    isRequestPending_ = true;
    service_.ask(stepName(step), batch, [this, alive = alive_, step](const Result<AdviceAnswer>& answer) {
        if (*alive)
            onAnswer(step, answer);
    });
}

void AdviceCache::onAnswer(const StepId& step, const Result<AdviceAnswer>& answer)
{
    isRequestPending_ = false;
    const auto now = clock_.now();
    StepAdvice& stepAdvice = steps_[step];
    events_.write("advice.answered",
        { { "step", stepName(step) }, { "good", std::uint64_t(answer ? answer->tickets.size() : 0) },
            { "outcome", answer ? std::string("answered") : answer.error().message() } });
    if (!answer) {
        nextRequestAt_ = now + retryDelay;
        stepAdvice.queriedInstances.clear();
        return;
    }
    stepAdvice.refreshAt = now + answer->validity - ticketExpiryMargin;
    for (const auto& [instance, ticket] : answer->tickets)
        stepAdvice.tickets[instance] = { ticket, stepAdvice.refreshAt };
    onUpdate_();
}

scheduling::StepTickets AdviceCache::validTickets()
{
    const auto now = clock_.now();
    scheduling::StepTickets valid;
    for (const auto& [step, advice] : steps_) {
        for (const auto& [instance, ticket] : advice.tickets) {
            if (now < ticket.validUntil)
                valid[step][instance] = ticket.text;
        }
    }
    return valid;
}

void AdviceCache::forgetInstance(const std::string& instance)
{
    for (auto& [step, advice] : steps_) {
        advice.tickets.erase(instance);
        advice.queriedInstances.erase(instance);
    }
}

} // namespace turmericsill::control
