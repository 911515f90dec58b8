#include "standins/platform/faults.h"

namespace turmericsill::standins {

void Faults::update(const nlohmann::json& value)
{
    isDown = value.value("down", isDown);
    isInstanceApiDown = value.value("instances_down", isInstanceApiDown);
    delay = foundation::milliseconds(value.value("delay_ms", delay.count()));
    lostAnswerRatio = value.value("lose_answers", lostAnswerRatio);
    listLatency = foundation::milliseconds(value.value("list_lag_ms", listLatency.count()));
    retainedRecords = value.value("retain_records", retainedRecords);
}

nlohmann::json Faults::toJson() const
{
    return { { "down", isDown }, { "instances_down", isInstanceApiDown }, { "delay_ms", delay.count() },
        { "lose_answers", lostAnswerRatio }, { "list_lag_ms", listLatency.count() },
        { "retain_records", retainedRecords } };
}

} // namespace turmericsill::standins
