#include "processtests/loopback.h"

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace turmericsill::processtests {

namespace {

    constexpr int listenBacklog = 64;

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    int openSocket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

    bool bindTo(int socket, std::uint16_t port)
    {
        const auto address = loopback(port);
        return ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    }

    bool connectSocket(int socket, std::uint16_t port)
    {
        const auto address = loopback(port);
        return ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    }

} // namespace

int connectTo(std::uint16_t port)
{
    const int socket = openSocket();
    const int receiveBytes = 4096;
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    if (!connectSocket(socket, port)) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    return socket;
}

int listenOn(std::uint16_t port)
{
    const int socket = openSocket();
    const int enabled = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (!bindTo(socket, port) || ::listen(socket, listenBacklog) != 0) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    return socket;
}

std::uint16_t boundPort(int socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

// All are bound at the same time, so that they differ.
std::vector<std::uint16_t> unusedPorts(std::size_t count)
{
    std::vector<int> sockets;
    std::vector<std::uint16_t> ports;
    for (std::size_t index = 0; index < count; ++index) {
        sockets.push_back(openSocket());
        bindTo(sockets.back(), 0);
        ports.push_back(boundPort(sockets.back()));
    }
    for (const int socket : sockets)
        ::close(socket);
    return ports;
}

std::string exchange(std::uint16_t port, const std::string& request)
{
    const int socket = openSocket();
    const timeval timeout { 2, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    std::string response;
    if (connectSocket(socket, port)
        && ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) == ssize_t(request.size())) {
        std::array<char, 4096> buffer {};
        for (ssize_t bytes = 0; (bytes = ::recv(socket, buffer.data(), buffer.size(), 0)) > 0;)
            response.append(buffer.data(), std::size_t(bytes));
    }
    ::close(socket);
    return response;
}

} // namespace turmericsill::processtests
