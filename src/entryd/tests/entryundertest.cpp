#include "entryundertest.h"

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace turmericsill::entryd::tests {

using namespace std::chrono_literals;

namespace {

    constexpr auto hangGuard = 60s;

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    /// Sends an ordinary request and returns the response, or what was received until the connection was closed.
    std::string askOnce(std::uint16_t port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval timeout { 2, 0 };
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        const auto address = loopback(port);
        std::string response;
        const std::string body(4096, 'x');
        const std::string request = "POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: jobs\r\nConnection: close\r\n"
                                    "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0
            && ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) == ssize_t(request.size())) {
            std::array<char, 4096> buffer {};
            for (ssize_t bytes = 0; (bytes = ::recv(socket, buffer.data(), buffer.size(), 0)) > 0;)
                response.append(buffer.data(), std::size_t(bytes));
        }
        ::close(socket);
        return response;
    }

} // namespace

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int receiveBytes = 4096;
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    const auto address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    return socket;
}

EntryUnderTest::EntryUnderTest()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "entry-test-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    directory_ = pattern;
    std::vector<int> sockets;
    for (std::uint16_t* port : { &ports_[0], &ports_[1], &ports_[2], &unusedPort_ }) {
        sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        auto address = loopback(0);
        socklen_t size = sizeof address;
        REQUIRE(::bind(sockets.back(), reinterpret_cast<const sockaddr*>(&address), size) == 0);
        REQUIRE(::getsockname(sockets.back(), reinterpret_cast<sockaddr*>(&address), &size) == 0);
        *port = ntohs(address.sin_port);
    }
    for (const int socket : sockets)
        ::close(socket);
    writeSettings();
    start();
    REQUIRE(answersOrdinaryRequest());
    residentAtStartKb_ = residentKb();
}

EntryUnderTest::~EntryUnderTest()
{
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void EntryUnderTest::writeSettings() const
{
    const auto address = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::ofstream(directory_ + "/settings.json")
        << R"({"entry": "entry-1", "data_centre": "here", "caller_address": )" << address(ports_[0])
        << R"(, "health_address": )" << address(ports_[1]) << R"(, "telemetry_address": )" << address(ports_[2])
        << R"(, "store_address": )" << address(unusedPort_) << R"(, "machine_control_address": )"
        << address(unusedPort_) << R"(, "memory_limit_mb": )" << memoryLimitMb << R"(, "descriptor_limit": )"
        << descriptorLimit << "}\n";
}

// AddressSanitizer keeps freed memory in a quarantine and in its allocator, which would hide what the process itself
// holds.
void EntryUnderTest::start()
{
    std::vector<std::string> environment { "ASAN_OPTIONS=quarantine_size_mb=0:thread_local_quarantine_size_kb=0:"
                                           "allocator_release_to_os_interval_ms=0:detect_leaks=0" };
    std::vector<std::string> arguments { TURMERICSILL_ENTRY_PROGRAM, "--settings", directory_ + "/settings.json" };
    const auto pointers = [](std::vector<std::string>& texts) {
        std::vector<char*> result;
        for (auto& text : texts)
            result.push_back(text.data());
        result.push_back(nullptr);
        return result;
    };
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    for (const int descriptor : { STDOUT_FILENO, STDERR_FILENO })
        ::posix_spawn_file_actions_addopen(&files, descriptor, "/dev/null", O_WRONLY, 0);
    const int error = ::posix_spawn(&process_, TURMERICSILL_ENTRY_PROGRAM, &files, nullptr, pointers(arguments).data(),
        pointers(environment).data());
    ::posix_spawn_file_actions_destroy(&files);
    REQUIRE(error == 0);
}

bool EntryUnderTest::isAlive() const { return ::waitpid(process_, nullptr, WNOHANG) == 0; }

std::size_t EntryUnderTest::statusKb(const std::string& field) const
{
    std::ifstream status("/proc/" + std::to_string(process_) + "/status");
    for (std::string name; status >> name;) {
        std::size_t value = 0;
        if (name == field && status >> value)
            return value;
    }
    return 0;
}

std::size_t EntryUnderTest::openDescriptors() const
{
    std::error_code ignored;
    std::filesystem::directory_iterator files("/proc/" + std::to_string(process_) + "/fd", ignored);
    return std::size_t(std::distance(begin(files), end(files)));
}

bool EntryUnderTest::answersOrdinaryRequest() const
{
    const auto deadline = std::chrono::steady_clock::now() + hangGuard;
    while (std::chrono::steady_clock::now() < deadline) {
        // What the handler answers as long as it could not read the configuration from the store.
        const std::string response = askOnce(port(Listener::Caller));
        if (response.rfind("HTTP/1.1 503", 0) == 0
            && response.find("configuration has not been read") != std::string::npos)
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

} // namespace turmericsill::entryd::tests
