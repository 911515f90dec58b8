#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "foundation/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericsill::control {

/// What another entry says of its control.
struct PeerControlState {
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0; ///< 0: it does not control.
};

/// Calls of one entry to another.
class IPeerControl {
public:
    using ForwardCallback = std::function<void(foundation::Result<void>)>;
    using Callback = std::function<void(foundation::Result<PeerControlState>)>;

    virtual ~IPeerControl() = default;

    virtual void ask(const foundation::Address& peer, Callback done) = 0;

    /// Hands callers' encoded records to the controller, which answers once they are stored. Errc::Unavailable: they
    /// surely are not, since the peer was not reached, does not control or has no answer of the log itself; any other
    /// error leaves that open.
    virtual void forward(const foundation::Address& peer, std::vector<std::string> records,
        foundation::milliseconds timeout, ForwardCallback done)
        = 0;
};

} // namespace turmericsill::control
