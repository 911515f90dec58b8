#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace turmericsill::processtests {

constexpr std::size_t largeStep = 64 << 10; ///< Bytes that a peer sends at a time.

/// What a peer sends: `opening`, then `repeated` over and over until it has sent `repeatedBytes` of it.
struct Stream {
    std::string opening;
    std::string repeated;
    std::size_t repeatedBytes = 0;
};

/// Sends one Stream on a non-blocking socket.
class StreamSender {
public:
    /// A sender of nothing.
    StreamSender() = default;
    explicit StreamSender(Stream stream);

    /// Sends at most `maximumBytes` and returns how many were sent; negative if the connection has failed.
    std::ptrdiff_t send(int socket, std::size_t maximumBytes);

    bool isDone() const { return sent_ >= stream_.opening.size() + stream_.repeatedBytes; }

    /// Begins anew, for another connection.
    void reset() { sent_ = 0; }

private:
    Stream stream_;
    std::size_t sent_ = 0;
};

/// A client or server that does not keep to the limits of the process that it is connected to.
class IMisbehavingPeer {
public:
    virtual ~IMisbehavingPeer() = default;

    /// Sends and reads what it may; returns whether it could.
    virtual bool step() = 0;
};

using Crowd = std::vector<std::unique_ptr<IMisbehavingPeer>>;

/// What each client of a crowd does: it sends its stream and stays connected. When it is disconnected, it begins again.
struct ClientBehaviour {
    Stream stream;
    std::size_t bytesPerStep = largeStep;
    bool readsSlowly = false; ///< Whether it reads a byte of the responses per step; otherwise it reads nothing.
    int maximumReconnects = 8;
};

/// A client that connects to a loopback port.
class MisbehavingClient : public IMisbehavingPeer {
public:
    MisbehavingClient(std::uint16_t port, const ClientBehaviour& behaviour);
    ~MisbehavingClient() override;

    MisbehavingClient(const MisbehavingClient&) = delete;
    MisbehavingClient& operator=(const MisbehavingClient&) = delete;

    bool step() override;

private:
    void reconnect();

    std::uint16_t port_;
    ClientBehaviour behaviour_;
    StreamSender sender_;
    int socket_ = -1;
    int reconnects_ = 0;
};

/// A server that answers whatever it receives with a stream. After `maximumResponses` it closes what it accepts.
class MisbehavingServer : public IMisbehavingPeer {
public:
    MisbehavingServer(const Stream& response, std::size_t maximumResponses, std::uint16_t port = 0);
    ~MisbehavingServer() override;

    MisbehavingServer(const MisbehavingServer&) = delete;
    MisbehavingServer& operator=(const MisbehavingServer&) = delete;

    std::uint16_t port() const;
    bool step() override;

private:
    struct Connection {
        int socket = -1;
        bool hasReceived = false;
        StreamSender sender;
    };

    bool acceptNext();
    /// Returns false if the connection has ended.
    bool serve(Connection& connection, bool& hasProgressed);

    Stream response_;
    std::size_t remainingResponses_;
    int acceptor_;
    std::vector<Connection> connections_;
};

void addClients(Crowd& crowd, std::uint16_t port, std::size_t count, const ClientBehaviour& behaviour);

} // namespace turmericsill::processtests
