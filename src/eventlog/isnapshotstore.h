#pragma once

#include "eventlog/ieventlog.h"
#include "foundation/result.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// A key with its latest value.
struct SnapshotEntry {
    std::string key;
    std::string value; ///< Empty when the key is to be removed.
};

/// Key-value store without a retention limit. It holds snapshots, so that the log may drop old records.
class ISnapshotStore {
public:
    using SaveCallback = std::function<void(foundation::Result<void>)>;
    using LoadCallback = std::function<void(foundation::Result<std::vector<SnapshotEntry>>)>;

    virtual ~ISnapshotStore() = default;

    /// Sizes of the entries and calls of save() that the store accepts. The size of an entry is that of its key and its
    /// value together.
    virtual jobs::RecordLimits entryLimits() const = 0;

    /// Stores all entries or none. Errc::Fenced: a controller of a higher epoch has written. Errc::Rejected: nothing
    /// was stored, nor will be by a repetition.
    virtual void save(std::vector<SnapshotEntry> entries, ProducerPosition position, SaveCallback done) = 0;

    /// Reads all entries as of one moment.
    virtual void load(LoadCallback done) = 0;
};

} // namespace turmericsill::eventlog
