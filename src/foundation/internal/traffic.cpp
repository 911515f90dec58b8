#include "foundation/traffic.h"

namespace turmericsill::foundation {

Traffic& Traffic::ofProcess()
{
    static Traffic traffic;
    return traffic;
}

} // namespace turmericsill::foundation
