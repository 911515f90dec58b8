#pragma once

#include "foundation/address.h"
#include "foundation/result.h"

#include <cstdint>
#include <functional>

namespace turmericsill::control {

/// What another entry says of its control.
struct PeerControlState {
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0; ///< 0: it does not control.
};

/// Asks other entries.
class IPeerControl {
public:
    using Callback = std::function<void(foundation::Result<PeerControlState>)>;

    virtual ~IPeerControl() = default;

    virtual void ask(const foundation::Address& peer, Callback done) = 0;
};

} // namespace turmericsill::control
