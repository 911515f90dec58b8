#include "fleet/types/fleet.h"

#include <algorithm>

namespace turmericsill::fleet {

namespace {

    constexpr std::size_t rackLabelIndex = 1; ///< The labels of an instance are its kind and its rack, in this order.

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

} // namespace

const Queue* FleetConfiguration::route(const std::string& host, const std::string& path) const
{
    const Queue* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host != host || !startsWith(path, queue.pathPrefix))
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const Queue* FleetConfiguration::findQueue(const std::string& name) const
{
    const auto found
        = std::find_if(queues.begin(), queues.end(), [&](const Queue& queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const Team* FleetConfiguration::findTeam(const std::string& name) const
{
    if (!teams)
        return nullptr;
    const auto found = teams->find(name);
    return found == teams->end() ? nullptr : &found->second;
}

bool InstanceReport::hasLabel(const std::string& label) const
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

const std::string& InstanceReport::rack() const
{
    static const std::string none;
    return labels.size() > rackLabelIndex ? labels[rackLabelIndex] : none;
}

} // namespace turmericsill::fleet
