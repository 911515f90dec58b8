#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "foundation/result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <set>

namespace turmericsill::soak {

class ProxyConnection;

/// Faults that a proxy applies to its connections.
struct ConnectionFault {
    foundation::milliseconds delay { 0 }; ///< Delay of each forwarded chunk, in both directions.
    bool dropsRequests = false; ///< Bytes towards the server are dropped.
    bool dropsAnswers = false; ///< Bytes from the server are dropped.
    bool refusesConnections = false; ///< New connections are closed immediately.
};

/// TCP proxy on the loopback interface whose connections can be delayed, reset, or made to drop all bytes in one or
/// both directions. A connection that has begun to drop bytes continues to do so, since its stream has a gap.
class FaultProxy {
public:
    FaultProxy(boost::asio::io_context& context, const foundation::Address& address, foundation::Address server);

    ~FaultProxy();

    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    void setFault(const ConnectionFault& fault);
    void resetConnections();

private:
    friend class ProxyConnection;

    void accept();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    foundation::Address server_;
    ConnectionFault fault_;
    std::set<boost::intrusive_ptr<ProxyConnection>> connections_;
};

} // namespace turmericsill::soak
