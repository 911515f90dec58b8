#pragma once

#include "control/ipeercontrol.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace turmericsill::control {

/// Asks over the telemetry address of the other entry, at controlStatePath.
class HttpPeerControl : public IPeerControl {
public:
    explicit HttpPeerControl(boost::asio::io_context& context);

    void ask(const foundation::Address& peer, Callback done) override;

private:
    boost::asio::io_context& context_;
};

extern const std::string controlStatePath;

/// The answer's body.
std::string encodeControlState(const PeerControlState& state);
foundation::Result<PeerControlState> decodeControlState(const std::string& body);

} // namespace turmericsill::control
