#pragma once

#include "fleetlog/logwriter.h"

namespace turmericsill::fleetlog {

/// Appends records to the fleet log and reports whether each took effect at its offset.
class IFleetLog {
public:
    virtual ~IFleetLog() = default;

    /// Appends a record under a newly generated id.
    virtual void submit(fleetstate::RecordBody body, LogWriter::Callback done) = 0;

    /// Appends a record under an id chosen by its author, who can use it to ask for the outcome later.
    virtual void submitWithId(const std::string& id, fleetstate::RecordBody body, LogWriter::Callback done) = 0;
};

} // namespace turmericsill::fleetlog
