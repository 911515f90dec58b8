#include "processtests/processstatus.h"

#include <fstream>

namespace turmericsill::processtests {

std::size_t processStatusKb(const std::string& pid, const std::string& field)
{
    std::ifstream status("/proc/" + pid + "/status");
    for (std::string name; status >> name;) {
        std::size_t value = 0;
        if (name == field && status >> value)
            return value;
    }
    return 0;
}

} // namespace turmericsill::processtests
