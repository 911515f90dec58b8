#include "foundation/controltraffic.h"

namespace turmericsill::foundation {

ControlTraffic& ControlTraffic::processTotals()
{
    static ControlTraffic processTraffic;
    return processTraffic;
}

} // namespace turmericsill::foundation
