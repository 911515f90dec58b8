#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "jsonsource/fault.h"

#include <cstddef>
#include <optional>
#include <string>

namespace turmericsill::settings {

/// What an entry instance does when it can no longer confirm that its state is current.
enum class StaleServing {
    Serve, ///< Keeps serving from the last accepted state.
    Fence, ///< Stops starting requests after DaemonSettings::fenceAfter.
};

/// Settings of one entry instance.
struct DaemonSettings {
    std::string entry;
    std::string dataCentre;
    foundation::Address callerAddress;
    foundation::Address operatorAddress;
    foundation::Address telemetryAddress;
    foundation::Address peerAddress;
    foundation::Address platformAddress;
    std::string logStream = "turmericsill";
    StaleServing staleServing = StaleServing::Serve;
    foundation::milliseconds fenceAfter { 6000 };
    foundation::milliseconds heartbeatInterval { 500 };
    foundation::milliseconds suspectAfter { 2000 };
    foundation::milliseconds instanceListLag { 10000 }; ///< Longest lag of the platform's instance list.
    foundation::milliseconds appendInterval { 40 };
    std::uint64_t snapshotRecords = 5000; ///< Records of the log between two snapshots.
    foundation::milliseconds defaultTimeout { 10000 };
    foundation::milliseconds headerTimeout { 5000 };
    foundation::milliseconds idleTimeout { 60000 };
    foundation::milliseconds shutdownNotice { 2000 }; ///< Unready but serving, for the balancer to notice.
    foundation::milliseconds shutdownGrace { 20000 };
    std::size_t maximumConnections = 12000;
    std::size_t maximumBodyBytes = 1 << 20;
    std::size_t maximumQueuedRequests = 2000;
    std::string traceFile; ///< Spans are appended here as OTLP JSON lines; empty: none are written.
};

/// Reads and checks a settings file; every fault is reported with its line and field.
std::optional<DaemonSettings> loadDaemonSettings(const std::string& path, jsonsource::Faults& faults);

/// As above, from a text that is already in memory.
std::optional<DaemonSettings> parseDaemonSettings(
    const std::string& file, const std::string& text, jsonsource::Faults& faults);

} // namespace turmericsill::settings
