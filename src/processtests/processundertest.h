#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace turmericsill::processtests {

/// How to start a program.
struct Program {
    std::string path;
    std::vector<std::string> arguments;
    std::string outputFile = "/dev/null"; ///< Receives standard output and standard error.
    std::optional<std::size_t> descriptorLimit; ///< Limit of the process's open file descriptors, if it is lowered.
};

/// How a process has ended.
struct ProcessEnd {
    std::optional<int> exitCode; ///< Absent if a signal has ended the process.
    std::size_t peakResidentKb = 0;
};

/// A process of the system. It is killed with this object.
class ProcessUnderTest {
public:
    explicit ProcessUnderTest(Program program);
    ~ProcessUnderTest();

    ProcessUnderTest(const ProcessUnderTest&) = delete;
    ProcessUnderTest& operator=(const ProcessUnderTest&) = delete;

    /// Whether the process that was started still runs.
    bool isAlive() const;

    /// Resident memory now, and the most since the start, in kB; 0 after the process has ended.
    std::size_t residentKb() const { return statusKb("VmRSS:"); }
    std::size_t peakResidentKb() const { return statusKb("VmHWM:"); }

    std::size_t openDescriptors() const;

    /// Kills the process and starts the program again.
    void restart();

    /// Waits until the process ends by itself. Only for a process that is known to end.
    ProcessEnd waitForEnd();

private:
    void start();
    void kill();
    std::size_t statusKb(const std::string& field) const;

    Program program_;
    pid_t process_ = -1;
};

/// A folder that is removed with this object.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();

    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    std::string file(const std::string& name) const { return path_ + "/" + name; }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

} // namespace turmericsill::processtests
