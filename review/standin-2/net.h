// HTTP/1.1 over loopback TCP, with a thread for each connection, and processes that are started and ended by their ids.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
};

struct Response {
    int status = 200;
    std::string body;
    std::string type = "application/json";
    bool isUnanswered = false; // The connection is closed without an answer.
};

inline std::string lower(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

inline std::string unescape(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

// Reads one message into `buffer`; the rest of the buffer belongs to the next one. Returns false at the end.
inline bool readMessage(int fd, std::string& buffer, std::string& head, std::string& body)
{
    char chunk[65536];
    std::size_t headEnd;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        const auto got = ::recv(fd, chunk, sizeof(chunk), 0);
        if (got <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(got));
    }
    head = buffer.substr(0, headEnd + 2);
    std::size_t length = 0;
    const auto field = lower(head).find("\r\ncontent-length:");
    if (field != std::string::npos)
        length = std::stoul(head.substr(field + 17));
    while (buffer.size() < headEnd + 4 + length) {
        const auto got = ::recv(fd, chunk, sizeof(chunk), 0);
        if (got <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(got));
    }
    body = buffer.substr(headEnd + 4, length);
    buffer.erase(0, headEnd + 4 + length);
    return true;
}

inline bool sendAll(int fd, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto done = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (done <= 0)
            return false;
        sent += static_cast<std::size_t>(done);
    }
    return true;
}

inline int listenOn(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        throw std::runtime_error("cannot listen on a loopback port");
    }
    return fd;
}

inline std::uint16_t portOf(int fd)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

// Listens on a free port below those that outgoing connections get, so that it stays free while its process restarts.
inline int listenOnFreePort()
{
    static std::atomic<int> next { 10000 + static_cast<int>(::getpid() % 400) * 50 };
    for (int tries = 0; tries < 2000; ++tries) {
        try {
            return listenOn(static_cast<std::uint16_t>(10000 + (next++ - 10000) % 20000));
        } catch (const std::runtime_error&) {
            continue;
        }
    }
    throw std::runtime_error("no loopback port is free");
}

inline std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        const int fd = listenOnFreePort();
        ports.push_back(portOf(fd));
        ::close(fd);
    }
    return ports;
}

class Server {
public:
    using Handler = std::function<Response(const Request&)>;

    explicit Server(Handler handler)
        : handler_(std::move(handler))
    {
    }
    ~Server() { stop(); }

    void start(std::uint16_t port = 0)
    {
        listener_ = port == 0 ? listenOnFreePort() : listenOn(port);
        port_ = portOf(listener_);
        isStopped_ = false;
        acceptor_ = std::thread([this] { accept(); });
    }

    // Closes the port and resets all connections, as the end of a process does.
    void stop()
    {
        if (isStopped_.exchange(true))
            return;
        ::shutdown(listener_, SHUT_RDWR);
        {
            std::lock_guard lock(mutex_);
            for (const int fd : connections_)
                ::shutdown(fd, SHUT_RDWR);
        }
        acceptor_.join();
        ::close(listener_);
        while (open_ > 0)
            std::this_thread::sleep_for(milliseconds(1));
    }

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void accept()
    {
        while (!isStopped_) {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::lock_guard lock(mutex_);
            connections_.insert(fd);
            ++open_;
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        std::string head;
        std::string body;
        while (!isStopped_ && readMessage(fd, buffer, head, body)) {
            Request request = parse(head, body);
            const Response response = handler_(request);
            if (isStopped_ || response.isUnanswered)
                break;
            const bool closes = lower(request.headers["connection"]) == "close";
            std::string text = "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: " + response.type
                + "\r\nContent-Length: " + std::to_string(response.body.size())
                + (closes ? "\r\nConnection: close" : "") + "\r\n\r\n" + response.body;
            if (!sendAll(fd, text) || closes)
                break;
        }
        {
            std::lock_guard lock(mutex_);
            connections_.erase(fd);
            ::close(fd);
        }
        --open_;
    }

    static Request parse(const std::string& head, const std::string& body)
    {
        Request request;
        const auto firstSpace = head.find(' ');
        const auto secondSpace = head.find(' ', firstSpace + 1);
        request.method = head.substr(0, firstSpace);
        const std::string target = head.substr(firstSpace + 1, secondSpace - firstSpace - 1);
        request.path = target.substr(0, target.find('?'));
        for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
            const std::string pair = target.substr(at + 1, target.find('&', at + 1) - at - 1);
            request.query[pair.substr(0, pair.find('='))] = unescape(pair.substr(pair.find('=') + 1));
        }
        for (auto at = head.find("\r\n"); at + 2 < head.size();) {
            const auto end = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, end - at - 2);
            const auto colon = line.find(':');
            if (colon != std::string::npos)
                request.headers[lower(line.substr(0, colon))]
                    = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
            at = end;
        }
        request.body = body;
        return request;
    }

    Handler handler_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> isStopped_ { true };
    std::atomic<int> open_ { 0 };
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<int> connections_;
};

struct Answer {
    int status = 0; // 0: no answer.
    std::string body;
};

// One call on a connection of its own; no answer within `timeout` counts as none.
inline Answer call(std::uint16_t port, const std::string& method, const std::string& target, const std::string& host,
    const std::string& body, milliseconds timeout)
{
    Answer answer;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit { timeout.count() / 1000, (timeout.count() % 1000) * 1000 };
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host
        + "\r\nX-Deadline-Ms: " + std::to_string(timeout.count()) + "\r\nConnection: close\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::string head;
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 && sendAll(fd, text)
        && readMessage(fd, buffer, head, answer.body))
        answer.status = std::stoi(head.substr(head.find(' ') + 1, 3));
    ::close(fd);
    return answer;
}

// A program that this one has started.
class Process {
public:
    ~Process() { kill(); }

    void start(const std::vector<std::string>& words, const std::string& logPath)
    {
        std::vector<char*> arguments;
        for (const auto& word : words)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        id_ = ::fork();
        if (id_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It does not outlive this process.
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }

    bool isRunning()
    {
        if (id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == id_)
            id_ = 0;
        return id_ > 0;
    }

    void signal(int number)
    {
        if (isRunning())
            ::kill(id_, number);
    }

    void kill()
    {
        if (!isRunning())
            return;
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
        id_ = 0;
    }

private:
    pid_t id_ = 0;
};

} // namespace standin
