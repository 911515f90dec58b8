#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "jsonsource/fault.h"

#include <cstddef>
#include <optional>
#include <string>

namespace turmericsill::settings {

/// Settings of an entry instance that runs jobs.
struct EntrySettings {
    std::string entry;
    std::string dataCentre;
    double processorShare = 1; ///< Of a core, that this process may use.
    std::size_t processorCores = 1; ///< How many times as fast as one core the machine's processor is.
    foundation::Address callerAddress;
    foundation::Address healthAddress;
    foundation::Address telemetryAddress;
    foundation::Address storeAddress;
    foundation::Address machineControlAddress;
    std::optional<foundation::Address> adviceAddress; ///< Absent: no queue's steps need advice.
    foundation::milliseconds longestLease { 10000 };
    foundation::milliseconds holderInterval { 3000 };
    foundation::milliseconds logRetention { 300000 }; ///< How long the platform's log keeps records.
    foundation::milliseconds statusRetention { 120000 };
    foundation::milliseconds shutdownGrace { 6000 };
};

/// Processor time of the entry's process, in thousandths of a core.
std::uint32_t processorMilliShare(const EntrySettings& settings);

/// Reads and checks a settings file, JSON with comments; every fault is reported with its line and field.
std::optional<EntrySettings> loadEntrySettings(const std::string& path, jsonsource::Faults& faults);

/// As above, from a text that is already in memory.
std::optional<EntrySettings> parseEntrySettings(
    const std::string& file, const std::string& text, jsonsource::Faults& faults);

} // namespace turmericsill::settings
