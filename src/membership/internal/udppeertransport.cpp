#include "membership/udppeertransport.h"

#include "foundation/controltraffic.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace turmericsill::membership {

namespace asio = boost::asio;
using foundation::Errc;
using foundation::failure;
using foundation::Result;

UdpPeerTransport::UdpPeerTransport(asio::io_context& context, ReceiveCallback onDatagram)
    : socket_(context)
    , onDatagram_(std::move(onDatagram))
{
}

Result<void> UdpPeerTransport::bind(const foundation::Address& address)
{
    boost::system::error_code error;
    asio::ip::udp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    socket_.open(endpoint.protocol(), error);
    if (!error)
        socket_.bind(endpoint, error);
    if (!error)
        socket_.non_blocking(true, error);
    if (error)
        return failure(Errc::Unavailable, "peer.bind", address.toString(), error.message());
    receive();
    return {};
}

// A datagram that does not fit into the socket's send buffer is dropped; peers tolerate lost datagrams anyway.
void UdpPeerTransport::send(const foundation::Address& peer, const std::string& datagram)
{
    boost::system::error_code ignored;
    asio::ip::udp::endpoint endpoint(asio::ip::make_address(peer.ip, ignored), peer.port);
    foundation::ControlTraffic::processTotals().sent += datagram.size();
    socket_.send_to(asio::buffer(datagram), endpoint, 0, ignored);
}

void UdpPeerTransport::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_, [this](boost::system::error_code error, std::size_t bytes) {
            if (error == asio::error::operation_aborted)
                return;
            foundation::ControlTraffic::processTotals().received += bytes;
            if (!error)
                onDatagram_(std::string_view(buffer_.data(), bytes));
            receive();
        });
}

} // namespace turmericsill::membership
