#include "standins/platform/faults.h"

namespace turmericsill::standins {

void Faults::update(const nlohmann::json& value)
{
    down = value.value("down", down);
    instancesDown = value.value("instances_down", instancesDown);
    delay = foundation::milliseconds(value.value("delay_ms", delay.count()));
    loseAnswers = value.value("lose_answers", loseAnswers);
    listLag = foundation::milliseconds(value.value("list_lag_ms", listLag.count()));
    retainRecords = value.value("retain_records", retainRecords);
}

nlohmann::json Faults::toJson() const
{
    return { { "down", down }, { "instances_down", instancesDown }, { "delay_ms", delay.count() },
        { "lose_answers", loseAnswers }, { "list_lag_ms", listLag.count() }, { "retain_records", retainRecords } };
}

} // namespace turmericsill::standins
