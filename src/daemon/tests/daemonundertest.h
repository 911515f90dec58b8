#pragma once

#include "processtests/processundertest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::daemon::tests {

/// Address of one listening socket of the process on the loopback interface.
enum class Listener { Caller, Operator, Telemetry };

/// A process of turmericsilld with small limits. It is ended with this object.
class DaemonUnderTest {
public:
    static constexpr std::size_t memoryLimitMb = 128;
    static constexpr std::size_t descriptorLimit = 300;

    /// `platformPort`: loopback port of the platform; absent: it does not respond.
    explicit DaemonUnderTest(std::optional<std::uint16_t> platformPort = std::nullopt);

    const processtests::ProcessUnderTest& process() const { return *process_; }
    std::uint16_t port(Listener listener) const { return ports_[static_cast<std::size_t>(listener)]; }
    std::uint16_t peerPort() const { return ports_[peerIndex]; }

    /// Resident memory when the process had started, in kB.
    std::size_t residentAtStartKb() const { return residentAtStartKb_; }

    /// Repeats an ordinary request on each listening socket until its handler has answered; false after 60 s.
    bool answersOrdinaryRequests() const;

private:
    static constexpr std::size_t peerIndex = 3;
    static constexpr std::size_t platformIndex = 4;

    void writeSettings(std::uint16_t platformPort) const;

    processtests::TemporaryFolder folder_;
    std::vector<std::uint16_t> ports_;
    std::optional<processtests::ProcessUnderTest> process_;
    std::size_t residentAtStartKb_ = 0;
};

} // namespace turmericsill::daemon::tests
