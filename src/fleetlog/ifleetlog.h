#pragma once

#include "fleetlog/logwriter.h"

namespace turmericsill::fleetlog {

/// Publishes decisions through the log; the answer says what became of them at their place in it.
class IFleetLog {
public:
    virtual ~IFleetLog() = default;

    /// Appends a record under a fresh id.
    virtual void submit(fleetstate::RecordBody body, LogWriter::Callback done) = 0;

    /// Appends a record under an id that its author chose, so that the author can ask for it later.
    virtual void submitWithId(const std::string& id, fleetstate::RecordBody body, LogWriter::Callback done) = 0;
};

} // namespace turmericsill::fleetlog
