#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "jsonsource/fault.h"

#include <cstddef>
#include <optional>
#include <string>

namespace turmericsill::settings {

/// Behaviour of an entry instance that can no longer confirm that its state is current.
enum class StaleServing {
    Serve, ///< Keeps serving from the last accepted state.
    Fence, ///< Starts no more requests after DaemonSettings::fenceAfter.
};

/// Settings of an entry instance that serves callers' requests (turmericsilld).
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
    foundation::milliseconds instanceListLag { 10000 }; ///< Longest time by which the platform's instance list lags.
    foundation::milliseconds appendInterval { 40 };
    std::uint64_t snapshotRecords = 5000; ///< Number of log records between two snapshots.
    foundation::milliseconds defaultTimeout { 10000 };
    foundation::milliseconds headerTimeout { 5000 };
    foundation::milliseconds idleTimeout { 60000 };
    /// Time during a stop in which the instance still serves but reports that it is not ready, so that the load
    /// balancer notices.
    foundation::milliseconds shutdownNotice { 2000 };
    foundation::milliseconds shutdownGrace { 20000 };
    std::size_t maximumConnections = 12000;
    std::size_t maximumBodyBytes = 1 << 20;
    std::size_t maximumQueuedRequests = 2000;
    std::optional<std::size_t> memoryLimitMb; ///< Memory that the process may use; absent if it is not limited.
    /// Each absent one follows from the limit above; see requestMemory() and responseMemory().
    std::optional<std::size_t> requestMemoryMb;
    std::optional<std::size_t> responseMemoryMb;
    std::string traceFile; ///< File that spans are appended to, as lines of OTLP JSON; empty: no tracing.
};

/// Memory for the requests of all clients that were read and not yet handled, and for responses not yet written, in
/// bytes. Each listening socket has a thread and a part of its own.
struct RequestMemory {
    std::size_t callers = 0;
    std::size_t operators = 0;
    std::size_t telemetry = 0;
};
RequestMemory requestMemory(const DaemonSettings& settings);

/// Largest request of an operator, in bytes.
std::size_t maximumOperatorRequestBytes(const DaemonSettings& settings);

/// Memory for the responses that are being received on the threads of the fleet log and of the callers, and on each
/// other thread, in bytes.
struct ResponseMemory {
    std::size_t log = 0;
    std::size_t callers = 0;
    std::size_t other = 0;
};
ResponseMemory responseMemory(const DaemonSettings& settings);

/// Reads and validates a settings file. Every fault is added to `faults`, with its line and field.
std::optional<DaemonSettings> loadDaemonSettings(const std::string& path, jsonsource::Faults& faults);

/// Like loadDaemonSettings(), but parses `text`; `file` is the file name in the faults.
std::optional<DaemonSettings> parseDaemonSettings(
    const std::string& file, const std::string& text, jsonsource::Faults& faults);

} // namespace turmericsill::settings
