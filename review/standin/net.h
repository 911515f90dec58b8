// Minimal blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review's scripts.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace net {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string parameter(const std::string& name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }
    std::uint64_t number(const std::string& name) const { return std::strtoull(parameter(name).c_str(), nullptr, 10); }
};

struct Response {
    int status = 200;
    std::string body;
    bool drops = false; ///< Closes the connection without an answer.
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Listens on a free loopback port.
inline int listenOnFreePort(std::uint16_t& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 1024) != 0)
        throw std::runtime_error("cannot listen on loopback");
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline std::uint16_t freePort()
{
    std::uint16_t port = 0;
    ::close(listenOnFreePort(port));
    return port;
}

inline int connectTo(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (fd >= 0 && ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return fd;
    }
    if (fd >= 0)
        ::close(fd);
    return -1;
}

inline bool sendAll(int fd, const char* data, std::size_t size)
{
    while (size > 0) {
        const ssize_t sent = ::send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

/// Reads up to the end of a message: header block, then Content-Length bytes. `rest` holds what was read beyond.
inline bool readMessage(int fd, std::string& rest, std::string& head, std::string& body, Clock::time_point until)
{
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (headEnd == std::string::npos) {
            headEnd = rest.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                head = rest.substr(0, headEnd + 2);
                std::string lower = head;
                std::transform(
                    lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
                const auto field = lower.find("\r\ncontent-length:");
                length = field == std::string::npos ? 0 : std::strtoull(lower.c_str() + field + 17, nullptr, 10);
            }
        }
        if (headEnd != std::string::npos && rest.size() >= headEnd + 4 + length) {
            body = rest.substr(headEnd + 4, length);
            rest.erase(0, headEnd + 4 + length);
            return true;
        }
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        if (left <= 0)
            return false;
        pollfd entry { fd, POLLIN, 0 };
        if (::poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 1000000))) <= 0)
            continue;
        char buffer[65536];
        const ssize_t got = ::recv(fd, buffer, sizeof(buffer), 0);
        if (got <= 0)
            return false;
        rest.append(buffer, static_cast<std::size_t>(got));
    }
}

inline Request parseRequest(const std::string& head, std::string body)
{
    Request request;
    const auto lineEnd = head.find("\r\n");
    const std::string line = head.substr(0, lineEnd);
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    std::string target = line.substr(first + 1, second - first - 1);
    const auto question = target.find('?');
    request.path = target.substr(0, question);
    while (question != std::string::npos && !target.empty()) {
        target.erase(0, target.find_first_of("?&") + 1);
        const std::string pair = target.substr(0, target.find('&'));
        const auto equals = pair.find('=');
        if (equals != std::string::npos)
            request.query[pair.substr(0, equals)] = pair.substr(equals + 1);
        if (target.find('&') == std::string::npos)
            break;
    }
    for (std::size_t at = lineEnd + 2; at < head.size();) {
        const auto end = head.find("\r\n", at);
        const auto colon = head.find(':', at);
        if (end == std::string::npos || colon == std::string::npos || colon > end)
            break;
        std::string name = head.substr(at, colon - at);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        auto value = colon + 1;
        while (value < end && head[value] == ' ')
            ++value;
        request.headers[name] = head.substr(value, end - value);
        at = end + 2;
    }
    request.body = std::move(body);
    return request;
}

/// Serves a loopback port with a thread for each connection, for the life of the process.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;

    explicit Server(Handler handler)
        : handler_(std::move(handler))
        , listener_(listenOnFreePort(port_))
    {
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                {
                    const std::lock_guard<std::mutex> lock(mutex_);
                    open_.insert(fd);
                }
                std::thread([this, fd] { serve(fd); }).detach();
            }
        }).detach();
    }

    std::uint16_t port() const { return port_; }

    /// Ends all open connections, as the end of the process behind them does.
    void dropConnections()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const int fd : open_)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void serve(int fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::string rest, head, body;
        while (readMessage(fd, rest, head, body, Clock::now() + std::chrono::hours(1))) {
            const Request request = parseRequest(head, std::move(body));
            const Response response = handler_(request);
            if (response.drops)
                break;
            std::string out = "HTTP/1.1 " + std::to_string(response.status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
                + "\r\n\r\n" + response.body;
            if (!sendAll(fd, out.data(), out.size()) || request.header("connection") == "close")
                break;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(fd);
        ::close(fd);
    }

    Handler handler_;
    std::uint16_t port_ = 0;
    int listener_;
    std::mutex mutex_;
    std::set<int> open_;
};

/// A call over a connection of its own. Status 0: no complete answer in time.
inline Response call(std::uint16_t port, const std::string& method, const std::string& target, const std::string& host,
    const std::string& body, Ms timeout)
{
    const auto until = Clock::now() + timeout;
    Response response;
    response.status = 0;
    const int fd = connectTo(port);
    if (fd < 0)
        return response;
    const std::string out = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Deadline-Ms: "
        + std::to_string(timeout.count()) + "\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    std::string rest, head;
    if (sendAll(fd, out.data(), out.size()) && readMessage(fd, rest, head, response.body, until))
        response.status = std::atoi(head.c_str() + head.find(' ') + 1);
    ::close(fd);
    return response;
}

/// Forwards connections to a port. While the path is cut, what was sent on open connections is held up and goes on
/// once the cut has healed, as with segments that are sent again; connections begun during a cut come to nothing.
class Proxy {
public:
    Proxy(std::uint16_t target, const std::atomic<bool>& isCut)
        : target_(target)
        , isCut_(isCut)
        , listener_(listenOnFreePort(port_))
    {
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0)
                    std::thread([this, fd] { forward(fd); }).detach();
            }
        }).detach();
    }

    std::uint16_t port() const { return port_; }

private:
    void waitUntilHealed() const
    {
        while (isCut_)
            std::this_thread::sleep_for(Ms(2));
    }

    void forward(int client)
    {
        if (isCut_) {
            waitUntilHealed();
            const linger reset { 1, 0 };
            ::setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::close(client);
            return;
        }
        const int on = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const int server = connectTo(target_);
        if (server >= 0) {
            std::thread back([this, client, server] { pump(server, client); });
            pump(client, server);
            back.join();
            ::close(server);
        }
        ::close(client);
    }

    static bool isReset(int fd)
    {
        pollfd entry { fd, POLLIN, 0 };
        return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLERR) != 0;
    }

    void pump(int from, int to) const
    {
        char buffer[65536];
        while (true) {
            const ssize_t got = ::recv(from, buffer, sizeof(buffer), 0);
            const bool isHeldUp = isCut_;
            waitUntilHealed();
            // Bytes that are held up by a partition are lost if their sender resets the connection.
            if (isHeldUp && isReset(from))
                break;
            if (got <= 0 || !sendAll(to, buffer, static_cast<std::size_t>(got)))
                break;
        }
        ::shutdown(to, SHUT_WR);
        ::shutdown(from, SHUT_RD);
    }

    std::uint16_t target_;
    const std::atomic<bool>& isCut_;
    std::uint16_t port_ = 0;
    int listener_;
};

} // namespace net
