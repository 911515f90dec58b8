#pragma once

#include "foundation/result.h"
#include "membership/ipeertransport.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace turmericsill::membership {

/// Exchanges datagrams with peers over UDP. Used only on the thread that runs the given context.
class UdpPeerTransport : public IPeerTransport {
public:
    using ReceiveCallback = std::function<void(std::string_view)>;

    UdpPeerTransport(boost::asio::io_context& context, ReceiveCallback onDatagram);

    /// Opens the socket on a local address and starts to receive.
    foundation::Result<void> bind(const foundation::Address& address);
    void send(const foundation::Address& peer, const std::string& datagram) override;

private:
    static constexpr std::size_t maximumDatagramBytes = 65507; ///< Maximum UDP payload over IPv4.

    void receive();

    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, maximumDatagramBytes> buffer_ {};
    ReceiveCallback onDatagram_;
};

} // namespace turmericsill::membership
