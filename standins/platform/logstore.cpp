#include "standins/platform/logstore.h"

#include <utility>

namespace turmericsill::standins {

std::uint64_t LogStore::append(const std::string& name, std::vector<std::string> records, std::size_t retain)
{
    Stream& target = streams_[name];
    const std::uint64_t first = target.tail();
    for (auto& record : records)
        target.records.push_back(std::move(record));
    while (retain > 0 && target.records.size() > retain) {
        target.records.pop_front();
        ++target.firstOffset;
    }
    return first;
}

} // namespace turmericsill::standins
