#pragma once

#include <map>
#include <mutex>
#include <string>

namespace turmericsill::telemetry {

/// Why the entry instance must not receive callers' requests; ready while there is no reason. Thread-safe.
class Readiness {
public:
    /// Sets a reason under a key, or replaces it. Logs the change when the instance was ready.
    void setReason(const std::string& key, const std::string& reason);

    /// Clears a reason. Logs the change when the instance becomes ready.
    void clearReason(const std::string& key);

    bool isReady() const;

    /// All reasons, one a line; empty when ready.
    std::string reasons() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::string> reasons_;
};

} // namespace turmericsill::telemetry
