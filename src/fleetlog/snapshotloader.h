#pragma once

#include "fleetlog/snapshotparts.h"
#include "foundation/itimerqueue.h"
#include "platform/ilogclient.h"

#include <functional>
#include <string>

namespace turmericsill::fleetlog {

/// Reads the newest complete snapshot from the snapshot stream.
class SnapshotLoader {
public:
    /// Receives the snapshot, or std::nullopt if the stream holds no complete one.
    using Callback = std::function<void(foundation::Result<std::optional<AssembledSnapshot>>)>;

    SnapshotLoader(platform::ILogClient& log, std::string stream);

    /// Loads the newest complete snapshot. An error means that the stream could not be read, so a snapshot may exist.
    void load(Callback done);

private:
    void readFrom(std::uint64_t from, Callback done);

    platform::ILogClient& log_;
    std::string stream_;
};

} // namespace turmericsill::fleetlog
