#include "foundation/traffic.h"

namespace turmericsill::foundation {

Traffic& Traffic::ofProcess()
{
    static Traffic processTraffic;
    return processTraffic;
}

} // namespace turmericsill::foundation
