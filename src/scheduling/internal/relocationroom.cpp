#include "scheduling/relocationroom.h"

#include "scheduling/internal/stepplacer.h"

#include <utility>

namespace turmericsill::scheduling {

RelocationRoom::RelocationRoom(
    InstanceIndex& instances, StepTickets tickets, std::set<std::string> excluded, bool awaitsShortTasks)
    : instances_(instances)
    , tickets_(std::move(tickets))
    , excluded_(std::move(excluded))
    , awaitsShortTasks_(awaitsShortTasks)
{
}

RelocationRoom::~RelocationRoom()
{
    for (const Reservation& reserved : reservations_)
        instances_.removeTask(*reserved.instance, reserved.step, *reserved.spec);
}

bool RelocationRoom::reserve(const jobs::Job& job, const jobs::TaskId& task, bool isTicketRequired)
{
    const jobs::StepSpec& spec = job.spec.steps[task.step];
    WaitingStep waiting;
    waiting.id = stepOf(task);
    waiting.need = resourceRequest(spec);
    waiting.tasks = 1;
    waiting.requiredLabel = spec.requiredLabel;
    waiting.isTicketRequired = isTicketRequired;
    waiting.request = spec.resourcesPerTask;
    PlanConstraints constraints;
    constraints.tickets = &tickets_;
    IndexedInstance* instance
        = StepPlacer(instances_, job, waiting, constraints).findPermitted(excluded_, awaitsShortTasks_);
    if (!instance)
        return false;
    instances_.addTask(*instance, waiting.id, spec);
    reservations_.push_back({ instance, waiting.id, &spec });
    return true;
}

} // namespace turmericsill::scheduling
