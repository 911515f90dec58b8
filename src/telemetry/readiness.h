#pragma once

#include <map>
#include <mutex>
#include <string>

namespace turmericsill::telemetry {

/// Readiness of the entry instance for callers' requests: it is ready while no reason against it is set. Thread-safe.
class Readiness {
public:
    /// Sets or replaces the reason of a key. Logs it if the key had none.
    void setReason(const std::string& key, const std::string& reason);

    /// Clears the reason of a key. Logs when the instance becomes ready.
    void clearReason(const std::string& key);

    bool isReady() const;

    /// All reasons, one per line; empty when ready.
    std::string reasons() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::string> reasons_;
};

} // namespace turmericsill::telemetry
