#pragma once

#include "processtests/processundertest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::entryd::tests {

/// Address of one listening socket of the process on the loopback interface.
enum class Listener { Caller, Health, Telemetry };

/// A process of turmericsill-entry with small limits. It is ended with this object.
class EntryUnderTest {
public:
    static constexpr std::size_t memoryLimitMb = 64;
    static constexpr std::size_t descriptorLimit = 300;

    /// `storePort`: loopback port of the store and of machine control; absent: neither responds.
    explicit EntryUnderTest(std::optional<std::uint16_t> storePort = std::nullopt);

    const processtests::ProcessUnderTest& process() const { return *process_; }
    std::uint16_t port(Listener listener) const { return ports_[static_cast<std::size_t>(listener)]; }

    /// Resident memory when the process had started, in kB.
    std::size_t residentAtStartKb() const { return residentAtStartKb_; }

    /// Repeats an ordinary request of a caller until it is answered by its handler as without a store; false after 60
    /// s.
    bool answersOrdinaryRequest() const;

    /// Submits a job with one task until it is accepted; false after 60 s.
    bool acceptsJob() const;

    /// Submits a job once and returns the whole response.
    std::string submit(const std::string& job, const std::string& body) const;

    /// Kills the process and starts it again with the same settings.
    void restart() { process_->restart(); }

    /// Bytes that the process has written to its log.
    std::size_t logBytes() const;

private:
    void writeSettings(std::uint16_t storePort) const;

    bool hasStore_;
    processtests::TemporaryFolder folder_;
    std::vector<std::uint16_t> ports_;
    std::optional<processtests::ProcessUnderTest> process_;
    std::size_t residentAtStartKb_ = 0;
};

} // namespace turmericsill::entryd::tests
