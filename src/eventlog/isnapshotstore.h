#pragma once

#include "eventlog/ieventlog.h"
#include "foundation/result.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// The newest value of a key.
struct SnapshotEntry {
    std::string key;
    std::string value; ///< Empty: the key is removed.
};

/// Keeps the newest value of each key for good, so that the log may drop old records.
class ISnapshotStore {
public:
    using SaveCallback = std::function<void(foundation::Result<void>)>;
    using LoadCallback = std::function<void(foundation::Result<std::vector<SnapshotEntry>>)>;

    virtual ~ISnapshotStore() = default;

    /// Stores all entries or none. Errc::Fenced: a later controller has written.
    virtual void save(std::vector<SnapshotEntry> entries, ProducerPosition position, SaveCallback done) = 0;

    virtual void load(LoadCallback done) = 0;
};

} // namespace turmericsill::eventlog
