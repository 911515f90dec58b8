#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "foundation/result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <set>

namespace turmericsill::soak {

class ProxyLink;

/// What a proxy does to the bytes that pass it.
struct LinkFault {
    foundation::milliseconds delay { 0 }; ///< Added to each piece, one way.
    bool silencesRequests = false; ///< Bytes towards the server are dropped.
    bool silencesAnswers = false; ///< Bytes from the server are dropped.
    bool refuses = false; ///< New connections are closed at once.
};

/// TCP proxy on the loopback interface whose connections can be delayed, silenced one way or both, and reset.
/// A connection that was silenced stays so: what a peer lost does not come again.
class FaultProxy {
public:
    FaultProxy(boost::asio::io_context& context, const foundation::Address& address, foundation::Address server);

    ~FaultProxy();

    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    void setFault(const LinkFault& fault);
    void resetConnections();

private:
    friend class ProxyLink;

    void accept();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    foundation::Address server_;
    LinkFault fault_;
    std::set<boost::intrusive_ptr<ProxyLink>> links_;
};

} // namespace turmericsill::soak
