#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace turmericsill::entryd::tests {

/// Address of one listening socket of the process on the loopback interface.
enum class Listener { Caller, Health, Telemetry };

/// Opens a non-blocking connection to a loopback port with a small receive buffer; returns -1 if that fails.
int connectTo(std::uint16_t port);

/// A process of turmericsill-entry with small limits, whose store does not respond. It is ended with this object.
class EntryUnderTest {
public:
    static constexpr std::size_t memoryLimitMb = 64;
    static constexpr std::size_t descriptorLimit = 300;

    EntryUnderTest();
    ~EntryUnderTest();

    EntryUnderTest(const EntryUnderTest&) = delete;
    EntryUnderTest& operator=(const EntryUnderTest&) = delete;

    std::uint16_t port(Listener listener) const { return ports_[static_cast<std::size_t>(listener)]; }

    /// Whether the process that was started still runs.
    bool isAlive() const;

    /// Resident memory at the start, now, and the most since the start, in kB.
    std::size_t residentAtStartKb() const { return residentAtStartKb_; }
    std::size_t residentKb() const { return statusKb("VmRSS:"); }
    std::size_t peakResidentKb() const { return statusKb("VmHWM:"); }

    std::size_t openDescriptors() const;

    /// Repeats an ordinary request of a caller until it is answered by its handler; false after 60 s.
    bool answersOrdinaryRequest() const;

private:
    std::size_t statusKb(const std::string& field) const;
    void writeSettings() const;
    void start();

    std::uint16_t ports_[3] {};
    std::uint16_t unusedPort_ = 0; ///< Where the store should listen.
    std::string directory_;
    pid_t process_ = -1;
    std::size_t residentAtStartKb_ = 0;
};

} // namespace turmericsill::entryd::tests
