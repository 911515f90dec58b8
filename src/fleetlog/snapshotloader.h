#pragma once

#include "fleetlog/snapshotparts.h"
#include "foundation/itimerqueue.h"
#include "platform/ilogclient.h"

#include <functional>
#include <string>

namespace turmericsill::fleetlog {

/// Reads the newest whole snapshot from its stream.
class SnapshotLoader {
public:
    /// Nothing: the stream holds no whole snapshot.
    using Callback = std::function<void(foundation::Result<std::optional<AssembledSnapshot>>)>;

    SnapshotLoader(platform::ILogClient& log, std::string stream);

    /// Any error means that the log could not be read; nothing can be said about snapshots then.
    void load(Callback done);

private:
    void readFrom(std::uint64_t from, Callback done);

    platform::ILogClient& log_;
    std::string stream_;
};

} // namespace turmericsill::fleetlog
