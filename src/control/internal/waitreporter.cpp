#include "control/internal/waitreporter.h"

namespace turmericsill::control {

// The field "took_ms" makes the length of the waits a histogram, and "outcome" counts them; see
// telemetry::EventMetrics. The sink limits the number of lines.
void WaitReporter::report(const std::string& pool, const scheduling::EndedWait& wait)
{
    events_.write("placement.waited",
        { { "job", jobs::toText(wait.step.job) }, { "occurrence", std::uint64_t(wait.step.occurrence) },
            { "step", std::uint64_t(wait.step.step) }, { "pool", pool }, { "rack", wait.rack },
            { "outcome", std::string(toText(wait.outcome)) }, { "reason", std::string(wait.endReason) },
            { "waited_ms", std::int64_t(wait.waitedSinceReady.count()) },
            { "took_ms", std::int64_t(wait.waited.count()) }, { "expected_ms", std::int64_t(wait.expected.count()) },
            { "local", std::uint64_t(wait.localStarts) }, { "remote", std::uint64_t(wait.remoteStarts) },
            { "gain_ms", std::int64_t(wait.gain.count()) }, { "pauses", wait.causesPause } });
}

} // namespace turmericsill::control
