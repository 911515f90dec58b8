#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "jsonsource/fault.h"

#include <cstddef>
#include <optional>
#include <string>

namespace turmericsill::settings {

/// Settings of an entry instance that runs jobs (turmericsill-entry).
struct EntrySettings {
    std::string entry;
    std::string dataCentre;
    double processorShare = 1; ///< Share of the machine's processor that this process may use.
    std::size_t processorCores = 1; ///< Speed of the machine's processor as a multiple of one core.
    foundation::Address callerAddress;
    foundation::Address healthAddress;
    foundation::Address telemetryAddress;
    foundation::Address storeAddress;
    foundation::Address machineControlAddress;
    std::optional<foundation::Address> adviceAddress; ///< Absent if no queue uses the advice service.
    foundation::milliseconds maximumLease { 10000 };
    /// Shortest time between orders of two lease holders for the same machine.
    foundation::milliseconds holderInterval { 3000 };
    foundation::milliseconds logRetention { 300000 }; ///< How long the platform's log keeps records.
    std::size_t logRecordBytes = 256 << 10; ///< Largest record that the platform's log accepts.
    std::size_t logAppendBytes = 2 << 20; ///< Largest sum of the records of one append.
    foundation::milliseconds statusRetention { 120000 }; ///< How long the final state of a job is reported.
    /// Whether runs are stored in a form that versions before it cannot read.
    bool batchesRunRecords = true;
    bool compressesRecords = true; ///< The same for compressed records.
    foundation::milliseconds shutdownGrace { 6000 };
    foundation::milliseconds configurationBound { 2000 }; ///< Time in which a confirmed configuration is in force.
    /// Time after the removal of an API key from which no request that uses it may run, on any entry. Absent: an entry
    /// that cannot read the configuration goes on accepting the keys that it knows.
    std::optional<foundation::milliseconds> keyRevocationBound;
    /// Jobs that a team may submit at once beyond a second's worth of its rate.
    std::size_t teamBurstJobs = 20;
    /// Factor by which a task takes longer away from its data or its group; 1 if it does not.
    double remoteSlowdown = 1;
    /// Memory that accepted jobs may take on an entry; absent: the default. The same on all entries, since each holds
    /// all jobs.
    std::optional<std::size_t> jobMemoryMb;
    std::optional<std::size_t> memoryLimitMb; ///< Memory that the process may use; absent if it is not limited.
    std::optional<std::size_t> descriptorLimit; ///< File descriptors that the process may open; absent if unknown.
    /// Each absent one follows from the limits above; see requestMemoryBytes(), responseMemoryBytes() and
    /// maximumCallerConnections().
    std::optional<std::size_t> requestMemoryMb;
    std::optional<std::size_t> responseMemoryMb;
    std::optional<std::size_t> callerConnections;
    std::size_t requestBodyBytes = 256 << 10; ///< Largest body of a caller's request.
};

/// Memory for the requests of all clients that were read and not yet handled, and for responses not yet written.
std::size_t requestMemoryBytes(const EntrySettings& settings);

/// Memory for the jobs that the fleet has accepted, each of which every entry holds.
std::size_t jobMemoryBytes(const EntrySettings& settings);

/// Memory for responses of the store, of instances and of other entries that are being received.
std::size_t responseMemoryBytes(const EntrySettings& settings);

/// Connections of callers that may be open at a time.
std::size_t maximumCallerConnections(const EntrySettings& settings);

/// Processor time that the process may use, in thousandths of a core.
std::uint32_t processorMillicores(const EntrySettings& settings);

/// Reads and validates a settings file, JSON with comments. Every fault is added to `faults`, with its line and field.
std::optional<EntrySettings> loadEntrySettings(const std::string& path, jsonsource::Faults& faults);

/// Like loadEntrySettings(), but parses `text`; `file` is the file name in the faults.
std::optional<EntrySettings> parseEntrySettings(
    const std::string& file, const std::string& text, jsonsource::Faults& faults);

} // namespace turmericsill::settings
