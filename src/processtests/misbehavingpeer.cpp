#include "processtests/misbehavingpeer.h"

#include "processtests/loopback.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace turmericsill::processtests {

namespace {

    bool isTemporary(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

} // namespace

StreamSender::StreamSender(Stream stream)
    : stream_(std::move(stream))
{
    while (stream_.repeatedBytes > 0 && stream_.repeated.size() < largeStep)
        stream_.repeated += stream_.repeated;
}

std::ptrdiff_t StreamSender::send(int socket, std::size_t maximumBytes)
{
    const std::size_t total = stream_.opening.size() + stream_.repeatedBytes;
    if (sent_ >= total)
        return 0;
    const bool isOpening = sent_ < stream_.opening.size();
    const std::string& text = isOpening ? stream_.opening : stream_.repeated;
    const std::size_t at = isOpening ? sent_ : (sent_ - stream_.opening.size()) % text.size();
    const std::size_t most = std::min({ text.size() - at, total - sent_, maximumBytes });
    const ssize_t bytes = ::send(socket, text.data() + at, most, MSG_NOSIGNAL);
    if (bytes < 0)
        return isTemporary(errno) ? 0 : -1;
    sent_ += std::size_t(bytes);
    return bytes;
}

MisbehavingClient::MisbehavingClient(std::uint16_t port, const ClientBehaviour& behaviour)
    : port_(port)
    , behaviour_(behaviour)
    , sender_(behaviour.stream)
{
    reconnect();
}

MisbehavingClient::~MisbehavingClient() { ::close(socket_); }

void MisbehavingClient::reconnect()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = connectTo(port_);
    sender_.reset();
}

bool MisbehavingClient::step()
{
    bool hasProgressed = false;
    char response = 0;
    if (behaviour_.readsSlowly)
        hasProgressed = ::recv(socket_, &response, 1, 0) == 1;
    if (sender_.isDone())
        return hasProgressed;
    const std::ptrdiff_t bytes = sender_.send(socket_, behaviour_.bytesPerStep);
    if (bytes > 0)
        return true;
    if (bytes == 0 || reconnects_++ >= behaviour_.maximumReconnects)
        return hasProgressed;
    reconnect();
    return true;
}

MisbehavingServer::MisbehavingServer(const Stream& response, std::size_t maximumResponses, std::uint16_t port)
    : response_(response)
    , remainingResponses_(maximumResponses)
    , acceptor_(listenOn(port))
{
    if (acceptor_ < 0)
        throw std::system_error(errno, std::generic_category(), "cannot listen on a loopback port");
}

MisbehavingServer::~MisbehavingServer()
{
    for (const Connection& connection : connections_)
        ::close(connection.socket);
    ::close(acceptor_);
}

std::uint16_t MisbehavingServer::port() const { return boundPort(acceptor_); }

bool MisbehavingServer::acceptNext()
{
    const int socket = ::accept4(acceptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0)
        return false;
    if (remainingResponses_ == 0) {
        ::close(socket);
        return false;
    }
    --remainingResponses_;
    connections_.push_back({ socket, false, StreamSender(response_) });
    return true;
}

bool MisbehavingServer::serve(Connection& connection, bool& hasProgressed)
{
    std::array<char, 4096> request {};
    const ssize_t received = ::recv(connection.socket, request.data(), request.size(), 0);
    if (received == 0 || (received < 0 && !isTemporary(errno)))
        return false;
    connection.hasReceived |= received > 0;
    if (!connection.hasReceived)
        return true;
    const std::ptrdiff_t sent = connection.sender.send(connection.socket, largeStep);
    hasProgressed |= sent > 0;
    return sent >= 0;
}

bool MisbehavingServer::step()
{
    bool hasProgressed = acceptNext();
    const auto ended
        = std::remove_if(connections_.begin(), connections_.end(), [&hasProgressed, this](Connection& connection) {
              const bool isOpen = serve(connection, hasProgressed);
              if (!isOpen)
                  ::close(connection.socket);
              return !isOpen;
          });
    connections_.erase(ended, connections_.end());
    return hasProgressed;
}

void addClients(Crowd& crowd, std::uint16_t port, std::size_t count, const ClientBehaviour& behaviour)
{
    for (std::size_t index = 0; index < count; ++index)
        crowd.push_back(std::make_unique<MisbehavingClient>(port, behaviour));
}

} // namespace turmericsill::processtests
