#include "telemetry/readiness.h"

#include <glog/logging.h>

namespace turmericsill::telemetry {

void Readiness::setReason(const std::string& key, const std::string& reason)
{
    std::lock_guard<std::mutex> lock(mutex_);
    const bool isNew = reasons_.count(key) == 0;
    reasons_[key] = reason;
    if (isNew)
        LOG(INFO) << "not ready: " << key << ": " << reason;
}

void Readiness::clearReason(const std::string& key)
{
    std::lock_guard<std::mutex> lock(mutex_);
    if (reasons_.erase(key) != 0 && reasons_.empty())
        LOG(INFO) << "ready";
}

bool Readiness::isReady() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return reasons_.empty();
}

std::string Readiness::reasons() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    std::string text;
    for (const auto& [key, reason] : reasons_)
        text += key + ": " + reason + "\n";
    return text;
}

} // namespace turmericsill::telemetry
