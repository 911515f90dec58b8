#include "processtests/processundertest.h"

#include "processtests/processstatus.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace turmericsill::processtests {

namespace {

    /// Lowers the soft limit of file descriptors while a process is started, which inherits it.
    class DescriptorLimit {
    public:
        explicit DescriptorLimit(const std::optional<std::size_t>& limit)
        {
            ::getrlimit(RLIMIT_NOFILE, &before_);
            rlimit lowered = before_;
            lowered.rlim_cur = limit.value_or(before_.rlim_cur);
            ::setrlimit(RLIMIT_NOFILE, &lowered);
        }
        ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before_); }

        DescriptorLimit(const DescriptorLimit&) = delete;
        DescriptorLimit& operator=(const DescriptorLimit&) = delete;

    private:
        rlimit before_ {};
    };

    std::vector<char*> pointersTo(std::vector<std::string>& texts)
    {
        std::vector<char*> result;
        for (auto& text : texts)
            result.push_back(text.data());
        result.push_back(nullptr);
        return result;
    }

} // namespace

ProcessUnderTest::ProcessUnderTest(Program program)
    : program_(std::move(program))
{
    start();
}

ProcessUnderTest::~ProcessUnderTest() { kill(); }

// AddressSanitizer keeps freed memory in a quarantine and in its allocator, which would hide what the process itself
// holds.
void ProcessUnderTest::start()
{
    std::vector<std::string> environment { "ASAN_OPTIONS=quarantine_size_mb=0:thread_local_quarantine_size_kb=0:"
                                           "allocator_release_to_os_interval_ms=0:detect_leaks=0" };
    std::vector<std::string> arguments { program_.path };
    arguments.insert(arguments.end(), program_.arguments.begin(), program_.arguments.end());
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(
        &files, STDOUT_FILENO, program_.outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const DescriptorLimit limit(program_.descriptorLimit);
    const int error = ::posix_spawn(&process_, program_.path.c_str(), &files, nullptr, pointersTo(arguments).data(),
        pointersTo(environment).data());
    ::posix_spawn_file_actions_destroy(&files);
    REQUIRE(error == 0);
}

void ProcessUnderTest::kill()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = -1;
}

void ProcessUnderTest::restart()
{
    kill();
    start();
}

ProcessEnd ProcessUnderTest::waitForEnd()
{
    int status = 0;
    rusage usage {};
    REQUIRE(::wait4(process_, &status, 0, &usage) == process_);
    process_ = -1;
    return { WIFEXITED(status) ? std::optional(WEXITSTATUS(status)) : std::nullopt,
        static_cast<std::size_t>(usage.ru_maxrss) };
}

// The process stays a zombie, so that its id is not given to another one before kill().
bool ProcessUnderTest::isAlive() const
{
    siginfo_t end {};
    return process_ > 0 && ::waitid(P_PID, static_cast<id_t>(process_), &end, WEXITED | WNOHANG | WNOWAIT) == 0
        && end.si_pid == 0;
}

std::size_t ProcessUnderTest::statusKb(const std::string& field) const
{
    return processStatusKb(std::to_string(process_), field);
}

std::size_t ProcessUnderTest::openDescriptors() const
{
    std::error_code ignored;
    std::filesystem::directory_iterator files("/proc/" + std::to_string(process_) + "/fd", ignored);
    return std::size_t(std::distance(begin(files), end(files)));
}

TemporaryFolder::TemporaryFolder()
{
    path_ = (std::filesystem::temp_directory_path() / "turmericsill-test-XXXXXX").string();
    REQUIRE(::mkdtemp(path_.data()) != nullptr);
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

} // namespace turmericsill::processtests
