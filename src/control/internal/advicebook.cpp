#include "control/advicebook.h"

namespace turmericsill::control {

using fleet::AdviceAnswer;
using foundation::milliseconds;
using foundation::Result;
using scheduling::StepId;

namespace {

    constexpr std::size_t instancesPerQuestion = 30; ///< The platform's objective allows for one such call a step.
    constexpr milliseconds orderReserve { 300 }; ///< Of a ticket's validity, for the intent and the order.
    constexpr milliseconds retryDelay { 200 };
    constexpr std::size_t maximumSteps = 5000;

    std::string nameOf(const StepId& step)
    {
        return jobs::toText(step.job) + '.' + std::to_string(step.occurrence) + '.' + std::to_string(step.step);
    }

} // namespace

AdviceBook::AdviceBook(fleet::IAdvice& advice, const foundation::IClock& clock, telemetry::IEventSink& events,
    std::function<void()> changed)
    : advice_(advice)
    , clock_(clock)
    , events_(events)
    , changed_(std::move(changed))
{
}

void AdviceBook::want(const StepId& step, const std::vector<std::string>& instances)
{
    const auto now = clock_.now();
    if (isAsking_ || now < retryAt_)
        return;
    if (steps_.size() > maximumSteps)
        steps_.clear();
    StepAdvice& known = steps_[step];
    if (now >= known.askAgainAt)
        known.asked.clear();
    std::vector<std::string> question;
    for (const auto& instance : instances) {
        if (question.size() < instancesPerQuestion && known.asked.insert(instance).second)
            question.push_back(instance);
    }
    if (question.empty())
        return;
    isAsking_ = true;
    advice_.ask(nameOf(step), question, [this, alive = alive_, step](const Result<AdviceAnswer>& answer) {
        if (*alive)
            onAnswer(step, answer);
    });
}

void AdviceBook::onAnswer(const StepId& step, const Result<AdviceAnswer>& answer)
{
    isAsking_ = false;
    const auto now = clock_.now();
    StepAdvice& known = steps_[step];
    events_.write("advice.answered",
        { { "step", nameOf(step) }, { "good", std::uint64_t(answer ? answer->tickets.size() : 0) },
            { "outcome", answer ? std::string("answered") : answer.error().message() } });
    if (!answer) {
        retryAt_ = now + retryDelay;
        known.asked.clear();
        return;
    }
    known.askAgainAt = now + answer->validity - orderReserve;
    for (const auto& [instance, ticket] : answer->tickets)
        known.tickets[instance] = { ticket, known.askAgainAt };
    changed_();
}

scheduling::TicketsOfSteps AdviceBook::validTickets()
{
    const auto now = clock_.now();
    scheduling::TicketsOfSteps valid;
    for (const auto& [step, advice] : steps_) {
        for (const auto& [instance, ticket] : advice.tickets) {
            if (now < ticket.validUntil)
                valid[step][instance] = ticket.text;
        }
    }
    return valid;
}

void AdviceBook::forgetInstance(const std::string& instance)
{
    for (auto& [step, advice] : steps_) {
        advice.tickets.erase(instance);
        advice.asked.erase(instance);
    }
}

} // namespace turmericsill::control
